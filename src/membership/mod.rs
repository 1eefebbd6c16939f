//! Membership of the processes of a data centre, by heartbeats between random
//! pairs and news carried along (the SWIM protocol), and summaries between
//! data centres. Pure state: time and randomness come in as arguments.

mod member;
mod news;
mod view;

pub use member::Member;
pub use news::News;
pub use view::{Effect, Timing, View};
