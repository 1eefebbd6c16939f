//! Decisions: pure functions over plain state, without sockets, clocks or
//! randomness of their own.

mod breaker;
mod cache;
mod capacity;
mod clock;
mod engine;
mod kept;
mod pace;
mod quota;
mod retry;
mod usage;

pub use breaker::{Breaker, Verdict};
pub use cache::CacheBelief;
pub use capacity::{CapacityInput, CapacityPolicy, Fleet, Wish, needed_at_start, plan_engines};
pub use clock::TrueClock;
pub use engine::{Candidate, EngineSpeed, choose_engine, predicted_wait};
pub use kept::Kept;
pub use pace::{OrderPace, PaceInput};
pub use quota::{PeerTotal, QuotaBook, QuotaShare};
pub use retry::{RetryBook, RetryTerms};
pub use usage::{Counts, UsageBook, Window};
