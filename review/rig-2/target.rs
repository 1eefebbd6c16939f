//! Clients that the users do not control leave a `#` in the path or query of a request as it is. The
//! gateway passes only what stands before it on, and the engine runs another request than was sent.

use std::{thread, time::Duration};

use crate::{
    http::Channel,
    site::{HOST, KEY, Played, Record, Site},
};

/// Gateways, plain engines and memory of a machine, as in the smaller deployments.
const GATEWAYS: usize = 2;
const PLAIN: usize = 4;
const MEMORY_MB: u64 = 260;
/// Targets that clients send, with the sign that each leaves as it is.
const TARGETS: [&str; 3] = [
    "/confirm/shift#7/kitchen",
    "/confirm/shift?name=kitchen#7&volunteer=12",
    "/confirm/#/shift/7",
];

/// Plays the case.
pub fn play(record: &str, trouble: bool) -> Played {
    let record = Record::begin(record)?;
    let site = Site::start((1, PLAIN, GATEWAYS), MEMORY_MB)?;
    record.line(format!("{GATEWAYS} gateways are ready"));
    // In touch: calm for contactMs.
    thread::sleep(Duration::from_secs(4));
    let mut changed = 0;
    for to in site.callers() {
        for (number, target) in TARGETS.iter().enumerate() {
            let sent = if trouble { (*target).to_owned() } else { target.replace('#', "%23") };
            let id = format!("confirm-{}-{number}", to.ip());
            let status = call(&mut Channel::open(to, Duration::from_secs(4))?, &sent, &id);
            let run = site.engines.run(&id);
            let ran = run.as_ref().map_or("nothing", |r| r.target.as_str());
            let is_changed = run.as_ref().is_some_and(|r| r.target != sent);
            changed += usize::from(is_changed);
            record.line(format!(
                "{id}: sent POST {sent}, an engine ran {ran}, answered with {status}{}",
                if is_changed { ": CHANGED" } else { "" }
            ));
        }
    }
    record.line(format!("{changed} requests were run with another path or query"));
    record.line(if changed > 0 { "UNASKED: broken" } else { "UNASKED: held" });
    Ok(changed > 0)
}

/// Sends a request; returns the status of its answer, 0 if there is none.
fn call(channel: &mut Channel, target: &str, id: &str) -> u16 {
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nshift"
    );
    let answer = channel.send(request.as_bytes()).and_then(|()| channel.receive());
    answer.ok().flatten().map_or(0, |a| a.status)
}
