//! Adapter between the platform's protocol and the gateway.
//!
//! The names that the platform, its upstreams and its callers use appear only in this
//! module. It translates each message once, in either direction; it makes no decisions
//! and keeps no state between calls.

mod call_target;
mod configuration;
mod duties;
mod error;
mod headers;
mod lookup;
mod paged_rows;
mod rollouts;
mod signals;
mod store;
mod store_wire;
mod upstreams;

use call_target::CallTarget;

pub use configuration::decode_configuration;
pub use duties::{DutyClient, EngineOrder, OrderOutcome};
pub use error::PlatformError;
pub use headers::{
    Attempt, Prompt, RequestHead, answering_instance, closes, decode_head, fits_header,
    is_not_executed, is_signed, is_unsigned_success, keep_alive, same_request, stamp_attempt,
    strip_hop_headers,
};
pub use lookup::{Lookup, decode_lookup, encode_addresses, is_ready_probe};
pub use rollouts::{
    RolloutDocument, RolloutState, decode_rollout, decode_rollout_status, encode_rollout_status,
    rollout_key, rollout_service,
};
pub use signals::{
    SignalError, announces_leaving, decode_max_rejections, decode_rate_limit, decode_retry_after,
};
pub use store::{Change, Feed, RowWrite, Snapshot, StoreClient, StoreRow, Table, WriteOutcome};
pub use upstreams::{EntryError, decode_upstream};
