//! Admission, retries, the list of entry hosts, and status.

use std::{sync::Arc, time::Duration};

use stakker::{CX, Share, after};

use super::membership::seconds_since;
use crate::{
    config::CustomerPolicy,
    entry::{
        board::{Board, Phase},
        context::Context,
        event::{
            AdmitQuery, DataCentreView, EntryChoice, MemberView, Rejection, Reply, StatusView,
            UpstreamView, answer,
        },
    },
    ids::Customer,
    membership::Member,
    routing::{self, AdmissionInput, Class, RetryDecision, RetryInput, admit},
    upstream::UpstreamState,
    wire::{Contact, DcSummary},
};

/// Between looks at the rate of finished requests, and sweeps of old records.
const TICK: Duration = Duration::from_secs(1);

/// Decides which requests may begin and which attempts are made again.
pub struct Admission {
    board: Share<Board>,
    cx: Arc<Context>,
}

impl Admission {
    /// Starts the periodic work.
    pub fn init(cx: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self { board, cx: context })
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let limits = &self.cx.settings.limits;
        self.cx.records.sweep(now, limits.keep_finished, limits.key_validity * 2);
        let board = self.board.rw(cx);
        board.progress.tick(TICK);
        let metrics = &self.cx.metrics;
        metrics.in_progress.set(board.progress.total.into());
        metrics.records.set(self.cx.records.len() as i64);
        let silence = seconds_since(board.platform_answered, now);
        metrics.platform_silence.set(silence.map_or(-1, |s| s as i64));
        after!(TICK, [cx], tick());
    }

    /// Answers whether a request may begin, and counts it if so.
    pub fn admit(
        &mut self,
        cx: CX![],
        query: AdmitQuery,
        reply: Reply<Result<CustomerPolicy, Rejection>>,
    ) {
        let limit = self.cx.settings.limits.in_progress;
        let board = self.board.rw(cx);
        let decided = decide(board, &query, limit);
        if let Ok(policy) = &decided {
            board.progress.begin(&policy.customer);
        }
        answer(&reply, decided);
    }

    /// Answers with the policy of a caller's key; a process without a
    /// configuration cannot tell whose it is.
    pub fn policy(
        &mut self,
        cx: CX![],
        key: String,
        reply: Reply<Result<CustomerPolicy, Rejection>>,
    ) {
        let board = self.board.ro(cx);
        let known = board.config.customer_of_key(&key);
        let policy = match board.phase {
            Phase::Starting => Err(Rejection::NotReady),
            Phase::Serving | Phase::Leaving | Phase::HandedOver => {
                known.ok_or(Rejection::UnknownKey)
            }
        };
        answer(&reply, policy);
    }

    /// Answers with the policy of a customer.
    pub fn policy_of(
        &mut self,
        cx: CX![],
        customer: Customer,
        reply: Reply<Option<CustomerPolicy>>,
    ) {
        answer(&reply, self.board.ro(cx).config.policy(&customer));
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, cx: CX![], customer: Customer, completed: bool) {
        let board = self.board.rw(cx);
        board.progress.end(&customer);
        if completed {
            board.retries.success();
        }
    }

    /// Answers whether a failed attempt is made again.
    pub fn retry(&mut self, cx: CX![], input: RetryInput, reply: Reply<RetryDecision>) {
        let board = self.board.rw(cx);
        answer(&reply, routing::decide_retry(&input, &mut board.retries));
    }

    /// Answers with the entry hosts that a caller may use, in order of trial:
    /// spread at random, this data centre and the others in turn.
    pub fn entries(&mut self, cx: CX![], reply: Reply<Vec<EntryChoice>>) {
        let now = cx.now();
        let board = self.board.ro(cx);
        let own_dc = board.view.data_centre();
        let mut near: Vec<EntryChoice> =
            board.view.serving().map(|contact| choice(contact, own_dc)).collect();
        if board.phase == Phase::Serving {
            near.push(choice(board.view.own_contact(), own_dc));
        }
        let summaries = board.view.summaries(now);
        let mut far: Vec<EntryChoice> =
            summaries.flat_map(|s| s.contacts.iter().map(|c| choice(c, &s.data_centre))).collect();
        fastrand::shuffle(&mut near);
        fastrand::shuffle(&mut far);
        answer(&reply, interleave(near, far));
    }

    /// Answers with the state of the process.
    pub fn status(&mut self, cx: CX![], reply: Reply<StatusView>) {
        let now = cx.now();
        let board = self.board.ro(cx);
        let status = StatusView {
            id: self.cx.settings.id.clone(),
            data_centre: self.cx.settings.data_centre.clone(),
            home: self.cx.home().to_string(),
            phase: board.phase.word(),
            config_version: board.config.version(),
            platform_silence_s: seconds_since(board.platform_answered, now),
            in_progress: board.progress.total,
            members: members_of(board),
            data_centres: board.view.summaries(now).map(data_centre_view).collect(),
            upstreams: self.upstreams_of(board, now),
        };
        answer(&reply, status);
    }

    fn upstreams_of(&self, board: &Board, now: std::time::Instant) -> Vec<UpstreamView> {
        let silence = self.cx.settings.limits.upstream_silence;
        let drained = board.drained();
        let upstreams = board.owned.upstreams().values();
        let view = |u: &UpstreamState| UpstreamView {
            id: u.host.id.clone(),
            addr: u.host.addr,
            state: match () {
                () if drained.contains(&u.host.id) => "drained",
                () if u.leaves_at.is_some() => "leaving",
                () if u.takes_work(now, silence) => "working",
                () => "silent",
            },
            in_use: board.owned.grants().in_use(&u.host.id),
            slots: u.host.slots,
        };
        upstreams.map(view).collect()
    }
}

