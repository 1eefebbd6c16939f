//! Sending of arrivals, each on a thread of its own.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use tackhollow::caller::{Answer, Caller, CallerError};

use super::{
    cli::LoadOptions,
    mix::{Arrival, Ask},
};

/// Stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// Its answer.
    pub answer: Result<Answer, CallerError>,
    /// Time until the verdict.
    pub took: Duration,
}

/// Sends all arrivals at their times and waits for every verdict.
pub fn run(options: &LoadOptions, arrivals: &[Arrival]) -> Vec<Outcome> {
    let caller = |key: &String| {
        Arc::new(Caller::new(options.entries.clone(), key).with_patience(options.patience))
    };
    let callers: Vec<Arc<Caller>> = options.keys.iter().map(caller).collect();
    let began = Instant::now();
    let mut threads = Vec::new();
    for arrival in arrivals {
        thread::sleep(arrival.at.saturating_sub(began.elapsed()));
        let (arrival, caller) = (arrival.clone(), callers[arrival.customer].clone());
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        match builder.spawn(move || send(&caller, arrival)) {
            Ok(thread) => threads.push(thread),
            Err(e) => eprintln!("a request is not sent: {e}"),
        }
    }
    threads.into_iter().filter_map(|t| t.join().ok()).collect()
}

fn send(caller: &Caller, arrival: Arrival) -> Outcome {
    let began = Instant::now();
    let answer = match caller.new_key() {
        None => Err(CallerError::NoEntry),
        Some(key) => match &arrival.ask {
            Ask::Chat(chat) => caller.chat(chat, &key),
            Ask::Confirm(body) => caller.call("confirm", "/shift", body, &key),
        },
    };
    Outcome { arrival, answer, took: began.elapsed() }
}
