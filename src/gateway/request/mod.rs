//! The way of a request: admission, attempts at upstreams, the answer.

mod admit;
mod attempt;
mod crash;
mod doors;
mod events;
mod forward;
mod grants;
mod in_flight;
mod operators;
mod outcome;
mod refusal;
mod relay;
mod report;
mod select;
mod signals;
mod status;

pub use admit::{Admitted, admit};
pub use crash::EndChecks;
pub use doors::{Door, DoorKind};
pub use events::EventSplitter;
pub use grants::Grants;
pub use outcome::Outcome;
pub use refusal::Refusal;
