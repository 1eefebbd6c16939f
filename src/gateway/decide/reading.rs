//! Which gateways call the platform's store for changes, and when.
//!
//! A long poll that is still waiting proves nothing: nothing may have changed, its answer may be
//! lost, or its connection may be dead. Only another call can tell. So the calls of the readers
//! are spread evenly over the store's clock, whatever became of the earlier calls. In addition,
//! the other gateways call in turn once their own knowledge has grown old.

use std::time::Duration;

use super::StoreMillis;
use crate::prefix;

/// Number of gateways that read the store on behalf of all. Each call is billed; with three
/// readers, one is left when two are cut off.
pub const READER_COUNT: usize = 3;
/// Interval between the calls of one reader. Some reader begins a call in every `CALL_SPACING`,
/// which leaves time for the result to reach all gateways within a second.
const READER_INTERVAL: Duration =
    Duration::from_millis(CALL_SPACING.as_millis() as u64 * READER_COUNT as u64);
/// Interval between the calls of all readers together.
pub const CALL_SPACING: Duration = Duration::from_millis(500);
/// Time in which the result of a call reaches all gateways.
const PROPAGATION_TIME: Duration = Duration::from_millis(300);
/// Shortest long poll.
const MIN_LONG_POLL: Duration = Duration::from_millis(150);
/// Age of knowledge from which gateways that are not readers call, too. Knowledge does not get
/// this old while readers are answered: the limit is above the interval between their calls plus
/// the propagation time.
const FALLBACK_AGE: Duration = Duration::from_millis(800);
/// Interval in which one of the gateways whose knowledge has grown old calls.
const FALLBACK_INTERVAL: Duration = Duration::from_millis(400);
/// Interval in which a gateway that does not call checks whether it has to.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Gateways that read the list of upstreams at the same time when all start together. The list is
/// long, and the store answers a limited number of calls a second; the other gateways get it from
/// these.
const STARTUP_BATCH: usize = 16;
/// Interval between such batches, made of gateways that have not received the list meanwhile.
const STARTUP_BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Returns how long a starting gateway waits to receive the list of upstreams from others before
/// it reads the list itself. `rank` is its place among all gateways that have announced
/// themselves, from 0.
pub fn startup_read_delay(rank: usize) -> Duration {
    STARTUP_BATCH_INTERVAL * (rank / STARTUP_BATCH) as u32
}

/// Returns the longest time between two reads of a table, as other gateways see them, while the
/// store answers. With fewer gateways than readers, fewer calls are made.
pub fn max_read_interval(gateways: usize) -> Duration {
    READER_INTERVAL / READER_COUNT.min(gateways.max(1)) as u32 + PROPAGATION_TIME
}

/// A gateway process that may become a reader. Candidates that the store answers sort first, then
/// by process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReaderCandidate<'a> {
    /// Whether the store does not answer this process, as far as is known.
    pub store_unreachable: bool,
    /// Identifier of the process.
    pub process: &'a str,
}

/// Returns the rank of `own` among the readers, from 0; `None` if it is not a reader. The first
/// `READER_COUNT` of all serving gateways that are heard are the readers: those that the store answers
/// come first. If the store answers nobody, the first ones by process remain readers.
pub fn reader_rank<'a>(
    own: ReaderCandidate<'a>,
    others: impl Iterator<Item = ReaderCandidate<'a>>,
) -> Option<usize> {
    let before = others.filter(|other| *other < own).take(READER_COUNT).count();
    (before < READER_COUNT).then_some(before)
}

/// Returns whether `own`, which is not a reader, makes the call of fallback interval number
/// `interval`. One gateway calls in each interval, so the number of calls does not grow with the
/// number of gateways. The order is by hash, so that gateways of one data centre, which may be cut
/// off together, do not follow each other.
fn is_fallback_reader<'a>(
    own: ReaderCandidate<'a>,
    others: impl Iterator<Item = ReaderCandidate<'a>>,
    interval: u64,
) -> bool {
    let mut all: Vec<ReaderCandidate<'a>> = others.chain([own]).collect();
    all.sort_unstable();
    // The readers call anyway.
    let mut candidates = all.split_off(READER_COUNT.min(all.len()));
    if candidates.iter().any(|c| !c.store_unreachable) {
        candidates.retain(|c| !c.store_unreachable);
    }
    candidates.sort_by_cached_key(|c| prefix::hash(c.process.as_bytes()));
    let chosen = interval as usize % candidates.len().max(1);
    candidates.get(chosen).is_some_and(|c| c.process == own.process)
}

/// What a gateway does next about a table that it follows in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAction {
    /// As a reader, calls and waits this long for changes; its next call follows then.
    LongPoll(Duration),
    /// In place of the readers, calls without waiting for changes, and decides again after this
    /// time.
    FallbackRead(Duration),
    /// Makes no call, and decides again after this time.
    Recheck(Duration),
}

/// Returns what a gateway does next whose knowledge of a table has the age `age`. `now` is the
/// time by the store's clock.
pub fn next_read_action<'a, I: Iterator<Item = ReaderCandidate<'a>>>(
    own: ReaderCandidate<'a>,
    others: impl Fn() -> I,
    age: Duration,
    now: StoreMillis,
) -> ReadAction {
    if let Some(rank) = reader_rank(own, others()) {
        return ReadAction::LongPoll(until_next_call(rank, now));
    }
    if age < FALLBACK_AGE {
        return ReadAction::Recheck(RECHECK_INTERVAL.min(FALLBACK_AGE - age));
    }
    let next_interval = FALLBACK_INTERVAL - Duration::from_millis(now % millis(FALLBACK_INTERVAL));
    match is_fallback_reader(own, others(), now / millis(FALLBACK_INTERVAL)) {
        true => ReadAction::FallbackRead(next_interval),
        false => ReadAction::Recheck(next_interval),
    }
}

/// Returns the time until the next call of the reader with this rank. The calls of all readers are
/// evenly spread: readers that are answered at the same time would otherwise wait, time out and
/// call again together.
fn until_next_call(rank: usize, now: StoreMillis) -> Duration {
    let interval = millis(READER_INTERVAL);
    let own = interval * rank as u64 / READER_COUNT as u64;
    let left = Duration::from_millis(interval - (now + interval - own) % interval);
    if left < MIN_LONG_POLL { left + READER_INTERVAL } else { left }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
