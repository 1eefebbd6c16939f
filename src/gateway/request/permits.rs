//! Permits under upstreams' rate limits. Each gateway holds a share of a limit; one whose share is
//! used up asks another gateway to grant a request from its share.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{net::UdpSocket, sync::oneshot, time::timeout};

use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{GRANT_RETRY_DELAY, GrantAnswer, GrantId},
        model::Lifetime,
        peering::LimitShareMessage,
    },
};

/// Time after which a question to another gateway counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Outstanding requests for permits to other gateways.
#[derive(Debug, Default)]
pub struct PermitRequests {
    socket: OnceCell<Rc<UdpSocket>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Option<Duration>>>>,
    last_number: Cell<u64>,
}

/// Which share of an upstream's rate limit a request is sent under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PermitSource {
    /// This gateway's share, or the upstream has no limit.
    Own,
    /// Another gateway's share, which that gateway has already charged.
    Granted,
}

/// Removes an outstanding question when its request is dropped or its wait timed out.
struct QuestionGuard<'a> {
    grants: &'a PermitRequests,
    number: u64,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        self.grants.pending.borrow_mut().remove(&self.number);
    }
}

impl PermitRequests {
    /// Sets the heartbeat socket, which also carries the questions between gateways.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::error!("the socket for permit questions to other gateways is already set");
        }
    }

    pub(super) fn send(&self, question: LimitShareMessage, to: SocketAddr) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let sent = question.encode().map(|datagram| socket.try_send_to(&datagram, to));
        match sent {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => log::debug!("failed to send rate-limit question to {to}: {e}"),
            Err(e) => log::error!("failed to encode rate-limit question: {e}"),
        }
    }

    /// Returns the number of the next question.
    pub(super) fn next_number(&self) -> u64 {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        number
    }

    /// Asks a gateway a question with its number; `None` if it does not answer in time.
    pub(super) async fn ask(
        &self,
        number: u64,
        question: LimitShareMessage,
        holder: SocketAddr,
    ) -> Option<GrantAnswer> {
        let (tx, rx) = oneshot::channel();
        self.pending.borrow_mut().insert(number, tx);
        let _guard = QuestionGuard { grants: self, number };
        self.send(question, holder);
        let wait = timeout(ANSWER_TIMEOUT, rx).await.ok()?.ok()?;
        Some(wait.map_or(GrantAnswer::Granted, GrantAnswer::Denied))
    }
}

impl Gateway {
    /// Finds a permit for a request under an upstream's rate limit, in this gateway's share or else
    /// in another gateway's. Returns `None` if neither has one.
    pub(super) async fn find_permit(&self, upstream: Lifetime) -> Option<PermitSource> {
        let now = clock::now();
        if self.board.borrow().limits.wait(upstream, now) == Some(Duration::ZERO) {
            return Some(PermitSource::Own);
        }
        let (holder, address) = self.board.borrow().peer_to_ask(upstream, now)?;
        let number = self.permit_requests.next_number();
        let question = LimitShareMessage::Ask { number, upstream };
        let answer = self.permit_requests.ask(number, question, address).await;
        let answer = answer.unwrap_or(GrantAnswer::Denied(GRANT_RETRY_DELAY));
        let mut board = self.board.borrow_mut();
        board.limits.note_answer(upstream, holder, answer, clock::now());
        (answer == GrantAnswer::Granted).then_some(PermitSource::Granted)
    }

    /// Uses the permit found for a request; `false` if this gateway's share was used up meanwhile.
    pub(super) fn take_permit(&self, upstream: Lifetime, source: PermitSource) -> bool {
        match source {
            PermitSource::Own => self.board.borrow_mut().limits.take(upstream, clock::now()),
            PermitSource::Granted => true,
        }
    }

    /// Handles a permit question of another gateway, or another gateway's answer to one of this
    /// gateway's questions.
    pub fn handle_limit_question(&self, question: LimitShareMessage, from: SocketAddr) {
        match question {
            LimitShareMessage::Ask { number, upstream } => {
                let now = clock::now();
                let wait = self.board.borrow_mut().limits.grant(upstream, from, now).err();
                self.permit_requests.send(LimitShareMessage::Answer { number, wait }, from);
            }
            LimitShareMessage::AskRoom { number, upstream } => {
                let (id, now) = (GrantId { grantee: Some(from), number }, clock::now());
                let wait = self.board.borrow_mut().grant_room(upstream, id, now).err();
                self.permit_requests.send(LimitShareMessage::Answer { number, wait }, from);
            }
            LimitShareMessage::GiveBackRoom { number, upstream, rejected } => {
                let id = GrantId { grantee: Some(from), number };
                let mut board = self.board.borrow_mut();
                board.room_grants.give_back(upstream, id, rejected, clock::now());
            }
            LimitShareMessage::Answer { number, wait } => {
                // A late answer has no receiver any more.
                if let Some(tx) = self.permit_requests.pending.borrow_mut().remove(&number)
                    && tx.send(wait).is_err()
                {
                    log::debug!("rate-limit answer from {from} arrived too late");
                }
            }
        }
    }
}
