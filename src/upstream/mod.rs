//! Upstreams as their owner sees them: pure state, fed by events and grants.

mod cache_sketch;
mod event;
mod grants;
mod owned;
mod state;

pub use cache_sketch::CacheSketch;
pub use event::UpstreamEvent;
pub use grants::{Grant, Grants};
pub use owned::{NoticeFor, Owned, OwnedSettings};
pub use state::UpstreamState;
