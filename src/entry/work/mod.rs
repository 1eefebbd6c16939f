//! Running requests: placement, attempts at upstreams, hand-over.

mod call;
mod chat;
mod engine_protocol;
mod hand_over;
mod placer;

use std::sync::Arc;

use super::context::Context;
use crate::record::{Outcome, Record, Work};

pub use hand_over::hand_over;
pub use placer::place_in_data_centre;

/// Runs a new request to its end.
pub fn run(cx: &Arc<Context>, record: &Arc<Record>) {
    match &record.work {
        Work::Chat(chat) => chat::run(cx, record, chat, false),
        Work::Call(call) => call::run(cx, record, call),
    }
}

/// Runs a request on that was taken over.
pub fn resume(cx: &Arc<Context>, record: &Arc<Record>) {
    match &record.work {
        Work::Chat(chat) => chat::run(cx, record, chat, true),
        Work::Call(call) if call.repeatable => call::run(cx, record, call),
        Work::Call(_) => {
            let reason = "the host was reclaimed while it ran".to_owned();
            cx.finish(record, Outcome::Unknown { reason });
        }
    }
}
