//! Membership of the processes of a data centre, by heartbeats between random
//! pairs and news carried along (the SWIM protocol), and summaries between
//! data centres. Pure state: time and randomness come in as arguments.

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
