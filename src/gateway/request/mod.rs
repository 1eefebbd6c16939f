//! Request path: admission, upstream selection, attempts and relaying of the answer.

mod admission;
mod admit;
mod arrival;
mod attempt;
mod crash;
mod dial;
mod endpoints;
mod events;
mod forward;
mod health_check;
mod in_flight;
mod outcome;
mod permits;
mod prediction;
mod quarantine;
mod refusal;
mod relay;
mod report;
mod retries;
mod room;
mod select;
mod signals;
mod status;
mod stream_versions;
mod tunnel;

pub use admit::{Admitted, admit};
pub use crash::UpstreamProbes;
pub use dial::DialTarget;
pub use endpoints::{Endpoint, EndpointKind};
pub use events::EventSplitter;
pub use health_check::{CheckTarget, check_upstream};
pub use outcome::Outcome;
pub use permits::PermitRequests;
pub use refusal::Refusal;
pub use stream_versions::StreamVersionQuestions;
