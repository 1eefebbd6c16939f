//! Engines state that they keep idle channels for as long as they can express. The gateway that reads
//! this breaks off the caller's channel in place of passing the engine's whole answer on.

use std::{thread, time::Duration};

use crate::{
    engine::IDLE_TIMEOUT,
    http::Channel,
    site::{HOST, KEY, Played, Record, Site},
};

/// Gateways, plain engines and memory of a machine, as in the smaller deployments.
const GATEWAYS: usize = 2;
const PLAIN: usize = 4;
const MEMORY_MB: u64 = 260;
/// Channels that clients keep to each gateway.
const CHANNELS: usize = 5;
/// A timeout in whole seconds: the largest number of 64 bits with a sign.
const LONGEST_TIMEOUT: &str = "9223372036854775807";
/// Requests, passed on from kept channels that were closed without an answer, that the rule allows.
const MAX_LOST: usize = 3;

/// Plays the case.
pub fn play(record: &str, trouble: bool) -> Played {
    let record = Record::begin(record)?;
    let site = Site::start((1, PLAIN, GATEWAYS), MEMORY_MB)?;
    record.line(format!("{GATEWAYS} gateways are ready"));
    // In touch: calm for contactMs.
    thread::sleep(Duration::from_secs(4));
    let mut channels = Vec::new();
    for to in site.callers() {
        for number in 0..CHANNELS {
            let mut channel = Channel::open(to, Duration::from_secs(4))?;
            let id = format!("status-{}-{number}", to.ip());
            let outcome = call(&mut channel, "GET /status/x", &id);
            record.line(format!("{id}: {outcome}"));
            channels.push((to, number, channel));
        }
    }
    let stated = if trouble { LONGEST_TIMEOUT } else { IDLE_TIMEOUT };
    site.engines.state_idle_timeout(stated);
    record.line(format!("engines state Keep-Alive: timeout={stated}"));
    let mut lost = 0;
    for (to, number, channel) in &mut channels {
        let id = format!("confirm-{}-{number}", to.ip());
        let outcome = call(channel, "POST /confirm/x", &id);
        let run = site.engines.run(&id);
        let end = run.as_ref().map_or("not run", |r| r.end);
        let engine = run.as_ref().map_or("no engine", |r| r.engine.as_str());
        record.line(format!("{id}: {outcome}; at {engine}: {end}"));
        lost += usize::from(outcome == Outcome::Closed && end == "whole answer sent");
    }
    let panics: usize = site.gateways.iter().map(|g| g.panics()).sum();
    record.line(format!("{lost} requests lost, {panics} panics in the gateways' logs"));
    let is_broken = lost > MAX_LOST;
    record.line(if is_broken { "LOST: broken" } else { "LOST: held" });
    Ok(is_broken)
}

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// An answer.
    Answered(u16),
    /// Nothing: the channel was closed.
    Closed,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "answered with {status}"),
            Self::Closed => write!(f, "the channel was closed without an answer"),
        }
    }
}

fn call(channel: &mut Channel, target: &str, id: &str) -> Outcome {
    let request = format!(
        "{target} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nshift"
    );
    let answer = channel.send(request.as_bytes()).and_then(|()| channel.receive());
    match answer {
        Ok(Some(answer)) => Outcome::Answered(answer.status),
        Ok(None) | Err(_) => Outcome::Closed,
    }
}
