//! Datagrams between gateways, told apart by their first byte.

use super::{
    CrashNotice, Heartbeat, LimitQuestion, PassedOn, WireError, crash_notice::NOTICE_FORMAT,
    heartbeat::decode_heartbeats, limit_question::LIMIT_FORMAT,
};
use crate::gateway::decide::dealt;

/// What a datagram of another gateway holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// What it tells several times a second, and what it passes on of others.
    Heartbeats(Box<Heartbeat>, Vec<PassedOn>),
    /// What it tells of requests that crash upstreams.
    Crashes(CrashNotice),
    /// A question for a part of a limit, or its answer.
    Limit(LimitQuestion),
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
            Some((&LIMIT_FORMAT, question)) => LimitQuestion::decode(question).map(Self::Limit),
            _ => decode_heartbeats(datagram)
                .map(|(beat, passed_on)| Self::Heartbeats(Box::new(beat), passed_on)),
        }
    }
}

/// Returns the datagrams for so many receivers: the sender's heartbeat, and with it as many of
/// `passed_on` as fit into `most_bytes`. Each receiver gets other ones, as long as there are
/// enough.
pub fn datagrams(
    heartbeat: &[u8],
    passed_on: &[Vec<u8>],
    receivers: usize,
    most_bytes: usize,
) -> impl Iterator<Item = Vec<u8>> {
    (0..receivers).map(move |receiver| {
        let mut datagram = heartbeat.to_vec();
        for i in dealt(passed_on.len(), receiver, receivers) {
            if datagram.len() + passed_on[i].len() <= most_bytes {
                datagram.extend_from_slice(&passed_on[i]);
            }
        }
        datagram
    })
}
