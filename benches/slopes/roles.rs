//! One slope each: engines, peers, data centres, streams, changes, keys,
//! deployments.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;
use tackhollow::{
    caller::Caller,
    config::Item,
    edge::gossip_socket::GossipSocket,
    ids::Home,
    time::unix_millis,
    wire::{Contact, DcSummary, Gossip, GossipBody, Liveness, MemberState, Rumour, Supply},
};

use crate::{
    fit::{Series, print},
    measure::{cpu_seconds, mean, memory_mb, metrics, watch},
    support::{
        cluster::{CUSTOMER_KEY, Cluster, Plan, SECRET, apply},
        drafts::draft,
        proc::Proc,
    },
};

/// Window of a measurement at rest.
const WINDOW: Duration = Duration::from_secs(10);
/// Time for a system to come to rest.
const SETTLE: Duration = Duration::from_secs(3);

/// Between summaries that reach a data centre: each other data centre has two
/// delegates, and each sends one every three seconds for each data centre.
const SUMMARY_EVERY: Duration = Duration::from_millis(1_500);

fn one_entry() -> Plan {
    Plan {
        data_centres: 1,
        entries_each: 1,
        limits: "entries_ttl_ms = 500\n".to_owned(),
        ..Plan::default()
    }
}

/// Engines that one entry process owns; all at rest.
pub fn per_engine() {
    let mut cpu = Series::new("processor", "% of a core");
    let mut memory = Series::new("memory", "MB");
    let mut events = Series::new("upstream events", "B/s");
    for engines in [8, 24, 80, 240] {
        let cluster =
            Cluster::start(Plan { extra_hosts: engines - 1, engines_each: 1, ..one_entry() });
        thread::sleep(SETTLE);
        let used = watch(&[&cluster.entries[0].proc], WINDOW)[0];
        cpu.points.push((engines as f64, used.cpu_percent));
        memory.points.push((engines as f64, used.memory_mb));
        events.points.push((engines as f64, used.events));
    }
    print("Engines owned by one entry process", "engine", &[cpu, memory, events]);
}

/// Peers in a data centre; all at rest, one engine each.
pub fn per_peer() {
    let mut cpu = Series::new("processor", "% of a core");
    let mut memory = Series::new("memory", "MB");
    let mut gossip = Series::new("membership", "B/s");
    let mut messages = Series::new("membership", "messages/s");
    for entries in [4, 12, 40, 80] {
        let plan = Plan { entries_each: entries, engines_each: 1, ..one_entry() };
        let cluster = Cluster::start(plan);
        thread::sleep(SETTLE * 3);
        let procs: Vec<&Proc> = cluster.entries.iter().map(|e| &e.proc).collect();
        let used = mean(&watch(&procs, WINDOW));
        let peers = (entries - 1) as f64;
        cpu.points.push((peers, used.cpu_percent));
        memory.points.push((peers, used.memory_mb));
        gossip.points.push((peers, used.gossip));
        messages.points.push((peers, used.messages));
    }
    print("Peers in a data centre", "peer", &[cpu, memory, gossip, messages]);
}

/// Other data centres, as recorded summaries that a stand-in sends.
pub fn per_data_centre() {
    let mut cpu = Series::new("processor", "% of a core");
    let mut memory = Series::new("memory", "MB");
    let mut gossip = Series::new("membership", "B/s");
    for dcs in [2, 6, 18, 60] {
        let cluster = Cluster::start(Plan { engines_each: 1, ..one_entry() });
        let entry = &cluster.entries[0].proc;
        let stop = Arc::new(AtomicBool::new(false));
        let sender = send_summaries(vec![entry.address("gossip")], dcs, stop.clone());
        thread::sleep(SETTLE);
        let used = watch(&[entry], WINDOW)[0];
        stop.store(true, Ordering::Relaxed);
        sender.join().expect("the sender's thread");
        cpu.points.push((dcs as f64, used.cpu_percent));
        memory.points.push((dcs as f64, used.memory_mb));
        gossip.points.push((dcs as f64, used.gossip));
    }
    print("Other data centres", "data centre", &[cpu, memory, gossip]);
}

