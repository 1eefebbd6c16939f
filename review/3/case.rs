//! Holders of the duties around a rolling restart in which one process is killed.

#[path = "../harness/common.rs"]
mod common;

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    Api, DutyCall, Emulator, Gateway, Record, Run, call, configuration, field, finish, machine_ips,
    request_headers, wait_until,
};

/// Bound `leaseMs` of the site.
const LEASE: Duration = Duration::from_millis(3_000);
const ZONES: [&str; 3] = ["bkk-bangna", "bkk-lakr", "bkk-nont"];

fn main() {
    let run = Run::from_args();
    let record = Record::create(&run.case.join("record.txt"));
    let outcome = play(&run, &record);
    finish(&record, outcome)
}

fn play(run: &Run, record: &Record) -> io::Result<Option<String>> {
    let emulator = Arc::new(Emulator::start(&run.root)?);
    let api = Api::start(record)?;
    emulator.control("/configuration", &configuration(7, true))?;
    let fleet = Arc::new(Mutex::new(Fleet::default()));
    for zone in ZONES {
        emulator.engine("roster-app", zone, false, 15)?;
        let id = emulator.engine("roster-llm", zone, false, 20)?;
        fleet.lock().unwrap().engines.entry((zone.to_owned(), false)).or_default().push(id);
    }
    let ips = machine_ips(3)?;
    let mut gateways = Vec::new();
    for (ip, zone) in ips.iter().zip(ZONES) {
        let name = format!("frontend-{zone}-1");
        let seeds: Vec<_> = ips.iter().copied().filter(|i| i != ip).collect();
        let of = (emulator.store, api.address);
        gateways.push(Gateway::start(&run.root, &run.temporary, (&name, zone), *ip, of, &seeds)?);
    }
    wait_until("all gateways serve", Duration::from_secs(20), || {
        gateways.iter().all(|g| g.is_ready() && g.listed() == 3)
    })?;
    record.line("three gateways serve");
    let stop = Arc::new(AtomicBool::new(false));
    run_platform(emulator.clone(), api.clone(), fleet, record.clone(), stop.clone());
    let callers: Vec<_> = gateways.iter().map(Gateway::callers).collect();
    let clients = |from: usize, to: usize| -> Vec<_> {
        let start = |n| {
            let (callers, stop) = (callers.clone(), stop.clone());
            thread::spawn(move || stream_in_turn(n, &callers, &stop))
        };
        (from..to).map(start).collect()
    };
    let mut all = clients(0, 6);
    // The engines that the system orders at its start settle in this time.
    thread::sleep(Duration::from_secs(24));
    let mark = api.count();
    record.line("the traffic rises");
    all.extend(clients(6, 60));
    wait_until("a holder orders more engines", Duration::from_secs(20), || {
        api.since(mark).iter().any(|c| is_rise(&api, c))
    })?;
    let first = api.since(mark).into_iter().rfind(|c| is_rise(&api, c)).ok_or(io::ErrorKind::Other)?;
    record.line(&format!("{} holds the duties and has just ordered", first.holder));
    if run.trouble {
        restart_in_turn(&mut gateways, &api, &first, record)?;
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    let answered: usize = all.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    record.line(&format!("{answered} streams answered with 200"));
    Ok(alternation(&api.since(0)))
}

/// Returns whether an order asks for more engines than the one before it for the same kind.
fn is_rise(api: &Api, order: &DutyCall) -> bool {
    let Some((zone, spot, count)) = decode(order) else {
        return false;
    };
    let same = |c: &&DutyCall| decode(c).is_some_and(|d| (&d.0, d.1) == (&zone, spot));
    let calls = api.since(0);
    let before = calls.iter().filter(same).rfind(|c| c.at < order.at);
    before.and_then(decode).is_some_and(|(_, _, earlier)| count > earlier)
}

/// Restarts the holder of the duties and then its successor, with `gap_s` between the two SIGTERMs.
/// The first one's process is killed while it shuts down, and starts again.
fn restart_in_turn(
    gateways: &mut [Gateway],
    api: &Api,
    first: &DutyCall,
    record: &Record,
) -> io::Result<()> {
    const GAP: Duration = Duration::from_millis(1_000);
    const KILLED_AFTER: Duration = Duration::from_millis(800);
    let seen = api.count();
    let stopped_at = Instant::now();
    let index = |gateways: &[Gateway], name: &str| gateways.iter().position(|g| g.name == name);
    let a = index(gateways, &first.holder).ok_or(io::ErrorKind::NotFound)?;
    gateways[a].term();
    record.line(&format!("SIGTERM to {}", first.holder));
    // The machine gives the lease back at once, and goes on serving its callers for some seconds.
    thread::sleep(KILLED_AFTER);
    gateways[a].proc.kill();
    gateways[a].restart()?;
    record.line(&format!("SIGKILL to {}, which starts again", first.holder));
    let by_other = |c: &DutyCall| c.holder != first.holder;
    wait_until("another gateway acts", Duration::from_secs(10), || {
        api.since(seen).iter().any(by_other)
    })?;
    let second = api.since(seen).into_iter().find(by_other).ok_or(io::ErrorKind::NotFound)?;
    let b = index(gateways, &second.holder).ok_or(io::ErrorKind::NotFound)?;
    thread::sleep(GAP.saturating_sub(stopped_at.elapsed()));
    gateways[b].term();
    record.line(&format!("SIGTERM to {}", second.holder));
    Ok(())
}

/// Returns the first place where holders act in the order A, B, A on one subject inside `leaseMs`.
fn alternation(calls: &[DutyCall]) -> Option<String> {
    let mut subjects: BTreeMap<String, Vec<&DutyCall>> = BTreeMap::new();
    for c in calls {
        let subject = field(&c.body, "zone").map_or(c.path.clone(), |z| format!("{} {z}", c.path));
        subjects.entry(subject).or_default().push(c);
    }
    for (subject, calls) in subjects {
        for (i, first) in calls.iter().enumerate() {
            let inside = |c: &&&DutyCall| c.at.duration_since(first.at) <= LEASE;
            let mut other = None;
            for c in calls[i + 1..].iter().take_while(inside) {
                match other {
                    None if c.holder != first.holder => other = Some(c),
                    Some(b) if c.holder == first.holder => {
                        let took = c.at.duration_since(first.at).as_millis();
                        return Some(format!(
                            "on {subject} {} (fence {}), {} (fence {}) and {} (fence {}) acted inside {took} ms",
                            first.holder, first.fence, b.holder, b.fence, c.holder, c.fence
                        ));
                    }
                    _ => {}
                }
            }
        }
    }
    None
}

/// Sends one stream after the other to the gateways in turn; returns how many had status 200.
fn stream_in_turn(n: usize, callers: &[std::net::SocketAddr], stop: &AtomicBool) -> usize {
    let mut answered = 0;
    for i in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("c{n}-{i}");
        let mut headers = request_headers(&id, 15_000);
        headers.push(("x-model", "m".to_owned()));
        headers.push(("x-token-usage", "3720,120".to_owned()));
        headers.push(("x-prompt-prefix", format!("aa{n}:2000,{n}{i}:1720")));
        let to = callers[(n + i) % callers.len()];
        let got = call(to, "POST", "/season-plan/x", &headers, "plan", Duration::from_secs(5));
        answered += usize::from(got.is_ok_and(|a| a.status == 200));
        thread::sleep(Duration::from_millis(50));
    }
    answered
}

