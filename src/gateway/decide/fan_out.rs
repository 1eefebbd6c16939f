//! Which gateways each heartbeat is sent to, and which heartbeats of others are relayed with it.
//!
//! If each heartbeat went to every gateway, each gateway would receive as many messages per
//! period as there are gateways. Instead it is sent to a few, most of them in the sender's data
//! centre, and the receivers relay what they heard recently. Few messages cross data centres,
//! and each carries the heartbeats of the sender's data centre.

use std::time::Duration;

/// Gateways that each heartbeat is sent to.
pub const HEARTBEAT_FAN_OUT: usize = 6;
/// Age of a heartbeat up to which it is relayed. An older one has reached most gateways already,
/// or its sender is gone.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(600);
/// Size up to which relayed heartbeats are added to a datagram for another data centre, in
/// bytes: traffic between data centres is billed.
pub const MAX_FAR_DATAGRAM_BYTES: usize = 1_400;
/// Size up to which relayed heartbeats are added to a datagram within the data centre, in bytes:
/// two packets, as one is rarely lost there.
pub const MAX_NEAR_DATAGRAM_BYTES: usize = 2_800;

/// Number of gateways in the sender's data centre and elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverCount {
    /// Gateways in the sender's data centre.
    pub near: usize,
    /// Gateways in all other data centres together.
    pub far: usize,
}

/// Returns how many gateways a heartbeat is sent to, if `near` and `far` gateways exist.
pub fn choose_receiver_count(near: usize, far: usize) -> ReceiverCount {
    let across = far.min(HEARTBEAT_FAN_OUT.saturating_sub(near).max(1));
    ReceiverCount { near: near.min(HEARTBEAT_FAN_OUT - across), far: across }
}

/// Returns the indices of the up to `most` receivers of heartbeat `beat`, of `all` gateways in a
/// data centre. Receivers rotate, so that each gateway hears from the sender every few heartbeats.
pub fn rotating_receivers(all: usize, most: usize, beat: u32) -> impl Iterator<Item = usize> {
    let first = beat as usize * most;
    (first..first + most.min(all)).map(move |turn| turn % all)
}

/// Divides up to `most` receivers of heartbeat `beat` among the other data centres, which have
/// `sizes` gateways each; returns the number for each data centre. Data centres rotate, so that
/// each hears from the sender every few heartbeats.
pub fn receivers_per_data_centre(sizes: &[usize], most: usize, beat: u32) -> Vec<usize> {
    let mut shares = vec![0; sizes.len()];
    let mut left = most.min(sizes.iter().sum());
    let mut data_centre = beat as usize * most;
    while left > 0 {
        let at = data_centre % sizes.len();
        if shares[at] < sizes[at] {
            shares[at] += 1;
            left -= 1;
        }
        data_centre += 1;
    }
    shares
}

/// Returns the indices of all `heartbeats` in the order in which receiver `receiver` of
/// `receivers` is offered them. Each receiver is first offered a part of its own, so that
/// datagrams without room for all heartbeats carry different ones. The caller puts those first
/// that are to be relayed first.
pub fn relay_order(
    heartbeats: usize,
    receiver: usize,
    receivers: usize,
) -> impl Iterator<Item = usize> {
    let own = (receiver..heartbeats).step_by(receivers.max(1));
    let others = (0..heartbeats).filter(move |i| i % receivers.max(1) != receiver);
    own.chain(others)
}
