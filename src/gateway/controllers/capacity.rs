//! Autoscaling: the holder of the lease compares the engines that each service needs with those
//! it has, and orders engines from the platform.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::task::spawn_local;

use crate::{
    clock,
    gateway::{
        board::UpstreamView,
        context::Gateway,
        decide::{
            CapacityInput, DesiredEngines, EngineOrders, Fleet, Mechanism, Need, NeedMeter,
            OrderKey, OrderPacerInput, OrderState, engines_needed, min_engines_at_start,
            plan_engines,
        },
        model::{Scaling, ServiceName},
        telemetry::Event,
    },
    ids::DataCentre,
    platform::{EngineOrder, OrderOutcome, PlatformError},
    telemetry,
};

/// Interval between planning rounds.
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// How long after the first load of a service the number of engines planned for its start is a
/// lower bound: by then the request rate is known and the engines' caches are warm.
const STARTUP_WINDOW: Duration = Duration::from_secs(8);

/// Controller of the number of engines of each service.
#[derive(Debug)]
pub struct Capacity {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    orders: EngineOrders,
    loaded_since: HashMap<ServiceName, Instant>,
    need_meters: HashMap<ServiceName, NeedMeter>,
}

impl Capacity {
    /// Creates the controller and starts its planning rounds.
    pub fn init(cx: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        call!([cx], tick());
        let timer = stakker::MaxTimerKey::default();
        Some(Self {
            gateway,
            timer,
            orders: EngineOrders::default(),
            loaded_since: HashMap::new(),
            need_meters: HashMap::new(),
        })
    }

    /// Plans at once after a change of the list of upstreams: some engines may be draining.
    pub fn fleet_changed(&mut self, cx: CX![]) {
        self.plan(cx.now());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.timer, now + PLAN_PERIOD, [cx], tick());
        self.plan(now);
    }

    /// Records when the load of each service began, whether or not this process holds the lease.
    fn record_load_start(&mut self, now: Instant) {
        let board = self.gateway.board.borrow();
        let services = board.configuration.iter().flat_map(|c| c.services.keys());
        for service in services.filter(|s| board.total_demand(s, now) > 0.0) {
            self.loaded_since.entry(service.clone()).or_insert(now);
        }
    }

    /// Returns the lower bound of engines while the load is too new to be measured.
    fn startup_floor(&self, service: &ServiceName, at_start: f64, now: Instant) -> f64 {
        let loaded = self.loaded_since.get(service);
        let known = loaded.is_some_and(|t| now.saturating_duration_since(*t) >= STARTUP_WINDOW);
        if known { 0.0 } else { at_start }
    }

    /// Returns the need that an earlier lease holder persisted, or 0 once this process has
    /// measured the load for long enough itself. Without it, a kill of all gateways during a
    /// wave of reclaims released reclaimable engines that were not available again.
    fn inherited_need(&self, service: &ServiceName, now: Instant) -> f64 {
        let up = now.saturating_duration_since(self.gateway.started);
        let kept = self.gateway.board.borrow().previous_holder_needs.get(service).copied();
        kept.filter(|_| up < STARTUP_WINDOW).unwrap_or_default()
    }

    fn plan(&mut self, now: Instant) {
        self.record_load_start(now);
        let configuration = self.gateway.board.borrow().configuration.clone();
        let services = configuration.iter().flat_map(|c| c.services.values());
        let scaled: Vec<_> =
            services.filter_map(|s| Some((&s.name, s.scaling.as_ref()?))).collect();
        // Measured without the lease too: the next holder needs the recent history.
        let needs: Vec<Need> =
            scaled.iter().map(|(name, scaling)| self.need(name, scaling.boot, now)).collect();
        let board = self.gateway.board.borrow();
        if board.lease.may_act(now).is_none() || board.upstreams_knowledge.is_none() {
            drop(board);
            self.orders.clear();
            return;
        }
        self.orders.resume(&board.capacity.orders, now);
        drop(board);
        for ((name, scaling), need) in scaled.into_iter().zip(needs) {
            self.plan_service(name, scaling, need, now);
        }
        self.gateway.board.borrow_mut().capacity.orders = self.orders.reports(now);
    }

    /// Measures the load of a service and returns the engines that it has needed recently.
    fn need(&mut self, service: &ServiceName, boot: Duration, now: Instant) -> Need {
        let settings = self.gateway.settings.borrow();
        let board = self.gateway.board.borrow();
        let busy = board.busy(service, board.speed(service, &settings.off), now);
        let current = engines_needed(busy, board.slots(service), settings.capacity.safety);
        let meter = self.need_meters.entry(service.clone()).or_insert_with(|| NeedMeter::new(boot));
        let need = meter.record_need(current, now);
        match settings.off.is_enabled(Mechanism::NeedPeak) {
            true => need,
            false => Need { engines: current, reclaimable: current },
        }
    }

    fn plan_service(&mut self, service: &ServiceName, scaling: &Scaling, need: Need, now: Instant) {
        let inherited = self.inherited_need(service, now);
        let needed = need.engines.max(inherited);
        let need = Need { engines: needed, ..need };
        self.gateway.board.borrow_mut().capacity.needs.insert(service.clone(), needed);
        let dry = self.orders.is_reclaimable_unavailable(service, now);
        for (data_centre, wish, fleet) in self.fleet_targets(service, scaling, need, now) {
            for (reclaimable, wished, serving) in counts_by_kind(wish, fleet) {
                let (service, data_centre) = (service.clone(), data_centre.clone());
                let key = OrderKey { service, data_centre, reclaimable };
                let input = OrderPacerInput {
                    target_count: wished,
                    serving,
                    reclaimable,
                    reclaimable_unavailable: dry,
                    idle: needed <= 0.0,
                    load_known: inherited <= 0.0,
                    boot: scaling.boot,
                };
                if let Some(count) = self.orders.next_order_count(&key, &input, now) {
                    spawn_local(send_order(self.gateway.clone(), key, count, needed));
                }
            }
        }
    }

    /// Returns the wanted and the existing engines of a service in each data centre.
    fn fleet_targets(
        &self,
        service: &ServiceName,
        scaling: &Scaling,
        need: Need,
        now: Instant,
    ) -> Vec<(DataCentre, DesiredEngines, Fleet)> {
        let settings = self.gateway.settings.borrow();
        let policy = &settings.capacity.policy;
        let exposure = settings.bounds.exposure;
        let board = self.gateway.board.borrow();
        let mut fleets = fleets(board.carrying_traffic(service, exposure, now), scaling);
        drop(board);
        self.orders.add_expected_engines(service, &mut fleets, scaling.boot, now);
        let floor = self.startup_floor(service, min_engines_at_start(scaling, policy), now);
        let input = CapacityInput {
            need: Need { engines: need.engines.max(floor), ..need },
            scaling,
            fleets: &fleets,
            losses: if settings.off.is_enabled(Mechanism::LossCover) { policy.losses } else { 0 },
            before_load: !self.loaded_since.contains_key(service),
        };
        let wishes = plan_engines(&input, policy).into_iter();
        wishes.map(|(name, wish)| (name.clone(), wish, fleets[&name])).collect()
    }

    /// Handles the platform's answer to an order.
    pub fn order_completed(
        &mut self,
        cx: CX![],
        key: OrderKey,
        count: u32,
        outcome: Result<OrderOutcome, PlatformError>,
    ) {
        let state = match outcome {
            Ok(OrderOutcome::Accepted) => OrderState::Accepted,
            Ok(OrderOutcome::NoneAvailable) => OrderState::Refused,
            Err(_) => OrderState::Unknown,
        };
        self.orders.record_order_result(&key, count, state);
        if state == OrderState::Refused {
            // Engines ordered instead take as long to boot as the refused ones would have, so the
            // next order is not delayed further.
            self.plan(cx.now());
        }
    }
}

