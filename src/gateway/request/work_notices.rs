//! Notices of long prompts that were just sent to upstreams.

use std::{
    cell::{OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use tokio::{
    net::UdpSocket,
    task::{spawn_local, yield_now},
};

use crate::{
    clock,
    gateway::{
        context::Gateway,
        decide::{Mechanism, NoticeDecision, WorkNoticePacer},
        model::Lifetime,
        peering::WorkNotice,
        telemetry::Event,
    },
};

/// Datagrams sent before other tasks run. Each takes some microseconds, and a notice goes to each
/// of up to 1,500 gateways.
const DATAGRAMS_PER_TURN: usize = 64;

/// Sends notices of long prompts to the other gateways.
#[derive(Debug, Default)]
pub struct WorkNotices {
    socket: OnceCell<Rc<UdpSocket>>,
    pacer: RefCell<WorkNoticePacer>,
}

impl WorkNotices {
    /// Sets the heartbeat socket, which also carries the notices.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::error!("the socket for work notices is already set");
        }
    }

    fn send(&self, notice: &WorkNotice, receivers: Vec<SocketAddr>) {
        let Some(socket) = self.socket.get().cloned() else {
            return;
        };
        match notice.encode() {
            Ok(datagram) => drop(spawn_local(send_to_all(socket, datagram, receivers))),
            Err(e) => log::error!("work notice cannot be encoded: {e}"),
        }
    }
}

/// Sends a datagram once to each receiver.
async fn send_to_all(socket: Rc<UdpSocket>, datagram: Vec<u8>, receivers: Vec<SocketAddr>) {
    for turn in receivers.chunks(DATAGRAMS_PER_TURN) {
        for address in turn {
            if let Err(e) = socket.try_send_to(&datagram, *address) {
                // Not sent again: it would arrive when the prompt has been processed.
                log::debug!("sending a work notice to {address} failed: {e}");
            }
        }
        yield_now().await;
    }
}

impl Gateway {
    /// Announces a request with `tokens` prompt tokens to process that was counted at an upstream,
    /// if it is one of the larger ones.
    pub(super) fn announce_work(&self, upstream: Lifetime, tokens: u32, now: Instant) {
        if tokens == 0 || !self.uses(Mechanism::WorkNotices) {
            return;
        }
        let board = self.board.borrow();
        let id = board.upstream_name(upstream);
        let Some(view) = board.upstreams.get(id) else {
            return;
        };
        let speed = board.speed(&view.upstream.service, &self.settings.borrow().off);
        let gateways = 1 + board.recently_heard(now).count();
        let mut pacer = self.work_notices.pacer.borrow_mut();
        let decision = pacer.decide(tokens, speed, gateways, now);
        let outcome = match decision {
            NoticeDecision::TooSmall => return,
            NoticeDecision::OverBudget => {
                self.metrics.work_notices_skipped.inc();
                "over_budget"
            }
            NoticeDecision::Send => {
                let up_ms = now.saturating_duration_since(self.started).as_millis() as u64;
                let incarnation = self.incarnation;
                let notice = WorkNotice { incarnation, up_ms, upstream, tokens };
                let receivers = board.recently_heard(now).map(|p| p.last.heartbeats).collect();
                self.work_notices.send(&notice, receivers);
                self.metrics.work_notices_sent.inc();
                "sent"
            }
        };
        self.log(&Event::WorkNotice {
            upstream: id,
            tokens,
            work_ms: f64::from(tokens) * speed.per_token * 1e3,
            threshold_ms: pacer.threshold_seconds() * 1e3,
            gateways,
            outcome,
        });
    }

    /// Handles another gateway's notice.
    pub fn handle_work_notice(&self, notice: &WorkNotice, from: SocketAddr) {
        if notice.incarnation == self.incarnation || !self.uses(Mechanism::WorkNotices) {
            return;
        }
        self.metrics.work_notices_received.inc();
        let off = &self.settings.borrow().off;
        let noted = self.board.borrow_mut().note_work(notice.request(), off, clock::now());
        if let Err(reason) = noted {
            log::debug!("work notice from {from} is ignored: {reason}");
        }
    }
}
