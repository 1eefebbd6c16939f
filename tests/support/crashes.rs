//! Names of requests and upstreams for the tests of the book of crashing requests.

use std::time::{Duration, Instant};

use tackhollow::gateway::{
    decide::{Break, CrashBook},
    model::{Lifetime, RequestDigest},
};

/// Unix time at which everything begins, in milliseconds.
pub const TIME: u64 = 1_700_000_000_000;
pub const HOUR_MS: u64 = 3_600_000;

pub fn request(n: u64) -> RequestDigest {
    RequestDigest::of(&[&n.to_le_bytes()])
}

pub fn upstream(n: u64) -> Lifetime {
    Lifetime::new(&format!("i-{n}"), Some(TIME))
}

/// Time after which nobody tells of an end any more.
pub const SETTLED: Duration = Duration::from_secs(1);

/// Notes that `upstream` ended under these requests of one customer.
pub fn end(book: &mut CrashBook, at: u64, under: &[u64], now: Instant) {
    let broken = |n: &u64| Break {
        digest: request(*n),
        customer: "temple".to_owned(),
        lifetime: upstream(at),
    };
    under.iter().map(broken).for_each(|b| book.note_end(b, now));
}
