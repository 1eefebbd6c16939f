//! Shared context of a gateway process.

use std::{cell::RefCell, rc::Rc, time::Instant};

use stakker::call;

use super::{
    board::{Board, StoreState},
    controllers::Controllers,
    decide::{LimitAnnouncement, Mechanism, PartChange, QuarantineChange, StoreStability},
    model::{EndpointKind, Era, Lifetime, WatchedData},
    net::{BufferBudget, Intake, Phase, Pool, ServerState, Shutdown, UnreadAnswers},
    peering::ProcessId,
    reactor::ControllerWaker,
    request::{PermitRequests, StreamVersionQuestions, UpstreamProbes, WorkNotices},
    telemetry::{Event, GatewayMetrics, Journal},
};
use crate::{
    clock,
    ids::Incarnation,
    platform::{DutyClient, PlatformError, StoreClient},
    settings::{GatewaySettings, PlacementPolicy},
};

/// Shared context of a gateway process: settings, state, clients and telemetry. Controllers and
/// request tasks hold it in an `Rc`.
#[derive(Debug)]
pub struct Gateway {
    /// Settings in force; partly replaced when they are reloaded.
    pub settings: RefCell<GatewaySettings>,
    /// Id of this process: its host's name, a dot, and the incarnation in hexadecimal.
    pub process: ProcessId,
    /// Random number that tells this process from earlier ones on the same host.
    pub incarnation: Incarnation,
    /// When this process started, by [`clock`].
    pub started: Instant,
    /// Blackboard that controllers and request tasks share.
    pub board: RefCell<Board>,
    /// Connection pool for upstreams.
    pub pool: Pool,
    /// Memory for answers that are buffered whole.
    pub buffers: BufferBudget,
    /// Checks whether upstreams have terminated.
    pub upstream_probes: UpstreamProbes,
    /// Borrows requests from other gateways' shares of upstream rate limits.
    pub permit_requests: PermitRequests,
    /// Asks other gateways at which versions streams began.
    pub stream_version_questions: StreamVersionQuestions,
    /// Announces long prompts to other gateways.
    pub work_notices: WorkNotices,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Client of the platform's API for engine orders and usage reports.
    pub duties: DutyClient,
    /// Phase of the shutdown of this process.
    pub shutdown: Shutdown,
    /// Answers that their callers have not read.
    pub unread: UnreadAnswers,
    /// Connections of clients, and what they hold.
    pub intake: Intake,
    /// Writer of structured log events.
    pub journal: Journal,
    /// Metrics of this process.
    pub metrics: GatewayMetrics,
    /// Wakes the task that runs the controllers.
    pub waker: ControllerWaker,
    controllers: RefCell<Option<Rc<Controllers>>>,
}

impl Gateway {
    /// Creates the context of a process that starts now. Its controllers are set later.
    pub fn new(
        settings: GatewaySettings,
        incarnation: Incarnation,
        mut board: Board,
        journal: Journal,
    ) -> Self {
        let process = format!("{}.{incarnation:x}", settings.id);
        board.quotas.set_terms(settings.bounds.quotas);
        let store = StoreClient::new(settings.store);
        let store = match settings.off.is_enabled(Mechanism::StoreEras) {
            true => store,
            false => store.ignoring_eras(),
        };
        let metrics = GatewayMetrics::new();
        let intake = Intake::new(settings.host.intake_limits(), metrics.intake.clone());
        let unread = UnreadAnswers::new(settings.host.unread_answers, metrics.unread.clone());
        let duties = DutyClient::new(settings.api, settings.id.clone());
        Self {
            settings: RefCell::new(settings),
            process,
            incarnation,
            started: clock::now(),
            board: RefCell::new(board),
            pool: Pool::default(),
            buffers: BufferBudget::default(),
            upstream_probes: UpstreamProbes::default(),
            permit_requests: PermitRequests::default(),
            stream_version_questions: StreamVersionQuestions::default(),
            work_notices: WorkNotices::default(),
            store,
            duties,
            shutdown: Shutdown::default(),
            unread,
            intake,
            journal,
            metrics,
            waker: ControllerWaker::default(),
            controllers: RefCell::new(None),
        }
    }

    /// Returns what the connections of one of the gateway's servers share.
    pub fn server_state(&self, kind: EndpointKind) -> ServerState {
        let (shutdown, unread) = (self.shutdown.clone(), self.unread.clone());
        ServerState { shutdown, unread, intake: self.intake.clone(), kind }
    }

