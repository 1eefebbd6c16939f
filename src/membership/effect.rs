//! What the caller of a view has to do.

use std::net::SocketAddr;

use crate::{ids::ConfigVersion, wire::Gossip};

/// What the caller of a [`View`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Box<Gossip>),
    /// A peer has a newer configuration: fetch it there.
    NewerConfig {
        /// Where.
        peer: SocketAddr,
        /// Its version.
        version: ConfigVersion,
    },
    /// The set of working members changed.
    MembersChanged,
}
