//! Decisions about requests: pure functions without sockets, clocks or
//! randomness of their own.

mod admission;
mod class;
mod engine_choice;
mod notice;
mod owner_choice;
mod retry;

pub use admission::{Admission, AdmissionInput, admit};
pub use class::Class;
pub use engine_choice::{Candidate, DEFAULT_PREFILL_RATE, Policy, begins_within, choose_upstream};
pub use notice::{NoticeAction, NoticeInput, on_notice};
pub use owner_choice::{OwnerChoice, OwnerView, rank_owners};
pub use retry::{AttemptEnd, RetryBudget, RetryDecision, RetryInput, decide_retry, pause_after};
