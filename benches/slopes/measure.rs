//! Figures of processes, from the kernel and from their metrics.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::support::{http, proc::Proc};

/// Clock ticks a second in the kernel's figures.
const TICKS: f64 = 100.0;

/// Figures of one process over a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Use {
    /// Processor time, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory at the end, in MB.
    pub memory_mb: f64,
    /// Membership traffic sent and received, headers included, in bytes a second.
    pub gossip: f64,
    /// Traffic between processes other than membership, in bytes a second.
    pub peer: f64,
    /// Bodies of upstream events, in bytes a second.
    pub events: f64,
    /// Membership messages sent and received a second.
    pub messages: f64,
}

/// Watches processes for a while and returns the figures of each.
pub fn watch(procs: &[&Proc], window: Duration) -> Vec<Use> {
    watch_during(procs, || thread::sleep(window))
}

/// Watches processes while something is done and returns the figures of each.
pub fn watch_during(procs: &[&Proc], during: impl FnOnce()) -> Vec<Use> {
    let before: Vec<Sample> = procs.iter().map(|p| sample(p)).collect();
    let began = Instant::now();
    during();
    let after: Vec<Sample> = procs.iter().map(|p| sample(p)).collect();
    let seconds = began.elapsed().as_secs_f64();
    before.iter().zip(&after).map(|(b, a)| difference(b, a, seconds)).collect()
}

/// Returns the mean of figures.
pub fn mean(uses: &[Use]) -> Use {
    let n = uses.len().max(1) as f64;
    combine(uses, |values| values.sum::<f64>() / n)
}

/// Returns the largest of each figure.
pub fn largest(uses: &[Use]) -> Use {
    combine(uses, |values| values.fold(0.0, f64::max))
}

/// Combines each figure over processes.
fn combine(uses: &[Use], f: impl Fn(&mut dyn Iterator<Item = f64>) -> f64) -> Use {
    let of = |figure: fn(&Use) -> f64| f(&mut uses.iter().map(figure));
    Use {
        cpu_percent: of(|u| u.cpu_percent),
        memory_mb: of(|u| u.memory_mb),
        gossip: of(|u| u.gossip),
        peer: of(|u| u.peer),
        events: of(|u| u.events),
        messages: of(|u| u.messages),
    }
}

struct Sample {
    cpu: f64,
    memory_mb: f64,
    metrics: BTreeMap<String, f64>,
}

fn sample(proc: &Proc) -> Sample {
    Sample {
        cpu: cpu_seconds(proc.id()),
        memory_mb: memory_mb(proc.id()),
        metrics: metrics(proc.http()),
    }
}

fn difference(before: &Sample, after: &Sample, seconds: f64) -> Use {
    let rate = |name: &str| {
        let value = |s: &Sample| s.metrics.get(name).copied().unwrap_or_default();
        (value(after) - value(before)) / seconds
    };
    let both = |name: &str, what: &str| {
        rate(&format!("tackhollow_{name}_sent_{what}_total"))
            + rate(&format!("tackhollow_{name}_received_{what}_total"))
    };
    Use {
        cpu_percent: (after.cpu - before.cpu) / seconds * 100.0,
        memory_mb: after.memory_mb,
        gossip: both("gossip", "bytes"),
        peer: both("peer", "bytes"),
        events: rate("tackhollow_upstream_event_bytes_total"),
        messages: both("gossip", "messages"),
    }
}

/// Returns the processor time that a process has used, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| rest.split_whitespace().nth(n).and_then(|f| f.parse::<f64>().ok());
    (field(11).unwrap_or_default() + field(12).unwrap_or_default()) / TICKS
}

/// Returns the resident memory of a process, in MB.
pub fn memory_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    let kb = line.split_whitespace().nth(1).and_then(|f| f.parse::<f64>().ok());
    kb.unwrap_or_default() / 1024.0
}

/// Returns the metrics of a process by name; labels are left out and summed.
pub fn metrics(addr: SocketAddr) -> BTreeMap<String, f64> {
    let body = http::call("GET", addr, "/metrics", &Value::Null).body;
    let mut metrics = BTreeMap::new();
    for line in String::from_utf8_lossy(&body).lines().filter(|l| !l.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let name = name.split('{').next().unwrap_or_default().to_owned();
        *metrics.entry(name).or_default() += value.parse::<f64>().unwrap_or_default();
    }
    metrics
}

/// Returns the buckets of a histogram: upper bounds and cumulative counts.
pub fn buckets(addr: SocketAddr, name: &str) -> Vec<(f64, f64)> {
    let body = http::call("GET", addr, "/metrics", &Value::Null).body;
    let prefix = format!("{name}_bucket{{le=\"");
    String::from_utf8_lossy(&body)
        .lines()
        .filter_map(|line| {
            let (bound, count) = line.strip_prefix(&prefix)?.split_once("\"} ")?;
            let bound = if bound == "+Inf" { f64::INFINITY } else { bound.parse().ok()? };
            Some((bound, count.parse().ok()?))
        })
        .collect()
}

/// Returns datagrams received and bytes over loopback, as the kernel counts them.
pub fn kernel_traffic() -> (f64, f64) {
    let snmp = fs::read_to_string("/proc/net/snmp").unwrap_or_default();
    let udp = snmp.lines().filter(|l| l.starts_with("Udp:")).nth(1).unwrap_or_default();
    let datagrams = udp.split_whitespace().nth(1).and_then(|f| f.parse().ok());
    let dev = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let lo = dev.lines().find(|l| l.trim_start().starts_with("lo:")).unwrap_or_default();
    let bytes = lo.split_whitespace().nth(1).and_then(|f| f.parse().ok());
    (datagrams.unwrap_or_default(), bytes.unwrap_or_default())
}
