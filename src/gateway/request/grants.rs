//! Requests that other gateways grant from their parts of limits.

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
        decide::{GRANT_RETRY_DELAY, GrantAnswer},
        model::Lifetime,
        peering::LimitShareMessage,
    },
};

/// Longest wait for another gateway's answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(250);

/// Questions to other gateways that are not answered yet.
#[derive(Debug, Default)]
pub struct Grants {
    socket: OnceCell<Rc<UdpSocket>>,
    asked: RefCell<HashMap<u64, oneshot::Sender<Option<Duration>>>>,
    last: Cell<u64>,
}

/// Where there is room for a request in the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// In this gateway's part, or the upstream has no limit.
    Own,
    /// Another gateway has taken it from its part.
    Granted,
}

/// Forgets a question whose request is gone or has waited for long enough.
struct Pending<'a> {
    grants: &'a Grants,
    number: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.grants.asked.borrow_mut().remove(&self.number);
    }
}

impl Grants {
    /// Sets the socket of the heartbeats, over which gateways ask each other.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::error!("the socket for questions to gateways was set before");
        }
    }

    fn send(&self, question: LimitShareMessage, to: SocketAddr) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let sent = question.encode().map(|datagram| socket.try_send_to(&datagram, to));
        match sent {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => log::debug!("question of a limit to {to}: {e}"),
            Err(e) => log::error!("a question of a limit cannot be encoded: {e}"),
        }
    }

    /// Asks a gateway for one request to an upstream; `None` if it does not answer in time.
    async fn ask(&self, upstream: Lifetime, holder: SocketAddr) -> Option<GrantAnswer> {
        let number = self.last.get().wrapping_add(1);
        self.last.set(number);
        let (tx, rx) = oneshot::channel();
        self.asked.borrow_mut().insert(number, tx);
        let _pending = Pending { grants: self, number };
        self.send(LimitShareMessage::Ask { number, upstream }, holder);
        let wait = timeout(ANSWER_WITHIN, rx).await.ok()?.ok()?;
        Some(wait.map_or(GrantAnswer::Granted, GrantAnswer::Denied))
    }
}

impl Gateway {
    /// Looks for room for a request in the limit of an upstream: in this gateway's part, or else
    /// in that of another one.
    pub(super) async fn find_room(&self, upstream: Lifetime) -> Option<Room> {
        let now = clock::now();
        if self.board.borrow().limits.wait(upstream, now) == Some(Duration::ZERO) {
            return Some(Room::Own);
        }
        let (holder, address) = self.board.borrow().peer_to_ask(upstream, now)?;
        let answer = self.grants.ask(upstream, address).await;
        let answer = answer.unwrap_or(GrantAnswer::Denied(GRANT_RETRY_DELAY));
        let mut board = self.board.borrow_mut();
        board.limits.note_answer(upstream, holder, answer, clock::now());
        (answer == GrantAnswer::Granted).then_some(Room::Granted)
    }

    /// Takes a request from the room that was found for it; `false` if it is gone.
    pub(super) fn use_room(&self, upstream: Lifetime, room: Room) -> bool {
        match room {
            Room::Own => self.board.borrow_mut().limits.take(upstream, clock::now()),
            Room::Granted => true,
        }
    }

    /// Takes over a question of another gateway, or its answer to one of this gateway's.
    pub fn hear_limit_question(&self, question: LimitShareMessage, from: SocketAddr) {
        match question {
            LimitShareMessage::Ask { number, upstream } => {
                let now = clock::now();
                let wait = self.board.borrow_mut().limits.grant(upstream, now).err();
                self.grants.send(LimitShareMessage::Answer { number, wait }, from);
            }
            LimitShareMessage::Answer { number, wait } => {
                // It may come too late: nobody waits for it any more.
                if let Some(tx) = self.grants.asked.borrow_mut().remove(&number)
                    && tx.send(wait).is_err()
                {
                    log::debug!("an answer on a limit from {from} came too late");
                }
            }
        }
    }
}
