//! Room for requests at brittle upstreams, which one gateway grants for all.

use std::{net::SocketAddr, rc::Rc};

use crate::{
    clock,
    gateway::{
        board::RoomOwner,
        context::Gateway,
        decide::{GRANT_RETRY_DELAY, GrantAnswer, GrantId, Mechanism},
        model::Lifetime,
        peering::LimitShareMessage,
    },
};

/// Room for a request at a brittle upstream, or a question for it, which is given back when dropped.
#[derive(Debug)]
pub(super) struct RoomLease {
    gateway: Rc<Gateway>,
    upstream: Lifetime,
    /// Address of the gateway that grants it; `None` if this one does.
    owner: Option<SocketAddr>,
    number: u64,
    /// Whether the upstream rejected the request.
    rejected: bool,
}

impl RoomLease {
    /// Records that the upstream rejected the request for want of room.
    pub(super) fn note_rejected(&mut self) {
        self.rejected = true;
    }
}

impl Drop for RoomLease {
    fn drop(&mut self) {
        let Self { upstream, number, rejected, .. } = *self;
        match self.owner {
            Some(owner) => {
                let message = LimitShareMessage::GiveBackRoom { number, upstream, rejected };
                self.gateway.permit_requests.send(message, owner);
            }
            None => {
                let id = GrantId { grantee: None, number };
                let mut board = self.gateway.board.borrow_mut();
                board.room_grants.give_back(upstream, id, rejected, clock::now());
            }
        }
    }
}

/// Whether a request may be sent to an upstream, as far as its room is concerned.
#[derive(Debug)]
pub(super) enum RoomAnswer {
    /// The upstream is not brittle.
    NotNeeded,
    /// There is room.
    Granted(RoomLease),
    /// There is no room, or nobody could tell.
    Denied,
}

impl Gateway {
    /// Asks for room for a request at an upstream, if that is brittle.
    pub(super) async fn find_room(self: &Rc<Self>, upstream: Lifetime) -> RoomAnswer {
        if !self.settings.borrow().off.is_enabled(Mechanism::Brittleness) {
            return RoomAnswer::NotNeeded;
        }
        let now = clock::now();
        let owner = self.board.borrow().room_owner(upstream, now);
        let number = self.permit_requests.next_number();
        let lease =
            |owner| RoomLease { gateway: self.clone(), upstream, owner, number, rejected: false };
        match owner {
            RoomOwner::None => RoomAnswer::NotNeeded,
            RoomOwner::Unavailable => RoomAnswer::Denied,
            RoomOwner::Own => {
                let id = GrantId { grantee: None, number };
                let granted = self.board.borrow_mut().grant_room(upstream, id, now);
                granted.map_or(RoomAnswer::Denied, |()| RoomAnswer::Granted(lease(None)))
            }
            RoomOwner::Peer(holder, address) => {
                // Dropped if no answer arrives in time or the caller leaves.
                let lease = lease(Some(address));
                let question = LimitShareMessage::AskRoom { number, upstream };
                let answer = self.permit_requests.ask(number, question, address).await;
                let answer = answer.unwrap_or(GrantAnswer::Denied(GRANT_RETRY_DELAY));
                let mut board = self.board.borrow_mut();
                board.brittle.note_answer(upstream, holder, answer, clock::now());
                drop(board);
                match answer {
                    GrantAnswer::Granted => RoomAnswer::Granted(lease),
                    GrantAnswer::Denied(_) => RoomAnswer::Denied,
                }
            }
        }
    }
}
