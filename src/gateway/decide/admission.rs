//! Admission of a request to a service that may be overloaded: whether it is sent, waits at this
//! gateway for a free slot, or is refused.
//!
//! Addresses more work than the upstreams can do for some seconds.

use std::time::{Duration, Instant};

use super::{Backlog, PredictedService};

/// Ratio by which a prediction must exceed the time that the caller waits before the request is
/// refused. Upstreams answer in 0.8 to 1.9 times the predicted time, so that a request whose
/// prediction exceeds its time by less may still be served.
const LATE_MARGIN: f64 = 1.5;
/// Fraction of the most urgent route's objective beyond which a wait is overload: the other half is
/// left for the request's own service and for errors of the prediction.
const OVERLOAD_SHARE: f64 = 0.5;
/// Fraction of the objective for which a request may wait at the gateway, and beyond which the
/// predicted wait for a slot counts as a full upstream. A caller that is refused later than that
/// cannot be served elsewhere within its objective.
const WAIT_SHARE: f64 = 0.125;
/// Time of its budget that a caller must have used to count as returned. A caller that repeats at
/// once has used none, and times stated by callers vary by less.
const RETURNED_AFTER: Duration = Duration::from_millis(200);
/// Ratio of the overload at which a returned caller is refused to that of a new one.
const RETURNED_TOLERANCE: f64 = 2.0;
/// Shortest time after which callers abandon a stream without events.
const MIN_STREAM_GAP: Duration = Duration::from_secs(2);
/// The same as a multiple of the route's objective.
const STREAM_GAP_OBJECTIVES: u32 = 4;
/// The same as a multiple of the longest pause for which a stream is on time.
const STREAM_GAP_PAUSES: u32 = 8;

/// Ranks of the routes of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRanks {
    /// Distinct ranks in ascending order; 0 is the most urgent.
    ranks: Vec<u8>,
    /// Objective of the most urgent route, the shortest one if there are several.
    objective: Duration,
}

impl ServiceRanks {
    /// Creates the ranks from rank and objective of each route; at least one is expected.
    pub fn new(routes: impl Iterator<Item = (u8, Duration)>) -> Self {
        let mut routes: Vec<_> = routes.collect();
        routes.sort_unstable();
        let objective = routes.first().map_or(Duration::MAX, |(_, objective)| *objective);
        let mut ranks: Vec<u8> = routes.into_iter().map(|(rank, _)| rank).collect();
        ranks.dedup();
        Self { ranks, objective }
    }

    /// Returns the wait beyond which the service is overloaded.
    fn overload_wait(&self) -> Duration {
        self.objective.mul_f64(OVERLOAD_SHARE)
    }

    /// Returns the multiple of [`ServiceRanks::overload_wait`] from which requests of a rank are
    /// refused, and that at which all of them are. The least urgent rank begins at 1; the most
    /// urgent one ends at 2, where its requests can no longer be on time.
    fn ramp(&self, rank: u8) -> (f64, f64) {
        let count = self.ranks.len().max(1) as f64;
        let less_urgent = self.ranks.iter().filter(|r| **r > rank).count() as f64;
        // A customer's own rank may be less urgent than all routes of the service.
        let position = less_urgent.min(count - 1.0);
        (1.0 + position / count, 1.0 + (position + 1.0) / count)
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Current time.
    pub now: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// Predicted course at the best upstream; `None` if it is unknown.
    pub predicted: Option<PredictedService>,
    /// Time until the caller or the route gives the request up.
    pub time_left: Duration,
    /// Time of its usual budget that the caller has used before.
    pub used: Duration,
    /// Time without events after which a caller abandons a stream; `None` for other requests.
    pub abandons_after: Option<Duration>,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Ranks of the service's routes.
    pub ranks: &'a ServiceRanks,
    /// Whether it may wait at this gateway.
    pub may_wait: bool,
}

/// Why a request is refused for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It cannot be served within the time that its caller waits.
    TooLate,
    /// The service is overloaded.
    Overload,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is sent.
    Send,
    /// It waits at this gateway for a free slot.
    Wait {
        /// When it is refused if none became free.
        until: Instant,
    },
    /// It is refused; nothing was sent.
    Refuse {
        /// Delay after which the caller should come back.
        retry_after: Duration,
        /// Reason.
        reason: RefusalReason,
    },
}