/// Sends a summary of each of `count` data centres, once a second for each at
/// the rate that real delegates have: each data centre every `count` seconds.
pub fn send_summaries(
    to: Vec<SocketAddr>,
    count: usize,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (socket, own) =
        GossipSocket::bind(any, SECRET, Arc::default(), |_, _| {}).expect("a socket");
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            for dc in 0..count {
                let to = to[dc % to.len()];
                socket.send(to, &summary_datagram(dc, own));
                thread::sleep(SUMMARY_EVERY);
                if stop.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
    })
}

fn summary_datagram(dc: usize, addr: SocketAddr) -> Gossip {
    let contact = |i: usize| Contact {
        id: format!("entry-dc{dc}-{i}"),
        home: Home { http: addr, incarnation: (dc * 10 + i + 1) as u64 },
        peer: addr,
        gossip: addr,
    };
    let supply = |m: usize| Supply { model: format!("model-{m}"), free: 900, total: 31_600 };
    let summary = DcSummary {
        data_centre: format!("dc{dc}"),
        region: format!("region{}", dc % 5),
        stamp: unix_millis(),
        contacts: (0..2).map(contact).collect(),
        supply: (0..6).map(supply).collect(),
        config: 0,
    };
    Gossip {
        from: MemberState { contact: contact(0), liveness: Liveness::Alive, beat: 0 },
        data_centre: format!("dc{dc}"),
        body: GossipBody::News,
        config: 0,
        members: 0,
        supply: Vec::new(),
        rumours: vec![Rumour::Summary(summary)],
    }
}

/// Streams in progress on one entry process.
pub fn per_stream() {
    let mut cpu = Series::new("processor", "% of a core");
    let mut memory = Series::new("memory", "MB");
    let mut tokens = Series::new("tokens", "tokens/s");
    for streams in [20, 60, 200, 400] {
        let limits = "entries_ttl_ms = 500\nin_progress = 2000\n".to_owned();
        let engine_args = ["--slots", "500", "--speed", "0.6"].map(str::to_owned).to_vec();
        let plan = Plan { engines_each: 8, engine_args, limits, ..one_entry() };
        let cluster = Cluster::start(plan);
        let entry = &cluster.entries[0].proc;
        let caller = Arc::new(Caller::new(cluster.addresses(), CUSTOMER_KEY));
        raise_limits(&cluster);
        let threads: Vec<_> = (0..streams).map(|i| stream(&caller, i)).collect();
        crate::support::wait_until("all streams run", || cluster.engine_runs() >= streams);
        thread::sleep(SETTLE);
        let before = cpu_seconds(entry.id());
        thread::sleep(WINDOW);
        let used = (cpu_seconds(entry.id()) - before) / WINDOW.as_secs_f64() * 100.0;
        cpu.points.push((streams as f64, used));
        memory.points.push((streams as f64, memory_mb(entry.id())));
        let answers: Vec<_> = threads.into_iter().map(|t| t.join().expect("a caller")).collect();
        let gaps: Vec<Duration> = answers.iter().flat_map(|a| a.gaps.clone()).collect();
        let mean_gap = gaps.iter().sum::<Duration>().as_secs_f64() / gaps.len().max(1) as f64;
        tokens.points.push((streams as f64, streams as f64 / mean_gap.max(f64::MIN_POSITIVE)));
    }
    print("Streams in progress on one entry process", "stream", &[cpu, memory, tokens]);
}

fn stream(caller: &Arc<Caller>, i: usize) -> thread::JoinHandle<tackhollow::caller::Answer> {
    let caller = caller.clone();
    thread::spawn(move || {
        let key = caller.new_key().expect("an entry host");
        caller.chat(&draft(&format!("stream {i}"), 900), &key).expect("a verdict")
    })
}

/// Lets the example's first customer have many requests in progress.
pub fn raise_limits(cluster: &Cluster) {
    let key_hash = tackhollow::config::key_hash(CUSTOMER_KEY);
    let deployment = json!({
        "customer": "temple-fairs", "template": "rostering", "key_hashes": [key_hash],
        "parameters": { "max_in_progress": 5000 },
    });
    let deployment = Item::Deployment(serde_json::from_value(deployment).expect("a deployment"));
    let answer = apply(cluster.entries[0].proc.http(), &deployment, None);
    assert_eq!(answer.0, 200, "{}", answer.1);
    cluster.wait_version(answer.1["version"].as_u64().expect("a version"));
}

