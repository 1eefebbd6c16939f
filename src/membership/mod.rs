//! Membership of the processes of a data centre, by heartbeats between random
//! pairs and news carried along (the SWIM protocol), and summaries between
//! data centres. Pure state: time comes in as an argument, random choices are
//! seeded by the incarnation; only the stamp of a summary is the wall clock's,
//! since processes compare them.

mod effect;
mod hearing;
mod heartbeats;
mod member;
mod news;
mod summaries;
mod timing;
mod view;

pub use effect::Effect;
pub use member::Member;
pub use news::News;
pub use timing::Timing;
pub use view::View;
