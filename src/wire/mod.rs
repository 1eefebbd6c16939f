//! Messages between the system's own processes, encoded as CBOR.

mod codec;
mod gossip;
mod peer;

pub use codec::{CodecError, decode, encode};
pub use gossip::{
    Adopted, Contact, DcSummary, Gossip, GossipBody, Liveness, MemberState, Rumour, Supply,
};
pub use peer::{
    DirectoryPage, HandedOver, PeerFrame, PeerReply, PeerRequest, PlaceReply, PlaceRequest,
    PlaceScope, Release, ReleaseOutcome, UpstreamAddr,
};
