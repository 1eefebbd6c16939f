//! Leaving on the stop signal, without cutting off a request.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, StopCause, call, timer_max};

use crate::gateway::{context::Gateway, net::Phase, telemetry::Event};

/// For how long callers that still hold the address are served: they keep an
/// answer for some seconds.
const SERVE_ON: Duration = Duration::from_millis(2_800);
/// For how long new requests are then refused before idle connections close.
const REFUSE: Duration = Duration::from_millis(1_200);
/// Time before the kill at which the process ends by itself.
const MARGIN: Duration = Duration::from_millis(250);
/// Between looks at what is in progress.
const PERIOD: Duration = Duration::from_millis(100);

/// Controller of leaving.
#[derive(Debug)]
pub struct Leaving {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    began: Option<Instant>,
}

impl Leaving {
    /// Starts the controller.
    pub fn init(_: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        Some(Self { gateway, timer: stakker::MaxTimerKey::default(), began: None })
    }

    /// Begins to leave.
    pub fn leave(&mut self, cx: CX![]) {
        if self.began.is_some() {
            return;
        }
        self.began = Some(cx.now());
        self.enter(Phase::Leaving);
        self.gateway.tell(|c| call!([c.peers], tell_now()));
        call!([cx], tick());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let Some(began) = self.began else {
            return;
        };
        timer_max!(&mut self.timer, now + PERIOD, [cx], tick());
        let since = now.saturating_duration_since(began);
        if since >= SERVE_ON + REFUSE {
            self.enter(Phase::Closing);
        } else if since >= SERVE_ON {
            self.enter(Phase::Refusing);
        }
        let grace = self.gateway.settings.borrow().bounds.grace;
        let idle = self.gateway.board.borrow().in_progress == 0;
        let done = idle && self.gateway.shutdown.phase() == Phase::Closing;
        if done || since >= grace.saturating_sub(MARGIN) {
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
