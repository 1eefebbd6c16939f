//! What every part of the gateway holds on to.

use std::{cell::RefCell, rc::Rc, time::Instant};

use super::{
    board::{Board, StoreState},
    controllers::Controllers,
    decide::{Change, LimitNotice},
    model::{Followed, Lifetime},
    net::{Phase, Pool, Shutdown},
    peering::ProcessId,
    reactor::Wake,
    request::{EndChecks, Grants},
    telemetry::{Event, GatewayMetrics, Journal},
};
use crate::{
    clock,
    ids::Incarnation,
    platform::{DutyClient, PlatformError, StoreClient},
    settings::GatewaySettings,
};

/// What every part of the gateway holds on to.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: RefCell<GatewaySettings>,
    /// Name of this process.
    pub process: ProcessId,
    /// Number drawn at the start of this process.
    pub incarnation: Incarnation,
    /// When this process started.
    pub started: Instant,
    /// What this process believes.
    pub board: RefCell<Board>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Looks whether upstreams have ended.
    pub end_checks: EndChecks,
    /// Asks other gateways for requests of their parts of limits.
    pub grants: Grants,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Client of the platform's API.
    pub duties: DutyClient,
    /// How far this process has got with leaving.
    pub shutdown: Shutdown,
    /// The log.
    pub journal: Journal,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Wakes the controllers after a message to one of them.
    pub wake: Wake,
    controllers: RefCell<Option<Rc<Controllers>>>,
}

impl Gateway {
    /// Creates the context of a process that starts now.
    pub fn new(
        settings: GatewaySettings,
        incarnation: Incarnation,
        mut board: Board,
        journal: Journal,
    ) -> Self {
        let process = format!("{}.{incarnation:x}", settings.id);
        board.quotas.set_terms(settings.bounds.quotas);
        let store = StoreClient::new(settings.store);
        let duties = DutyClient::new(settings.api, settings.id.clone());
        Self {
            settings: RefCell::new(settings),
            process,
            incarnation,
            started: clock::now(),
            board: RefCell::new(board),
            pool: Pool::default(),
            end_checks: EndChecks::default(),
            grants: Grants::default(),
            store,
            duties,
            shutdown: Shutdown::default(),
            journal,
            metrics: GatewayMetrics::new(),
            wake: Wake::default(),
            controllers: RefCell::new(None),
        }
    }

    /// Writes an event to the log.
    pub fn log(&self, event: &Event<'_>) {
        self.journal.write(event);
    }

    /// Makes the controllers known, once they have started.
    pub fn set_controllers(&self, controllers: Rc<Controllers>) {
        *self.controllers.borrow_mut() = Some(controllers);
    }

    /// Hands a message to the controllers and wakes them.
    pub fn tell(&self, message: impl FnOnce(&Controllers)) {
        if let Some(controllers) = self.controllers.borrow().as_ref() {
            message(controllers);
        }
        self.wake.wake();
    }

    /// Returns how old what is known of something is, in milliseconds, for the log.
    pub fn age_ms(&self, of: Followed, now: Instant) -> Option<u64> {
        self.board.borrow().age(of, now).map(|age| age.as_millis() as u64)
    }

    /// Returns whether callers should use this process.
    pub fn is_ready(&self) -> bool {
        let board = self.board.borrow();
        self.shutdown.phase() == Phase::Serving
            && board.configuration.is_some()
            && board.upstreams_knowledge.is_some()
            && board.knows_crashes(clock::now())
    }

    /// Logs and counts verdicts on requests that crash upstreams; `source` says who
    /// came to them.
    pub fn note_verdicts(&self, changes: &[Change], source: &str) {
        for change in changes {
            self.log(&Event::Verdict {
                digest: &change.digest.to_string(),
                customer: &change.customer,
                ends: change.ends,
                state: if change.quarantined { "quarantined" } else { "released" },
                source,
            });
        }
        if !changes.is_empty() {
            let held = self.board.borrow().crashes.quarantined();
            self.metrics.quarantined.set(held as i64);
        }
    }

    /// Logs and counts that an upstream said that it leaves; `request` is the one whose answer
    /// said so, empty if another gateway tells it.
    pub fn log_leaving(&self, upstream: Lifetime, request: &str) {
        let board = self.board.borrow();
        self.log(&Event::SaidLeaving { upstream: board.upstream_name(upstream), request });
        self.metrics.said_leaving.inc();
    }

    /// Logs that the rate limit of an upstream has changed; `request` is the one whose answer
    /// said so, empty if another gateway tells it.
    pub fn log_limit(&self, upstream: Lifetime, notice: LimitNotice, request: &str) {
        let board = self.board.borrow();
        let upstream = board.upstream_name(upstream);
        self.log(&Event::RateLimit { upstream, rate: notice.rate, request });
    }

    /// Notes whether the store answered, and logs when that changes.
    pub fn note_store(&self, error: Option<&PlatformError>) {
        let now = clock::now();
        self.board.borrow_mut().steadiness.note(error.is_none(), now);
        let state = self.board.borrow().store;
        match (state, error) {
            (StoreState::Away(since), None) => {
                self.board.borrow_mut().store = StoreState::Returned(now);
                let after_ms = now.duration_since(since).as_millis() as u64;
                self.log(&Event::DependencyRegained { dependency: "store", after_ms });
            }
            (StoreState::Up | StoreState::Returned(_), Some(error)) => {
                self.board.borrow_mut().store = StoreState::Away(now);
                let error = error.to_string();
                self.log(&Event::DependencyLost { dependency: "store", error: &error });
            }
            (StoreState::Away(_), Some(_)) | (StoreState::Up | StoreState::Returned(_), None) => {}
        }
    }
}
