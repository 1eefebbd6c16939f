//! Checks the health of upstreams whose rows lapsed in an outage of the store.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::task::spawn_local;

use crate::{
    gateway::{
        context::Gateway,
        decide::{CHECK_RETRY_DELAY, CheckRange, ShareHolder},
        model::Lifetime,
        request::{CheckTarget, check_upstream},
        telemetry::Event,
    },
    telemetry::count,
};

/// Interval between looks for upstreams to check, while rows are missing.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Controller of the health checks.
#[derive(Debug)]
pub struct RowChecks {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    is_ticking: bool,
    /// When each upstream was last checked.
    last_checks: HashMap<Lifetime, Instant>,
}

impl RowChecks {
    /// Creates the controller, which is idle until rows lapse.
    pub fn init(_: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        let timer = stakker::MaxTimerKey::default();
        Some(Self { gateway, timer, is_ticking: false, last_checks: HashMap::new() })
    }

    /// Begins to check upstreams, until no lapsed row is missing any more.
    pub fn rows_lapsed(&mut self, cx: CX![]) {
        if !self.is_ticking {
            self.is_ticking = true;
            self.tick(cx);
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        if !self.gateway.board.borrow().has_lapsed_rows() {
            self.is_ticking = false;
            self.last_checks.clear();
            return;
        }
        timer_max!(&mut self.timer, now + CHECK_PERIOD, [cx], tick());
        for target in self.targets(now) {
            self.last_checks.insert(target.lifetime, now);
            spawn_local(check(self.gateway.clone(), target));
        }
    }

    /// Returns the upstreams that this gateway has to check now.
    fn targets(&self, now: Instant) -> Vec<CheckTarget> {
        let own = ShareHolder::new(&self.gateway.settings.borrow().id);
        let board = self.gateway.board.borrow();
        let range = CheckRange::new(own, board.recently_heard(now).map(|p| p.holder));
        let due = board.upstreams_to_check(range, now);
        let targets = due.iter().filter_map(|id| {
            let view = board.upstreams.get(id)?;
            let service = board.configuration.as_ref()?.services.get(&view.upstream.service)?;
            CheckTarget::new(view, service)
        });
        targets.filter(|target| !self.is_recent(target.lifetime, now)).collect()
    }

    fn is_recent(&self, upstream: Lifetime, now: Instant) -> bool {
        let last = self.last_checks.get(&upstream);
        last.is_some_and(|at| now.saturating_duration_since(*at) < CHECK_RETRY_DELAY)
    }
}

async fn check(gateway: Rc<Gateway>, target: CheckTarget) {
    let result = check_upstream(&gateway, &target).await;
    count(&gateway.metrics.row_checks, result.name());
    gateway.log(&Event::RowChecked { upstream: &target.id, result: result.name() });
    let CheckTarget { id, lifetime, .. } = target;
    gateway.send_to_controllers(|c| call!([c.directory], row_checked(id, lifetime, result)));
}
