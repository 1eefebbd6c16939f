//! Admission at the door: refuse at once rather than queue without bound.

use std::time::Duration;

use super::Class;

/// Share of an entry process's limit up to which drafts are admitted, in percent.
const DRAFT_SHARE_PERCENT: u32 = 80;
/// Share up to which chats are admitted, in percent.
const CHAT_SHARE_PERCENT: u32 = 95;
/// Longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time that a refused caller is told to wait where nothing finishes yet.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What the decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput {
    /// Class of the request.
    pub class: Class,
    /// Requests in progress on this process.
    pub in_progress: u32,
    /// Requests in progress at most on this process.
    pub limit: u32,
    /// Requests of this customer in progress.
    pub customer_in_progress: u32,
    /// Requests of this customer in progress at most.
    pub customer_limit: u32,
    /// Requests that finish a second, lately.
    pub finished_per_second: f64,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Serve the request.
    Admit,
    /// Refuse it at once.
    Refuse {
        /// When room is likely.
        retry_after: Duration,
    },
}

/// Decides whether to serve a request. Lower classes are refused first, and a
/// customer over its own limit is refused whatever room there is.
pub fn admit(input: &AdmissionInput) -> Admission {
    let share = match input.class {
        Class::Call => 100,
        Class::Chat => CHAT_SHARE_PERCENT,
        Class::Draft => DRAFT_SHARE_PERCENT,
    };
    let room = u64::from(input.limit) * u64::from(share) / 100;
    let over_process = (u64::from(input.in_progress) + 1).saturating_sub(room);
    let over_customer =
        (u64::from(input.customer_in_progress) + 1).saturating_sub(input.customer_limit.into());
    match over_process.max(over_customer) {
        0 => Admission::Admit,
        excess => Admission::Refuse { retry_after: drain_time(excess, input.finished_per_second) },
    }
}

/// Returns how long it takes for `excess` requests to finish.
fn drain_time(excess: u64, finished_per_second: f64) -> Duration {
    if finished_per_second <= 0.0 {
        return UNKNOWN_RETRY_AFTER;
    }
    let seconds = excess as f64 / finished_per_second;
    Duration::from_secs_f64(seconds.clamp(1.0, MAX_RETRY_AFTER.as_secs_f64()))
}
