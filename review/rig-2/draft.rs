//! The operator keeps a draft of its next configuration in the store, in a part of its own. The gateways
//! put it in force, and unsafe requests run at a service to which no configuration sends them.

use std::{thread, time::Duration};

use crate::{
    http::Channel,
    site::{CONFIGURATION_VERSION, HOST, KEY, NEXT_SERVICE, Played, Record, Site, configuration},
};

/// Gateways, engines and memory of a machine, as in the smaller deployments.
const GATEWAYS: usize = 2;
const MODELS: usize = 1;
const PLAIN: usize = 4;
const MEMORY_MB: u64 = 260;
/// Engines of the service that the draft names.
const NEXT: usize = 2;
/// Part of the operator's table in which the draft stands.
const PART: &str = "draft";
/// Version of the draft.
const DRAFT_VERSION: u32 = CONFIGURATION_VERSION + 2;
/// Requests at each gateway.
const REQUESTS: usize = 5;

/// Plays the case.
pub fn play(record: &str, trouble: bool) -> Played {
    let record = Record::begin(record)?;
    let site = Site::start_with_next((MODELS, PLAIN, GATEWAYS), NEXT, MEMORY_MB)?;
    record.line(format!(
        "{GATEWAYS} gateways are ready; op/config has version {CONFIGURATION_VERSION}"
    ));
    if trouble {
        let draft = configuration(DRAFT_VERSION, NEXT_SERVICE);
        site.store.put_in("op", PART, "config", &draft);
        record.line(format!(
            "the operator writes a row with table op, part {PART:?} and key config: version \
             {DRAFT_VERSION}, which moves /confirm/ from app to {NEXT_SERVICE}"
        ));
    }
    // In touch: calm for contactMs.
    thread::sleep(Duration::from_secs(4));
    let mut wrong = 0;
    for to in site.callers() {
        let mut channel = Channel::open(to, Duration::from_secs(4))?;
        for number in 0..REQUESTS {
            let id = format!("confirm-{}-{number}", to.ip());
            let request = format!(
                "POST /confirm/shift HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Request-Id: {id}\r\n\
                 X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nshift"
            );
            channel.send(request.as_bytes())?;
            let status = channel.receive()?.map_or(0, |a| a.status);
            let run = site.engines.run(&id);
            let engine = run.as_ref().map_or("no engine", |r| r.engine.as_str());
            let is_wrong = engine.contains(NEXT_SERVICE);
            wrong += usize::from(is_wrong);
            record.line(format!(
                "{id}: run by {engine}, answered with {status}{}",
                if is_wrong { ": WRONG SERVICE" } else { "" }
            ));
        }
    }
    record.line(format!("{wrong} requests ran at a service to which op/config never sent them"));
    record.line(if wrong > 0 { "ROUTE: broken" } else { "ROUTE: held" });
    Ok(wrong > 0)
}
