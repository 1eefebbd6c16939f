//! Beginning a request: admission, idempotency keys, and the thread that runs it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    keys::{self, Key},
    plain_keys,
    problem::Problem,
    relay::{self, Fate, Relayed},
    request::Incoming,
};
use crate::{
    config::CustomerPolicy,
    edge::http_server::spawn,
    entry::{
        context::{Context, Permit},
        event::{AdmitQuery, Event, Located, Rejection},
        jobs::CommitError,
        work,
    },
    ids::Home,
    record::{Begin, Outcome, Record, RecordsError, Work},
    routing::Class,
    telemetry::count,
    time::unix_millis,
};

/// Header with the time that a caller gives a request, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// A request that runs here, or one whose answer was relayed.
pub enum Started {
    /// The record to answer from.
    Here(Arc<Record>),
    /// The record of a request that the platform keeps, and nobody waits on.
    Deferred(Arc<Record>),
    /// Another process answered.
    Relayed(Relayed),
}

/// Begins the request, finds the one with the same key, or relays to the
/// process that may run it.
pub fn start(
    cx: &Arc<Context>,
    incoming: &mut Incoming,
    body: &[u8],
    model: String,
    class: Class,
    work: impl FnOnce(&CustomerPolicy) -> Result<Work, Problem>,
) -> Result<Started, Problem> {
    let deferred = is_deferred(incoming);
    let api_key = incoming.api_key()?;
    let key = incoming.header("idempotency-key").map(str::to_owned);
    if key.as_deref().is_some_and(|k| !keys::is_valid(k)) {
        let message = "Idempotency-Key: expected up to 200 visible ASCII characters";
        return Err(Problem::BadRequest(message.to_owned()));
    }
    if let Some(relayed) = elsewhere(cx, incoming, body, &api_key, key.as_deref())? {
        return Ok(relayed);
    }
    let (record, new) = begin(cx, incoming, api_key, key, (model, class), work)?;
    if deferred {
        return defer(cx, record, new);
    }
    if new {
        run(cx, &record);
    }
    Ok(Started::Here(record))
}

/// Returns whether the caller does not wait for the answer.
fn is_deferred(incoming: &Incoming) -> bool {
    incoming.header("prefer").is_some_and(|p| p.contains("respond-async"))
}

/// Records a request at the platform; from then on any process can finish it.
fn defer(cx: &Arc<Context>, record: Arc<Record>, new: bool) -> Result<Started, Problem> {
    if !new {
        return Ok(Started::Deferred(record));
    }
    let permit = Permit::new(cx.board.clone(), record.clone());
    let committed = cx.jobs.submit(record.clone());
    drop(permit);
    match committed {
        Ok(()) => Ok(Started::Deferred(record)),
        Err(CommitError::NotAccepted(why)) => {
            let (retry_after, reason) = (Duration::from_secs(5), why.clone());
            cx.finish(&record, Outcome::NotRun { retry_after, reason });
            Err(Problem::PlatformAway(why))
        }
        Err(e @ CommitError::Unknown) => {
            Err(Problem::Unknown { reason: format!("{e}: {}", record.id) })
        }
    }
}

/// Answers from elsewhere where this process may not run the key's request.
fn elsewhere(
    cx: &Arc<Context>,
    incoming: &mut Incoming,
    body: &[u8],
    api_key: &str,
    key: Option<&str>,
) -> Result<Option<Started>, Problem> {
    let Some(key) = key else {
        return Ok(None);
    };
    let customer = match customer_of(cx, api_key) {
        Err(Problem::NotRun { .. }) if !is_homed_here(cx, key) => {
            let reason = "this process is starting and cannot ask whether the key ran".to_owned();
            return Err(Problem::Unknown { reason });
        }
        customer => customer?,
    };
    if let Some(record) = cx.records.get_by_key(&customer, key) {
        // Found here: begun here, or taken over. `begin` compares the bodies.
        if record.id.starts_with(&format!("{}.", cx.home())) {
            return Ok(None);
        }
        return Ok(Some(Started::Here(record)));
    }
    let home = match keys::parse(key) {
        Key::Homed { home, issued_s } if home == *cx.home() => {
            check_age(cx, issued_s)?;
            return Ok(None);
        }
        Key::Homed { home, .. } => home,
        Key::Plain => match plain_keys::home_of(cx, &customer, key)? {
            home if home == *cx.home() => return Ok(None),
            home => home,
        },
    };
    if cx.records.has_adopted(&home) {
        // The home handed every record over, and this one is not among them.
        return Err(Problem::KeyClosed);
    }
    let from_peer = relay::is_from_peer(cx, incoming);
    if from_peer {
        return Err(Problem::Misdirected);
    }
    relay_to_home(cx, incoming, body, &home).map(|relayed| Some(Started::Relayed(relayed)))
}

