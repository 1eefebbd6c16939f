//! Which gateways call the platform's store for changes, and when.
//!
//! A call that waits for changes says nothing while it waits: nothing may have changed,
//! its answer may be lost, or its connection may be dead. Only another call tells. So the
//! calls of the readers are spread over the store's clock, whatever became of those
//! before; and any other gateway calls, too, in turn, whose knowledge has grown old.

use std::time::Duration;

use super::StoreMillis;
use crate::prefix;

/// Gateways that read the store for all. Each call is paid for; three leave one when two
/// are cut off.
pub const READERS: usize = 3;
/// Between calls of one reader. Some call has then begun within `CALL_SPACING`, which leaves
/// time for the news to go round within a second.
const PERIOD: Duration = Duration::from_millis(CALL_SPACING.as_millis() as u64 * READERS as u64);
/// Between calls of all readers together.
pub const CALL_SPACING: Duration = Duration::from_millis(500);
/// Time in which the news of a call goes round.
const NEWS: Duration = Duration::from_millis(300);
/// Shortest wait of a call.
const SHORTEST_WAIT: Duration = Duration::from_millis(150);
/// Age of knowledge at which gateways that are no readers call, too: older than it grows
/// between the calls of the readers, until their news is heard.
const STALE: Duration = Duration::from_millis(800);
/// Time in which one gateway of those whose knowledge has grown old calls.
const STAND_IN_PERIOD: Duration = Duration::from_millis(400);
/// Between looks at whether it is this gateway's turn.
const LOOK: Duration = Duration::from_millis(200);

/// Gateways that read the list of upstreams at once when all start together. The list is long,
/// and the store answers so many calls a second; the others get it from these.
const STARTERS: usize = 16;
/// Between the reads of as many gateways that were not told it meanwhile.
const STARTERS_STEP: Duration = Duration::from_millis(200);

/// Returns how long a gateway that starts waits for others to tell it the list of upstreams
/// before it reads it. `rank` is its place among all gateways that have announced themselves.
pub fn wait_at_start(rank: usize) -> Duration {
    STARTERS_STEP * (rank / STARTERS) as u32
}

/// Returns the longest time between two reads of a table while the store answers so many
/// gateways: few of them make fewer calls.
pub fn longest_calm_gap(gateways: usize) -> Duration {
    PERIOD / READERS.min(gateways.max(1)) as u32 + NEWS
}

/// A process that might read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reader<'a> {
    /// Whether the store does not answer it, as far as it knows.
    pub turned_away: bool,
    /// The process.
    pub process: &'a str,
}

/// Returns the place of `own` among the few that read the store, of all that serve as
/// far as is heard: those that the store answers go first, each in the order of ids.
/// While the store answers nobody, the first few go on.
pub fn rank<'a>(own: Reader<'a>, others: impl Iterator<Item = Reader<'a>>) -> Option<usize> {
    let before = others.filter(|other| *other < own).take(READERS).count();
    (before < READERS).then_some(before)
}

/// Returns whether `own`, which is no reader, calls for those whose knowledge has grown old.
/// They take turns, whatever their number, so the calls do not grow with it; those of one
/// data centre, which may be cut off together, do not follow each other.
fn stands_in<'a>(own: Reader<'a>, others: impl Iterator<Item = Reader<'a>>, span: u64) -> bool {
    let mut all: Vec<Reader<'a>> = others.chain([own]).collect();
    all.sort_unstable();
    // The readers call anyway.
    let mut candidates = all.split_off(READERS.min(all.len()));
    if candidates.iter().any(|c| !c.turned_away) {
        candidates.retain(|c| !c.turned_away);
    }
    candidates.sort_by_cached_key(|c| prefix::hash(c.process.as_bytes()));
    let turn = span as usize % candidates.len().max(1);
    candidates.get(turn).is_some_and(|c| c.process == own.process)
}

/// What a gateway does about what it follows in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It calls and waits for changes, until its next turn.
    Wait(Duration),
    /// It calls for what there is, and looks again after this time.
    StandIn(Duration),
    /// It looks again after this time.
    Later(Duration),
}

/// Returns what a gateway does whose knowledge is `age` old.
pub fn turn<'a, I: Iterator<Item = Reader<'a>>>(
    own: Reader<'a>,
    others: impl Fn() -> I,
    age: Duration,
    now: StoreMillis,
) -> Turn {
    if let Some(rank) = rank(own, others()) {
        return Turn::Wait(until_turn(rank, now));
    }
    if age < STALE {
        return Turn::Later(LOOK.min(STALE - age));
    }
    let next_span = STAND_IN_PERIOD - Duration::from_millis(now % millis(STAND_IN_PERIOD));
    match stands_in(own, others(), now / millis(STAND_IN_PERIOD)) {
        true => Turn::StandIn(next_span),
        false => Turn::Later(next_span),
    }
}

/// Returns the time until the next turn of a reader. The turns of all readers are evenly
/// spread: readers that are answered together would otherwise wait, fail and come back
/// together.
fn until_turn(rank: usize, now: StoreMillis) -> Duration {
    let period = millis(PERIOD);
    let own = period * rank as u64 / READERS as u64;
    let left = Duration::from_millis(period - (now + period - own) % period);
    if left < SHORTEST_WAIT { left + PERIOD } else { left }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
