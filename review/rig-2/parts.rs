//! Clients that the users do not control list the parts of their prompts finely. Each request is answered
//! soon and none breaks a rule of HTTP; a few hundred at a time end the gateway's process, since its memory
//! exceeds that of its machine. This stand-in of the platform ends it then, and starts it again.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::Gateway,
    http::Channel,
    site::{HOST, KEY, Played, Record, Site},
};

/// Memory of a machine of the smaller deployments.
const MEMORY_MB: u64 = 260;
/// Gateways, each on a machine of its own.
const GATEWAYS: usize = 2;
/// Model engines, of the 18 of the smaller deployments.
const MODELS: usize = 12;
/// Plain engines.
const PLAIN: usize = 4;
/// Clients of a crowd. Each sends one request on a channel of its own.
const CLIENTS: usize = 480;
/// Clients that send at the same time.
const SENDERS: usize = 16;
/// Size of the head of a request.
const HEAD_BYTES: usize = 60_000;
/// Prompt tokens of a request, and its most output tokens, as a season plan on the users' sheets.
const TOKENS: (usize, usize) = (17_020, 120);
/// Tokens of a part that is listed finely.
const PART_TOKENS: usize = 2;
/// Time for which a crowd keeps its channels.
const STAY: Duration = Duration::from_secs(8);
/// Crowds that each gateway meets.
const CROWDS: usize = 8;
/// Time from which no further crowd comes.
const LAST_CROWD_S: f64 = 95.0;
/// Ends of a process on one machine, on two machines at least, that break the rule.
const MAX_ENDS: usize = 3;
/// Pause before the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Interval between looks at the memory of a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between requests of an ordinary caller.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

/// Plays the case.
pub fn play(record: &str, trouble: bool) -> Played {
    let record = Record::begin(record)?;
    let mut site = Site::start((MODELS, PLAIN, GATEWAYS), MEMORY_MB)?;
    record.line(format!(
        "{GATEWAYS} gateways are ready, with {} KiB each at most; memory of a machine: {MEMORY_MB} MB",
        site.gateways.iter().map(Gateway::memory_kib).max().unwrap_or(0)
    ));
    // In touch: calm for contactMs.
    thread::sleep(Duration::from_secs(4));
    let is_over = AtomicBool::new(false);
    let addresses = site.callers();
    let ends: Vec<usize> = thread::scope(|scope| {
        for to in addresses {
            let (record, is_over) = (&record, &is_over);
            scope.spawn(move || call_until(to, is_over, record));
        }
        let crowds: Vec<_> = site
            .gateways
            .iter_mut()
            .map(|gateway| scope.spawn(|| meet_crowds(gateway, trouble, &record)))
            .collect();
        let ends = crowds.into_iter().map(|c| c.join().expect("the crowds of a gateway")).collect();
        is_over.store(true, Ordering::Relaxed);
        ends
    });
    let machines = ends.iter().filter(|ends| **ends >= MAX_ENDS).count();
    record.line(format!("ends of processes, by machine: {ends:?}"));
    let runs = site.engines.runs.lock().expect("the runs");
    let whole = runs.iter().filter(|r| r.end == "whole answer sent").count();
    record.line(format!("engines ran {} requests, {whole} of them to the end", runs.len()));
    let is_broken = machines >= 2;
    record.line(if is_broken { "Fault: broken" } else { "Fault: held" });
    Ok(is_broken)
}

/// Sends crowds to a gateway one after another, and returns how often its process ended.
fn meet_crowds(gateway: &mut Gateway, trouble: bool, record: &Record) -> usize {
    let mut ends = 0;
    for crowd in 1..=CROWDS {
        if ends >= MAX_ENDS || record.seconds() > LAST_CROWD_S {
            break;
        }
        let (peak, has_ended) = meet_crowd(gateway, trouble, crowd);
        let how = if has_ended { "its process is ended" } else { "its process lives" };
        record.line(format!(
            "{}: crowd {crowd} of {CLIENTS} clients, peak of memory {peak} KiB, {how}",
            gateway.name
        ));
        if !has_ended {
            continue;
        }
        ends += 1;
        thread::sleep(RESTART_PAUSE);
        if let Err(e) = gateway.restart() {
            record.line(format!("{} does not start again: {e}", gateway.name));
            break;
        }
        let is_ready = gateway.wait_ready();
        record.line(format!("{} was started again, ready: {is_ready}", gateway.name));
    }
    ends
}

