//! Request path: admission, upstream selection, attempts and relaying of the answer.

mod admit;
mod attempt;
mod crash;
mod endpoints;
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
pub use endpoints::{Door, DoorKind};
pub use events::EventSplitter;
pub use grants::Grants;
pub use outcome::Outcome;
pub use refusal::Refusal;