impl AdmissionRequest<'_> {
    /// Returns whether the caller was refused before and waited.
    pub fn is_returned(&self) -> bool {
        self.used >= RETURNED_AFTER
    }

    /// Returns the share of requests like this one that are refused while `wait` lasts. Those that
    /// are predicted to be late have the least value to their callers, and are refused up to twice
    /// as often as others of their rank.
    pub fn shed_share(&self, wait: Duration) -> f64 {
        let unit = self.ranks.overload_wait().as_secs_f64().max(f64::EPSILON);
        let has_precedence = self.is_returned() && self.can_be_on_time();
        let tolerance = if has_precedence { RETURNED_TOLERANCE } else { 1.0 };
        let overload = wait.as_secs_f64() / (unit * tolerance);
        let (from, to) = self.ranks.ramp(self.rank);
        let share = ((overload - from) / (to - from)).clamp(0.0, 1.0);
        1.0 - (1.0 - share).powf(1.0 + self.lateness())
    }

    /// Returns whether the first event is predicted within the objective, which counts from the
    /// caller's first attempt.
    fn can_be_on_time(&self) -> bool {
        self.used + self.first_event() <= self.objective
    }

    /// Returns the predicted time to the first event; zero if it is unknown.
    fn first_event(&self) -> Duration {
        self.predicted.map_or(Duration::ZERO, |p| p.wait + p.service)
    }

    /// Returns by how much the request is predicted to miss its objective, as a fraction of that;
    /// from 0 to 1.
    fn lateness(&self) -> f64 {
        // A returned caller has precedence, so the time that it has used does not count against it.
        let first_event = self.first_event();
        let late = first_event.saturating_sub(self.objective).as_secs_f64();
        (late / self.objective.as_secs_f64().max(f64::EPSILON)).min(1.0)
    }

    /// Returns the wait below which a caller like this one is not refused.
    fn wait_limit(&self) -> Duration {
        let (from, _) = self.ranks.ramp(self.rank);
        self.ranks.overload_wait().mul_f64(from)
    }

    /// Returns the delay after which the caller should come back if the request is refused. `chance`
    /// is a random number from 0 to 1.
    pub fn retry_after(&self, backlog: &Backlog, chance: f64) -> Duration {
        backlog.retry_after(self.wait_limit(), self.time_left, chance, self.now)
    }

    /// Returns whether the predicted first event lies beyond what the caller waits.
    fn is_too_late(&self, predicted: &PredictedService) -> bool {
        let limit = self.abandons_after.map_or(self.time_left, |gap| gap.min(self.time_left));
        predicted.wait + predicted.service > limit.mul_f64(LATE_MARGIN)
    }
}

/// Decides on a request. `chance` is a random number from 0 to 1; it decides whether the request is
/// among those that are refused, and spreads the callers that come back.
///
/// A request without a prediction is sent: what is unknown is no reason to refuse it.
pub fn decide(request: &AdmissionRequest<'_>, backlog: &Backlog, chance: f64) -> Admission {
    let Some(predicted) = request.predicted else {
        return Admission::Send;
    };
    let share = request.shed_share(backlog.standing_wait(request.now));
    let reason = match (request.is_too_late(&predicted), chance < share) {
        (true, _) => Some(RefusalReason::TooLate),
        (false, true) => Some(RefusalReason::Overload),
        (false, false) => None,
    };
    if let Some(reason) = reason {
        let retry_after = request.retry_after(backlog, rescale(chance, share));
        return Admission::Refuse { retry_after, reason };
    }
    let until = request.arrived + max_wait(request.objective);
    let is_full = predicted.slot_wait > max_wait(request.objective.min(request.ranks.objective));
    if request.may_wait && is_full && until > request.now {
        return Admission::Wait { until };
    }
    Admission::Send
}

/// Returns how long a request may wait at a gateway, and the wait for a slot from which an upstream
/// is full for it.
pub fn max_wait(objective: Duration) -> Duration {
    objective.mul_f64(WAIT_SHARE)
}

/// Returns the time without events after which callers abandon a stream.
pub fn stream_abandoned_after(objective: Duration, max_pause: Option<Duration>) -> Duration {
    let by_pause = max_pause.unwrap_or_default().saturating_mul(STREAM_GAP_PAUSES);
    MIN_STREAM_GAP.max(objective.saturating_mul(STREAM_GAP_OBJECTIVES)).max(by_pause)
}

/// Spreads the random numbers below `share` over 0 to 1 again.
fn rescale(chance: f64, share: f64) -> f64 {
    if chance < share { chance / share } else { chance }
}