/// Sends a crowd; returns the peak of the process's memory in KiB, and whether the process ended.
fn meet_crowd(gateway: &mut Gateway, trouble: bool, crowd: usize) -> (u64, bool) {
    let to = gateway.callers;
    let requests: Vec<Vec<u8>> =
        (0..CLIENTS).map(|client| request(&gateway.name, crowd, client, trouble)).collect();
    let (mut peak, mut has_ended) = (0, false);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for requests in requests.chunks(CLIENTS.div_ceil(SENDERS)) {
            let is_over = &is_over;
            scope.spawn(move || {
                let mut channels = Vec::new();
                for request in requests {
                    let Ok(mut channel) = Channel::open(to, Duration::from_secs(2)) else {
                        continue;
                    };
                    drop(channel.send(request));
                    channels.push(channel);
                }
                while !is_over.load(Ordering::Relaxed) {
                    thread::sleep(LOOK_INTERVAL);
                }
            });
        }
        let until = Instant::now() + STAY;
        while !has_ended && Instant::now() < until {
            peak = peak.max(gateway.memory_kib());
            has_ended = gateway.has_ended() || peak > MEMORY_MB << 10;
            thread::sleep(LOOK_INTERVAL);
        }
        if has_ended {
            gateway.kill();
        }
        is_over.store(true, Ordering::Relaxed);
    });
    (peak, has_ended)
}

/// Returns a request for a season plan. Its prompt has thousands of parts, or three without the
/// disruption; the head has the same size.
fn request(gateway: &str, crowd: usize, client: usize, trouble: bool) -> Vec<u8> {
    static PART: AtomicU32 = AtomicU32::new(0);
    let (prompt, output) = TOKENS;
    let mut head = format!(
        "POST /plan/season HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {gateway}-{crowd}-{client}\r\n\
         X-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Usage: {prompt},{output}\r\n\
         Content-Length: 6\r\nX-Prompt-Prefix: "
    );
    let next = || PART.fetch_add(1, Ordering::Relaxed) & 0x00ff_ffff;
    let mut left = prompt;
    if trouble {
        while head.len() < HEAD_BYTES - 20 && left > PART_TOKENS {
            head.push_str(&format!("{:06x}:{PART_TOKENS},", next()));
            left -= PART_TOKENS;
        }
    } else {
        let digits = (HEAD_BYTES - head.len() - 40) / 2;
        for tokens in [prompt / 2, prompt / 4] {
            head.push_str(&format!("{:0>digits$x}:{tokens},", next()));
            left -= tokens;
        }
    }
    head.push_str(&format!("{:06x}:{left}\r\n\r\nprompt", next()));
    head.into_bytes()
}

/// Calls a gateway as an ordinary caller does, and records what came of it.
fn call_until(to: std::net::SocketAddr, is_over: &AtomicBool, record: &Record) {
    let (mut sent, mut served, mut number) = (0, 0, 0);
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let call = format!(
            "POST /confirm/shift HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n\
             X-Request-Id: ordinary-{}-{number}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nshift",
            to.ip()
        );
        let answered = Channel::open(to, Duration::from_secs(3)).and_then(|mut channel| {
            channel.send(call.as_bytes())?;
            channel.receive()
        });
        sent += 1;
        served += usize::from(answered.is_ok_and(|a| a.is_some_and(|a| a.status == 200)));
        thread::sleep(CALL_INTERVAL);
    }
    record.line(format!("an ordinary caller at {to}: {sent} calls, {served} served"));
}
