//! Datagrams between gateways, distinguished by their first byte.

use super::{
    CrashNotice, Heartbeat, LimitShareMessage, RelayedHeartbeat, StreamVersionMessage, WireError,
    WorkNotice, crash_notice::CRASH_NOTICE_FORMAT, heartbeat::decode_heartbeats,
    limit_share::LIMIT_FORMAT, stream_version::STREAM_VERSION_FORMAT,
    work_notice::WORK_NOTICE_FORMAT,
};
use crate::gateway::decide::relay_order;

/// A decoded datagram from another gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// The sender's heartbeat, and heartbeats of other gateways that it relays.
    Heartbeats(Box<Heartbeat>, Vec<RelayedHeartbeat>),
    /// A report about requests that crash upstreams.
    Crashes(Box<CrashNotice>),
    /// A request for a share of a rate limit, or the answer to one.
    Limit(LimitShareMessage),
    /// A message about the version at which a stream began.
    StreamVersion(StreamVersionMessage),
    /// A notice that the sender has sent a long prompt to an upstream.
    WorkNotice(WorkNotice),
}

impl Datagram {
    /// Decodes a datagram, including its first byte.
    ///
    /// # Errors
    ///
    /// Fails if it is not a datagram of another gateway of this version.
    pub fn decode(datagram: &[u8]) -> Result<Self, WireError> {
        match datagram.split_first() {
            Some((&CRASH_NOTICE_FORMAT, notice)) => {
                CrashNotice::decode(notice).map(|n| Self::Crashes(Box::new(n)))
            }
            Some((&LIMIT_FORMAT, message)) => LimitShareMessage::decode(message).map(Self::Limit),
            Some((&STREAM_VERSION_FORMAT, message)) => {
                StreamVersionMessage::decode(message).map(Self::StreamVersion)
            }
            Some((&WORK_NOTICE_FORMAT, notice)) => WorkNotice::decode(notice).map(Self::WorkNotice),
            _ => decode_heartbeats(datagram)
                .map(|(heartbeat, relayed)| Self::Heartbeats(Box::new(heartbeat), relayed)),
        }
    }
}

/// Builds one datagram for each receiver: the sender's heartbeat, followed by as many of the
/// relayed heartbeats as fit into `max_bytes`. Receivers get different relayed heartbeats, as
/// long as there are enough.
pub fn datagrams(
    heartbeat: &[u8],
    relayed: &[Vec<u8>],
    receivers: usize,
    max_bytes: usize,
) -> impl Iterator<Item = Vec<u8>> {
    (0..receivers).map(move |receiver| {
        let mut datagram = heartbeat.to_vec();
        for i in relay_order(relayed.len(), receiver, receivers) {
            if datagram.len() + relayed[i].len() <= max_bytes {
                datagram.extend_from_slice(&relayed[i]);
            }
        }
        datagram
    })
}