/// Returns whether this process alone may begin the key's request, so that a
/// refusal here means that it has not run.
fn is_homed_here(cx: &Context, key: &str) -> bool {
    matches!(keys::parse(key), Key::Homed { home, .. } if home == *cx.home())
}

fn check_age(cx: &Context, issued_s: u64) -> Result<(), Problem> {
    let validity = cx.settings.limits.key_validity.as_secs();
    if keys::may_begin(issued_s, unix_millis(), validity) {
        return Ok(());
    }
    let reason = "the key is too old to tell whether it ran; get a new prefix".to_owned();
    Err(Problem::Unknown { reason })
}

fn customer_of(cx: &Context, api_key: &str) -> Result<String, Problem> {
    let policy = cx.board.ask(|reply| Event::Policy(api_key.to_owned(), reply))?;
    Ok(policy?.customer)
}

/// Relays to the home, or to the process that took its records over.
pub fn relay_to_home(
    cx: &Arc<Context>,
    incoming: &mut Incoming,
    body: &[u8],
    home: &Home,
) -> Result<Relayed, Problem> {
    let located = cx.board.ask(|reply| Event::Locate(home.clone(), reply))?;
    if let Located::Adopted(successor) = located {
        return relay::relay(cx, incoming, body, successor.home.http);
    }
    let direct = match located {
        Located::Home => relay::relay(cx, incoming, body, home.http),
        Located::Gone | Located::Adopted(_) => Err(Problem::Misdirected),
    };
    match direct {
        Err(Problem::Misdirected | Problem::HomeUnreachable) => {
            let gone = matches!(direct, Err(Problem::Misdirected));
            match relay::fate_of(cx, home) {
                Fate::Adopted(successor) => relay::relay(cx, incoming, body, successor.home.http),
                Fate::Gone => Err(gone_for_good()),
                Fate::Unknown if gone => Err(gone_for_good()),
                Fate::Unknown => Err(Problem::HomeUnreachable),
            }
        }
        other => other,
    }
}

fn gone_for_good() -> Problem {
    let reason = "the entry host that held this request is gone without a hand-over; \
                  it may have run and will not be run again";
    Problem::Unknown { reason: reason.to_owned() }
}

fn begin(
    cx: &Arc<Context>,
    incoming: &Incoming,
    api_key: String,
    key: Option<String>,
    (model, class): (String, Class),
    work: impl FnOnce(&CustomerPolicy) -> Result<Work, Problem>,
) -> Result<(Arc<Record>, bool), Problem> {
    let query = AdmitQuery { api_key, class, model };
    let admitted = cx.board.ask(|reply| Event::Admit(query, reply))?;
    let policy = match admitted {
        Ok(policy) => policy,
        Err(rejection) => {
            count(&cx.metrics.refused, rejection.word());
            return Err(rejection.into());
        }
    };
    let begun = work(&policy).and_then(|work| {
        let deadline = Instant::now() + time_limit(incoming, class)?;
        let customer = &policy.customer;
        let begun = cx.records.begin(cx.home(), customer, key.as_deref(), work, deadline);
        begun.map_err(Problem::from)
    });
    match begun {
        Ok(Begin::New(record)) => Ok((record, true)),
        Ok(Begin::Existing(record)) => {
            ended(cx, policy.customer);
            Ok((record, false))
        }
        Err(problem) => {
            ended(cx, policy.customer);
            Err(problem)
        }
    }
}

fn run(cx: &Arc<Context>, record: &Arc<Record>) {
    let permit = Permit::new(cx.board.clone(), record.clone());
    let (cx, record) = (cx.clone(), record.clone());
    spawn("work", move || {
        let _permit = permit;
        work::run(&cx, &record);
    });
}

fn ended(cx: &Context, customer: String) {
    cx.board.send(Event::Ended { customer, completed: false });
}

/// Returns the time that the request has, by its header or its class.
fn time_limit(incoming: &Incoming, class: Class) -> Result<Duration, Problem> {
    let default = match class {
        Class::Call => Duration::from_secs(10),
        Class::Chat => Duration::from_secs(60),
        Class::Draft => Duration::from_secs(1_800),
    };
    let Some(text) = incoming.header(DEADLINE_HEADER) else {
        return Ok(default);
    };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(default)),
        _ => {
            Err(Problem::BadRequest(format!("{DEADLINE_HEADER}: expected milliseconds above zero")))
        }
    }
}

impl From<RecordsError> for Problem {
    fn from(error: RecordsError) -> Self {
        match error {
            RecordsError::KeyReused => Self::KeyReused,
            RecordsError::Closed => Rejection::Leaving.into(),
        }
    }
}
