//! Leaving: on a signal, or on a reclaim notice of this host.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use stakker::{Actor, CX, Share, StopCause, after, call};

use super::Membership;
use crate::{
    edge::http_server::spawn,
    entry::{
        board::{Board, Phase},
        context::Context,
        work,
    },
    wire::Contact,
};

/// Between looks at whether the process may stop.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time for last answers and datagrams to go out.
const LINGER: Duration = Duration::from_millis(300);
/// Pause before a hand-over is tried again.
const HAND_OVER_AGAIN: Duration = Duration::from_millis(500);

/// Leads the process to its end without cutting a request off.
///
/// Without a notice it serves callers who still hold its address, waits for
/// its requests, hands over its records and stops. With a notice it hands
/// over, in time before the end, what is still in progress too.
pub struct Shutdown {
    board: Share<Board>,
    cx: Arc<Context>,
    membership: Actor<Membership>,
    began: Option<Instant>,
    hand_over_at: Option<Instant>,
    handing_over: bool,
}

impl Shutdown {
    /// Creates the controller.
    pub fn init(
        _: CX![],
        board: Share<Board>,
        context: Arc<Context>,
        membership: Actor<Membership>,
    ) -> Option<Self> {
        let (began, hand_over_at, handing_over) = (None, None, false);
        Some(Self { board, cx: context, membership, began, hand_over_at, handing_over })
    }

    /// Begins to leave; `notice` is the time until the host goes, if it does.
    pub fn leave(&mut self, cx: CX![], notice: Option<Duration>) {
        let now = cx.now();
        if let Some(notice) = notice {
            let margin = self.cx.settings.limits.hand_over_margin;
            let at = now + notice.saturating_sub(margin);
            self.hand_over_at = Some(self.hand_over_at.map_or(at, |old| old.min(at)));
        }
        if self.began.is_some() {
            return;
        }
        log::info!("leaving; notice={:?}", notice);
        self.began = Some(now);
        self.board.rw(cx).phase = Phase::Leaving;
        call!([self.membership], leave());
        self.look(cx);
    }

    fn look(&mut self, cx: CX![]) {
        if self.handing_over {
            return;
        }
        let now = cx.now();
        let due = self.hand_over_at.is_some_and(|at| now >= at);
        if due || self.is_done(cx) {
            self.hand_over();
            return;
        }
        after!(LOOK_EVERY, [cx], look());
    }

    /// Returns whether no caller holds the address any more and nothing is in
    /// progress.
    fn is_done(&self, cx: CX![]) -> bool {
        let held = self.cx.settings.limits.entries_ttl;
        let unheld = self.began.is_some_and(|at| cx.now() >= at + held);
        let idle = self.board.ro(cx).progress.total == 0;
        unheld && idle && self.cx.records.in_progress().is_empty()
    }

    fn hand_over(&mut self) {
        self.handing_over = true;
        let context = self.cx.clone();
        spawn("hand-over", move || work::hand_over(&context));
    }

    /// Takes note of the end of a hand-over.
    pub fn handed_over(&mut self, cx: CX![], to: Option<Contact>) {
        if let Some(contact) = &to {
            log::info!("records handed over to {}", contact.id);
            self.board.rw(cx).phase = Phase::HandedOver;
            after!(LINGER, [cx], stop());
            return;
        }
        let busy = !self.cx.records.in_progress().is_empty();
        let holds_records = !self.cx.records.is_empty();
        if busy || (holds_records && self.may_try_again(cx)) {
            log::warn!("nobody takes the records; trying again");
            after!(HAND_OVER_AGAIN, [cx], try_again());
            return;
        }
        after!(LINGER, [cx], stop());
    }

    /// Returns whether there is time for another hand-over of finished records.
    fn may_try_again(&self, cx: CX![]) -> bool {
        const LONGEST: Duration = Duration::from_secs(10);
        let held = self.cx.settings.limits.entries_ttl;
        self.began.is_some_and(|at| cx.now() < at + held + LONGEST)
    }

    fn try_again(&mut self, _: CX![]) {
        self.hand_over();
    }

    fn stop(&mut self, cx: CX![]) {
        call!([self.membership], farewell());
        after!(LINGER, [cx], end());
    }

    fn end(&mut self, cx: CX![]) {
        log::info!("stopped");
        cx.shutdown(StopCause::Stopped);
    }
}
