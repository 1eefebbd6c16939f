//! Graceful shutdown on a stop signal: requests in progress are completed first.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, StopCause, call, timer_max};

use crate::gateway::{context::Gateway, net::Phase, telemetry::Event};

/// How long new requests are still served once shutdown begins: callers cache gateway addresses for
/// some seconds.
const SERVE_TIME: Duration = Duration::from_millis(2_800);
/// How long new requests are then refused before idle connections are closed.
const REFUSE_TIME: Duration = Duration::from_millis(1_200);
/// How long before the end of the grace period the process exits by itself; the platform kills it
/// at the end.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Interval between checks of the requests in progress.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Controller of the process's shutdown.
#[derive(Debug)]
pub struct GracefulShutdown {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    began: Option<Instant>,
}

impl GracefulShutdown {
    /// Creates the controller; it is idle until [`Self::begin`].
    pub fn init(_: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        Some(Self { gateway, timer: stakker::MaxTimerKey::default(), began: None })
    }

    /// Begins the shutdown; further calls have no effect.
    pub fn begin(&mut self, cx: CX![]) {
        if self.began.is_some() {
            return;
        }
        self.began = Some(cx.now());
        self.enter(Phase::Leaving);
        self.gateway.send_to_controllers(|c| call!([c.peers], send_now()));
        call!([cx], tick());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let Some(began) = self.began else {
            return;
        };
        timer_max!(&mut self.timer, now + CHECK_PERIOD, [cx], tick());
        let since = now.saturating_duration_since(began);
        if since >= SERVE_TIME + REFUSE_TIME {
            self.enter(Phase::Closing);
        } else if since >= SERVE_TIME {
            self.enter(Phase::Refusing);
        }
        let grace = self.gateway.settings.borrow().bounds.grace;
        let idle = self.gateway.board.borrow().in_progress == 0 && self.gateway.unread.is_empty();
        let done = idle && self.gateway.shutdown.phase() == Phase::Closing;
        if done || since >= grace.saturating_sub(KILL_MARGIN) {
            cx.shutdown(StopCause::Stopped);
        }
    }

    fn enter(&self, phase: Phase) {
        if self.gateway.shutdown.phase() >= phase {
            return;
        }
        self.gateway.shutdown.advance(phase);
        let in_progress = self.gateway.board.borrow().in_progress;
        self.gateway.log(&Event::Leaving { phase, in_progress });
    }
}
