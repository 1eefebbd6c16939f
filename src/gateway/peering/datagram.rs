//! Datagrams between gateways, told apart by their first byte.

use super::{CrashNotice, Heartbeat, WireError, crash_notice::NOTICE_FORMAT};

/// What a datagram of another gateway holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// What it tells several times a second.
    Heartbeat(Box<Heartbeat>),
    /// What it tells of requests that crash upstreams.
    Crashes(CrashNotice),
}

impl Datagram {
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if it is none of another gateway of this version.
    pub fn decode(datagram: &[u8]) -> Result<Self, WireError> {
        match datagram.split_first() {
            Some((&NOTICE_FORMAT, notice)) => CrashNotice::decode(notice).map(Self::Crashes),
            _ => Heartbeat::decode(datagram).map(|beat| Self::Heartbeat(Box::new(beat))),
        }
    }
}