#[derive(Default)]
struct Fleet {
    engines: BTreeMap<(String, bool), Vec<String>>,
}

/// Carries orders out: engines start after `bootS`, and those given up drain and leave.
fn run_platform(
    emulator: Arc<Emulator>,
    api: Api,
    fleet: Arc<Mutex<Fleet>>,
    record: Record,
    stop: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut seen = 0;
        let mut due: Vec<(Instant, (String, bool), usize)> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            for order in api.since(seen) {
                seen += 1;
                if let Some((zone, spot, count)) = decode(&order) {
                    due.push((order.at + Duration::from_secs(4), (zone, spot), count));
                }
            }
            let now = Instant::now();
            let (ready, left): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0 <= now);
            due = left;
            for (_, kind, count) in ready {
                let mut fleet = fleet.lock().unwrap();
                let engines = fleet.engines.entry(kind.clone()).or_default();
                while engines.len() < count {
                    if let Ok(id) = emulator.engine("roster-llm", &kind.0, kind.1, 20) {
                        record.line(&format!("engine {id} starts in {} spot={}", kind.0, kind.1));
                        engines.push(id);
                    }
                }
                while engines.len() > count {
                    let id = engines.pop().unwrap_or_default();
                    record.line(&format!("engine {id} drains in {} spot={}", kind.0, kind.1));
                    let _ = emulator.control("/state", &format!(r#"{{"id":"{id}","state":"draining"}}"#));
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}

fn decode(order: &DutyCall) -> Option<(String, bool, usize)> {
    let zone = field(&order.body, "zone")?;
    let spot = field(&order.body, "spot").is_some_and(|s| s == "true");
    Some((zone, spot, field(&order.body, "desiredCount")?.parse().ok()?))
}
