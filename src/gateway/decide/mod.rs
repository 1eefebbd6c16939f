//! Decision logic of the gateway: functions and state machines without I/O. Callers pass in the
//! current time and random numbers.

mod backoff;
mod cache;
mod capacity;
mod clock;
mod cooldown;
mod crashes;
mod durable_state;
mod engine;
mod fan_out;
mod gossip;
mod knowledge;
mod leaving;
mod mechanism;
mod need;
mod order_pacer;
mod orders;
mod outcomes;
mod peak;
mod quota;
mod rate_limit;
mod reading;
mod removal;
mod reporting;
mod retry;
mod rollout;
mod speed;
mod store_stability;
mod upstream_health;
mod usage;
mod window_sum;

pub use backoff::Backoff;
pub use cache::CacheBelief;
pub use capacity::{CapacityInput, CapacityPolicy, Fleet, Wish, needed_at_start, plan_engines};
pub use clock::TrueClock;
pub use cooldown::RestBook;
pub use crashes::{
    Break, Breaks, Change, CopyReport, CrashBook, CrashNews, CrashVerdict, Permission,
    SuspectReport, TrialTurn, VerdictReport,
};
pub use durable_state::{CapacityRecord, Kept};
pub use engine::{Candidate, choose_engine, least_to_lose, predicted_wait};
pub use fan_out::{
    DIRECT, FAR_BYTES, NEAR_BYTES, PASSED_ON_WITHIN, Receivers, dealt, far_shares, receivers, turns,
};
pub use knowledge::{Knowledge, OLD, StoreClock, StoreMillis};
pub use leaving::{LeavingBook, LeavingReport};
pub use mechanism::{Mechanism, SwitchedOff};
pub use need::{Busy, LoadMeter, RequestCost, ServiceLoad, busy, engines_needed, mean_cost};
pub use order_pacer::{OrderPacer, OrderState, PaceInput};
pub use orders::{OrderBook, OrderKey, OrderReport};
pub use outcomes::{OutcomeMeter, Outcomes};
pub use peak::{Need, NeedMeter, NeedPeak};
pub use quota::{PeerTotal, QuotaBook, QuotaShare, QuotaTerms, QuotaUsedUp};
pub use rate_limit::{
    GRANT_RETRY, Holder, HolderAnswer, LimitBook, LimitMembers, LimitNotice, LimitReport,
};
pub use reading::{READERS, Reader, Turn, longest_calm_gap, rank, turn, wait_at_start};
pub use removal::{Removal, RowCount, have_lapsed};
pub use reporting::{beats_a_report, wait_after_takeover};
pub use retry::{RetryBook, RetryTerms};
pub use rollout::{
    AnswerCount, AnswerRow, Doubt, Exposing, ExposureTerms, Findings, Member, RolloutBook,
    RolloutChange, RolloutEnd, RolloutOrder, RolloutReport, RolloutStage, RolloutView, RouteKey,
    SentRow, Side, TypicalTimes,
};
pub use speed::{EngineSpeed, FirstToken, SpeedModel};
pub use store_stability::Steadiness;
pub use upstream_health::{Breaker, Verdict};
pub use usage::{Counts, UsageBook, Window};
pub use window_sum::WindowSum;