fn deployment(i: usize) -> Item {
    let deployment = json!({
        "customer": format!("customer-{i}"), "template": "rostering",
        "key_hashes": [tackhollow::config::key_hash(&format!("key {i}"))],
        "parameters": { "max_in_progress": 100 + i },
    });
    Item::Deployment(serde_json::from_value(deployment).expect("a deployment"))
}

/// Changes of configuration, in a data centre of twelve processes.
pub fn per_change() {
    let mut cpu = Series::new("processor, mean process", "s");
    let mut peer = Series::new("between processes, mean process", "bytes");
    let plan = Plan { entries_each: 12, engines_each: 1, ..one_entry() };
    let cluster = Cluster::start(plan);
    thread::sleep(SETTLE);
    let procs: Vec<&Proc> = cluster.entries.iter().map(|e| &e.proc).collect();
    let mut next = 0;
    for changes in [10, 30, 100, 300] {
        let totals = || {
            let cpu: f64 = procs.iter().map(|p| cpu_seconds(p.id())).sum();
            let bytes: f64 = procs.iter().map(|p| peer_bytes(p.http())).sum();
            (cpu / procs.len() as f64, bytes / procs.len() as f64)
        };
        let before = totals();
        let mut version = 0;
        for _ in 0..changes {
            next += 1;
            let answer = apply(cluster.entries[next % 12].proc.http(), &deployment(next), None);
            assert_eq!(answer.0, 200, "{}", answer.1);
            version = answer.1["version"].as_u64().expect("a version");
        }
        cluster.wait_version(version);
        let after = totals();
        cpu.points.push((changes as f64, after.0 - before.0));
        peer.points.push((changes as f64, after.1 - before.1));
    }
    print("Changes of configuration, twelve processes", "change", &[cpu, peer]);
}

fn peer_bytes(addr: SocketAddr) -> f64 {
    let metrics = metrics(addr);
    let get = |name: &str| metrics.get(name).copied().unwrap_or_default();
    get("tackhollow_peer_sent_bytes_total") + get("tackhollow_peer_received_bytes_total")
}

/// Finished calls that one entry process remembers.
pub fn per_key() {
    const THREADS: usize = 8;
    let mut memory = Series::new("memory", "MB");
    let mut cpu = Series::new("processor", "s");
    let cluster = Cluster::start(Plan { engines_each: 1, ..one_entry() });
    let entry = &cluster.entries[0].proc;
    let caller = Caller::new(cluster.addresses(), CUSTOMER_KEY);
    let (mut done, before) = (0, cpu_seconds(entry.id()));
    for total in [1_000, 3_000, 10_000, 20_000] {
        thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    for _ in 0..(total - done) / THREADS {
                        let key = caller.new_key().expect("an entry host");
                        caller.call("confirm", "/shift", "{\"shift\":7}", &key).expect("a verdict");
                    }
                });
            }
        });
        done = total;
        memory.points.push((total as f64, memory_mb(entry.id())));
        cpu.points.push((total as f64, cpu_seconds(entry.id()) - before));
    }
    print("Finished calls with keys, remembered", "call", &[memory, cpu]);
}

/// Deployments in force.
pub fn per_deployment() {
    let mut memory = Series::new("memory", "MB");
    let mut cpu = Series::new("processor at rest", "% of a core");
    let cluster = Cluster::start(Plan { entries_each: 2, engines_each: 1, ..one_entry() });
    let mut done = 0;
    for total in [100, 300, 1_000, 2_000] {
        let mut version = 0;
        while done < total {
            done += 1;
            let answer = apply(cluster.entries[0].proc.http(), &deployment(done), None);
            assert_eq!(answer.0, 200, "{}", answer.1);
            version = answer.1["version"].as_u64().expect("a version");
        }
        cluster.wait_version(version);
        thread::sleep(SETTLE);
        let used = watch(&[&cluster.entries[1].proc], WINDOW)[0];
        memory.points.push((total as f64, used.memory_mb));
        cpu.points.push((total as f64, used.cpu_percent));
    }
    print("Deployments in force", "deployment", &[memory, cpu]);
}