    /// Returns whether a mechanism is in use. Those of load control are used only where the settings
    /// enable it and the configuration ranks short requests well above long ones.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        self.uses_on(&self.board.borrow(), mechanism)
    }

    /// Returns the same as [`Gateway::uses`] where the board is borrowed already.
    pub fn uses_on(&self, board: &Board, mechanism: Mechanism) -> bool {
        let settings = self.settings.borrow();
        if !settings.off.is_enabled(mechanism) {
            return false;
        }
        if !mechanism.is_load_control() {
            return true;
        }
        // Only placing by cost needs the speeds of single upstreams.
        let by_cost = settings.load.placement == PlacementPolicy::Cost;
        if mechanism == Mechanism::UpstreamSpeeds && !by_cost {
            return false;
        }
        let spread = board.configuration.as_ref().map(|c| c.urgency_spread());
        settings.load.enabled && spread.is_some_and(|s| s >= settings.load.min_spread)
    }

    /// Returns whether upstreams are compared by the cost of a request there.
    pub fn places_by_cost(&self, board: &Board) -> bool {
        let by_cost = self.settings.borrow().load.placement == PlacementPolicy::Cost;
        by_cost
            && (self.uses_on(board, Mechanism::UpstreamSpeeds)
                || self.uses_on(board, Mechanism::RequestCosts))
    }

    /// Writes an event to the log.
    pub fn log(&self, event: &Event<'_>) {
        self.journal.write(event);
    }

    /// Sets the controllers once they have started. Messages to them before that are discarded.
    pub fn set_controllers(&self, controllers: Rc<Controllers>) {
        *self.controllers.borrow_mut() = Some(controllers);
    }

    /// Calls `message`, which queues calls to controllers, and wakes the task that runs them.
    pub fn send_to_controllers(&self, message: impl FnOnce(&Controllers)) {
        if let Some(controllers) = self.controllers.borrow().as_ref() {
            message(controllers);
        }
        self.waker.wake();
    }

    /// Returns the age of the knowledge of a followed table in milliseconds, for the log; `None` if
    /// it was never read.
    pub fn knowledge_age_ms(&self, of: WatchedData, now: Instant) -> Option<u64> {
        self.board.borrow().age(of, now).map(|age| age.as_millis() as u64)
    }

    /// Returns whether this process is ready for callers' requests: it is not shutting down, and
    /// knows the configuration, the upstreams and the quarantine verdicts.
    pub fn is_ready(&self) -> bool {
        let board = self.board.borrow();
        self.shutdown.phase() == Phase::Serving
            && board.configuration.is_some()
            && board.upstreams_knowledge.is_some()
            && board.crash_verdicts_ready(clock::now())
    }

    /// Logs changed quarantine verdicts on requests that crash upstreams, and updates the metric;
    /// `source` names their origin in the log.
    pub fn log_verdicts(&self, changes: &[QuarantineChange], source: &str) {
        for change in changes {
            self.log(&Event::Verdict {
                digest: &change.digest.to_string(),
                customer: &change.customer,
                ends: change.crashes,
                state: if change.quarantined { "quarantined" } else { "released" },
                source,
            });
        }
        if !changes.is_empty() {
            let held = self.board.borrow().crashes.quarantined();
            self.metrics.quarantined.set(held as i64);
        }
    }

    /// Logs changed quarantine verdicts on parts of prompts, and updates the metric; `source` names
    /// their origin in the log.
    pub fn log_part_verdicts(&self, changes: &[PartChange], source: &str) {
        for change in changes {
            self.log(&Event::PartVerdict {
                part: &change.part.to_string(),
                customer: &change.customer,
                ends: change.crashes,
                state: if change.quarantined { "quarantined" } else { "released" },
                source,
            });
        }
        if !changes.is_empty() {
            let held = self.board.borrow().crashes.parts().quarantined();
            self.metrics.quarantined_parts.set(held as i64);
        }
    }

    /// Logs and counts that an upstream announced that it is leaving. `request` is the request
    /// whose answer carried the announcement, empty if another gateway passed it on.
    pub fn log_upstream_leaving(&self, upstream: Lifetime, request: &str) {
        let board = self.board.borrow();
        self.log(&Event::SaidLeaving { upstream: board.upstream_name(upstream), request });
        self.metrics.said_leaving.inc();
    }

    /// Logs that the rate limit of an upstream has changed. `request` is the request whose answer
    /// carried the limit, empty if another gateway passed it on.
    pub fn log_rate_limit(&self, upstream: Lifetime, notice: LimitAnnouncement, request: &str) {
        let board = self.board.borrow();
        let upstream = board.upstream_name(upstream);
        self.log(&Event::RateLimit { upstream, rate: notice.rate, request });
    }

    /// Records whether a call to the store succeeded, and logs when the store becomes unavailable
    /// or available again, or has returned from a copy.
    pub fn record_store_outcome(&self, error: Option<&PlatformError>) {
        let now = clock::now();
        if let Some(era) = self.store.era() {
            self.note_store_era(era);
        }
        // The store answered.
        let error = error.filter(|e| !matches!(e, PlatformError::EraChanged));
        self.board.borrow_mut().steadiness.note(error.is_none(), now);
        let state = self.board.borrow().store;
        match (state, error) {
            (StoreState::OutageSince(since), None) => {
                self.board.borrow_mut().store = StoreState::RecoveredSince(now);
                let after_ms = now.duration_since(since).as_millis() as u64;
                self.log(&Event::DependencyRegained { dependency: "store", after_ms });
            }
            (StoreState::Up | StoreState::RecoveredSince(_), Some(error)) => {
                self.board.borrow_mut().store = StoreState::OutageSince(now);
                let error = error.to_string();
                self.log(&Event::DependencyLost { dependency: "store", error: &error });
            }
            (StoreState::OutageSince(_), Some(_))
            | (StoreState::Up | StoreState::RecoveredSince(_), None) => {}
        }
    }

    /// Records an era in which the store answers this process or another one. In a new one the store
    /// has been away, however short, and has lost some of what it acknowledged.
    pub fn note_store_era(&self, era: Era) {
        let mut board = self.board.borrow_mut();
        let known = board.store_era;
        board.store_era = known.max(Some(era));
        let Some(before) = known.filter(|known| *known < era) else {
            return;
        };
        let now = clock::now();
        board.steadiness = StoreStability::default();
        board.store_returned_at = Some(now);
        if board.store == StoreState::Up {
            board.store = StoreState::RecoveredSince(now);
        }
        drop(board);
        self.log(&Event::StoreReturned { era, before });
        self.send_to_controllers(|c| {
            call!([c.peers], store_returned());
            call!([c.crashes], store_returned());
            call!([c.rollouts], store_returned());
        });
        self.board.borrow().recorded_versions.added().notify_one();
    }
}