/// Returns for each kind of engine whether it is reclaimable, the wanted count and the serving
/// count.
fn counts_by_kind(wish: DesiredEngines, fleet: Fleet) -> [(bool, u32, u32); 2] {
    [(true, wish.reclaimable, fleet.reclaimable), (false, wish.on_demand, fleet.on_demand)]
}

async fn send_order(gateway: Rc<Gateway>, key: OrderKey, count: u32, needed: f64) {
    let OrderKey { service, data_centre, reclaimable } = key.clone();
    let order = EngineOrder { service, data_centre, reclaimable, count };
    let off = gateway.settings.borrow().off.clone();
    let speed = gateway.board.borrow().speed(&order.service, &off);
    let fence = || gateway.board.borrow().lease.may_act(clock::now());
    let outcome = gateway.duties.order_engines(fence, &order).await;
    let error = outcome.as_ref().err().map(ToString::to_string).unwrap_or_default();
    gateway.log(&Event::Engines {
        service: &order.service,
        data_centre: &order.data_centre,
        reclaimable: order.reclaimable,
        count: order.count,
        needed,
        tokens_per_second: speed.tokens_per_second(),
        fence: fence().unwrap_or_default(),
        outcome: outcome.as_ref().ok().copied(),
        error: &error,
    });
    let label = match &outcome {
        Ok(OrderOutcome::Accepted) => "accepted",
        Ok(OrderOutcome::NoneAvailable) => "none_available",
        Err(_) => "failed",
    };
    telemetry::count(&gateway.metrics.orders, label);
    gateway.send_to_controllers(|c| call!([c.capacity], order_completed(key, count, outcome)));
}

fn fleets<'a>(
    upstreams: impl Iterator<Item = &'a UpstreamView>,
    scaling: &Scaling,
) -> BTreeMap<DataCentre, Fleet> {
    let names = scaling.prices.keys().cloned();
    let mut fleets: BTreeMap<DataCentre, Fleet> = names.map(|n| (n, Fleet::default())).collect();
    for view in upstreams {
        let fleet = fleets.entry(view.upstream.data_centre.clone()).or_default();
        match view.upstream.reclaimable {
            true => fleet.reclaimable += 1,
            false => fleet.on_demand += 1,
        }
    }
    fleets
}