fn decide(board: &Board, query: &AdmitQuery, limit: u32) -> Result<CustomerPolicy, Rejection> {
    match board.phase {
        Phase::Starting => return Err(Rejection::NotReady),
        Phase::HandedOver => return Err(Rejection::Leaving),
        Phase::Serving | Phase::Leaving => {}
    }
    let policy = board.config.customer_of_key(&query.api_key).ok_or(Rejection::UnknownKey)?;
    let known = match query.class {
        Class::Call => {
            let name = query.model.strip_prefix("service:").unwrap_or_default();
            policy.service(name).is_some()
        }
        Class::Chat | Class::Draft => policy.models.contains(&query.model),
    };
    if !known {
        return Err(Rejection::UnknownModel(query.model.clone()));
    }
    let input = AdmissionInput {
        class: query.class,
        in_progress: board.progress.total,
        limit,
        customer_in_progress: board.progress.of(&policy.customer),
        customer_limit: policy.max_in_progress,
        finished_per_second: board.progress.finished_per_second(),
    };
    match admit(&input) {
        routing::Admission::Admit => Ok(policy),
        routing::Admission::Refuse { retry_after } => Err(Rejection::Full { retry_after }),
    }
}

fn choice(contact: &Contact, data_centre: &str) -> EntryChoice {
    EntryChoice { contact: contact.clone(), data_centre: data_centre.to_owned() }
}

fn interleave(near: Vec<EntryChoice>, far: Vec<EntryChoice>) -> Vec<EntryChoice> {
    let mut near = near.into_iter();
    let mut far = far.into_iter();
    let mut merged = Vec::new();
    loop {
        let pair: Vec<EntryChoice> = near.next().into_iter().chain(far.next()).collect();
        if pair.is_empty() {
            return merged;
        }
        merged.extend(pair);
    }
}

fn members_of(board: &Board) -> Vec<MemberView> {
    let view = |m: &Member| MemberView {
        id: m.state.contact.id.clone(),
        liveness: format!("{:?}", m.state.liveness).to_lowercase(),
        config_version: m.config,
        http: m.state.contact.home.http,
    };
    board.view.members().values().map(view).collect()
}

fn data_centre_view(summary: &DcSummary) -> DataCentreView {
    DataCentreView {
        data_centre: summary.data_centre.clone(),
        config_version: summary.config,
        contacts: summary.contacts.iter().map(|c| c.home.http).collect(),
    }
}
