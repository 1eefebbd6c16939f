//! Orders of engines, given by the holder of the lease.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::{CX, call, timer_max};
use tokio::task::spawn_local;

use crate::{
    gateway::{
        board::Board,
        context::Gateway,
        decide::{
            CapacityInput, Fleet, Mechanism, NeedPeak, OrderPace, OrderState, PaceInput, Wish,
            engines_needed, needed_at_start, plan_engines,
        },
        model::{Configuration, Scaling, ServiceName},
        peering::OrderReport,
        telemetry::Event,
    },
    ids::{DataCentre, UpstreamId},
    platform::{EngineOrder, OrderOutcome, PlatformError},
    telemetry::count,
};

/// Between looks at the load.
const PERIOD: Duration = Duration::from_millis(500);
/// How long after the load begins the number planned for the start is kept: by
/// then its rate is known and the engines' caches are warm.
const START_FOR: Duration = Duration::from_secs(8);

type Key = (ServiceName, DataCentre, bool);

/// Controller of the number of engines.
#[derive(Debug)]
pub struct Capacity {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    ordered: HashMap<Key, OrderPace>,
    loaded_since: HashMap<ServiceName, Instant>,
    needs: HashMap<ServiceName, NeedPeak>,
}

/// Returns how many tokens the cache of an upstream holds.
pub(super) fn cache_tokens(board: &Board, cfg: &Configuration, id: &UpstreamId) -> u64 {
    let service = board.upstreams.get(id).and_then(|v| cfg.services.get(&v.upstream.service));
    service.and_then(|s| s.engine).map_or(0, |e| e.cache_tokens)
}

impl Capacity {
    /// Starts the controller.
    pub fn init(cx: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        call!([cx], tick());
        let timer = stakker::MaxTimerKey::default();
        Some(Self {
            gateway,
            timer,
            ordered: HashMap::new(),
            loaded_since: HashMap::new(),
            needs: HashMap::new(),
        })
    }

    /// Looks at the engines at once: some may have announced that they go.
    pub fn fleet_changed(&mut self, cx: CX![]) {
        self.plan(cx.now());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        timer_max!(&mut self.timer, now + PERIOD, [cx], tick());
        self.plan(now);
    }

    /// Notes since when services have load, whoever holds the lease.
    fn note_load(&mut self, now: Instant) {
        let board = self.gateway.board.borrow();
        let services = board.configuration.iter().flat_map(|c| c.services.keys());
        for service in services.filter(|s| board.total_demand(s, now) > 0.0) {
            self.loaded_since.entry(service.clone()).or_insert(now);
        }
    }

    /// Returns the engines needed at least while the load is not known yet.
    fn floor(&self, service: &ServiceName, at_start: f64, now: Instant) -> f64 {
        let loaded = self.loaded_since.get(service);
        let known = loaded.is_some_and(|t| now.saturating_duration_since(*t) >= START_FOR);
        if known { 0.0 } else { at_start }
    }

    /// Returns the need that an earlier holder left, until this process has seen
    /// enough of the load itself. Without it, a kill of all processes during a wave
    /// of reclaims gave up reclaimable engines that were not to be had again.
    fn kept_need(&self, service: &ServiceName, now: Instant) -> f64 {
        let up = now.saturating_duration_since(self.gateway.started);
        let kept = self.gateway.board.borrow().kept_needs.get(service).copied();
        kept.filter(|_| up < START_FOR).unwrap_or_default()
    }

    /// Returns whether the platform has no reclaimable engines to give.
    fn is_dry(&self, service: &ServiceName, now: Instant) -> bool {
        let of_service = self.ordered.iter().filter(|((of, ..), _)| of == service);
        let mut reclaimable = of_service.filter(|((_, _, reclaimable), _)| *reclaimable);
        reclaimable.any(|(_, pace)| pace.is_refused(now))
    }

    /// Goes on from the orders of the holder before. Without them a new holder gave
    /// up engines on demand that had just been ordered, and expected reclaimable ones
    /// that were not to be had: eight seconds without cover in a wave of reclaims.
    fn inherit(&mut self, now: Instant) {
        if !self.ordered.is_empty() {
            return;
        }
        for order in &self.gateway.board.borrow().orders {
            let key = (order.service.clone(), order.data_centre.clone(), order.reclaimable);
            self.ordered.insert(key, OrderPace::resumed(order.count, order.refused, now));
        }
    }

    /// Tells the others the orders, for the holder after this one.
    fn tell_orders(&self, now: Instant) {
        let orders = self.ordered.iter().map(|((service, data_centre, reclaimable), pace)| {
            let (service, data_centre) = (service.clone(), data_centre.clone());
            let (count, refused) = (pace.count(), pace.is_refused(now));
            OrderReport { service, data_centre, reclaimable: *reclaimable, count, refused }
        });
        self.gateway.board.borrow_mut().orders = orders.collect();
    }

    fn plan(&mut self, now: Instant) {
        self.note_load(now);
        let configuration = self.gateway.board.borrow().configuration.clone();
        let services = configuration.iter().flat_map(|c| c.services.values());
        let scaled: Vec<_> =
            services.filter_map(|s| Some((&s.name, s.scaling.as_ref()?))).collect();
        // Also without the lease, so that the next holder knows the need of late.
        let needs: Vec<f64> = scaled.iter().map(|(name, _)| self.need(name, now)).collect();
        let board = self.gateway.board.borrow();
        if board.lease.may_act(now).is_none() || !board.upstreams_known {
            drop(board);
            self.ordered.clear();
            return;
        }
        drop(board);
        self.inherit(now);
        for ((name, scaling), need) in scaled.into_iter().zip(needs) {
            self.plan_service(name, scaling, need, now);
        }
        self.tell_orders(now);
    }

    /// Returns the engines that the load of a service has needed of late.
    fn need(&mut self, service: &ServiceName, now: Instant) -> f64 {
        let settings = self.gateway.settings.borrow();
        let board = self.gateway.board.borrow();
        let busy = board.busy(service, board.speed(service, &settings.off), now);
        let current = engines_needed(busy, board.slots(service), settings.capacity.safety);
        let peak = self.needs.entry(service.clone()).or_default().note(current, now);
        if settings.off.is_on(Mechanism::NeedPeak) { peak } else { current }
    }

    fn plan_service(&mut self, service: &ServiceName, scaling: &Scaling, need: f64, now: Instant) {
        let settings = self.gateway.settings.borrow();
        let (capacity, off) = (settings.capacity, settings.off.clone());
        drop(settings);
        let mut fleets = fleets(&self.gateway.board.borrow(), service, scaling);
        self.expect(&mut fleets, service, scaling.boot, now);
        let kept = self.kept_need(service, now);
        let needed = need.max(kept);
        self.gateway.board.borrow_mut().needs.insert(service.clone(), needed);
        let floor = self.floor(service, needed_at_start(scaling, &capacity.policy), now);
        let dry = self.is_dry(service, now);
        let losses = if off.is_on(Mechanism::LossCover) { capacity.policy.losses } else { 0 };
        let input = CapacityInput {
            needed: needed.max(floor),
            scaling,
            fleets: &fleets,
            losses,
            before_load: !self.loaded_since.contains_key(service),
        };
        for (data_centre, wish) in plan_engines(&input, &capacity.policy) {
            for (reclaimable, wished, serving) in kinds(wish, fleets[&data_centre]) {
                let key = (service.clone(), data_centre.clone(), reclaimable);
                let input = PaceInput {
                    wished,
                    serving,
                    reclaimable,
                    dry,
                    idle: needed <= 0.0,
                    load_known: kept <= 0.0,
                    boot: scaling.boot,
                };
                let pace = self.ordered.entry(key.clone());
                let pace = pace.or_insert_with(|| OrderPace::new(serving, now));
                if let Some(count) = pace.next(&input, now) {
                    self.order(key, count, needed, now);
                }
            }
        }
    }

    /// Adds what may be expected of earlier orders.
    fn expect(
        &self,
        fleets: &mut BTreeMap<DataCentre, Fleet>,
        service: &ServiceName,
        boot: Duration,
        now: Instant,
    ) {
        for (data_centre, fleet) in fleets {
            let pace = |kind| self.ordered.get(&(service.clone(), data_centre.clone(), kind));
            fleet.more_expected = pace(true).is_none_or(|p| p.may_start(boot, now));
            fleet.on_demand_starting =
                pace(false).map_or(0, |p| p.starting(fleet.on_demand, boot, now));
        }
    }

    fn order(&mut self, key: Key, count: u32, needed: f64, now: Instant) {
        if let Some(pace) = self.ordered.get_mut(&key) {
            pace.sent(now);
        }
        let (service, data_centre, reclaimable) = key;
        let order = EngineOrder { service, data_centre, reclaimable, count };
        spawn_local(send(self.gateway.clone(), order, needed));
    }

    /// Takes over what became of an order.
    pub fn ordered(
        &mut self,
        cx: CX![],
        order: EngineOrder,
        outcome: Result<OrderOutcome, PlatformError>,
    ) {
        let key = (order.service, order.data_centre, order.reclaimable);
        if let Some(pace) = self.ordered.get_mut(&key) {
            let state = match outcome {
                Ok(OrderOutcome::Accepted) => OrderState::Accepted,
                Ok(OrderOutcome::NoneAvailable) => OrderState::Refused,
                Err(_) => OrderState::Unknown,
            };
            pace.answered(order.count, state);
            if state == OrderState::Refused {
                // Others take as long to start as the refused ones would have.
                self.plan(cx.now());
            }
        }
    }
}

/// Returns each kind of engine: whether it is reclaimable, how many are wished
/// for and how many serve.
fn kinds(wish: Wish, fleet: Fleet) -> [(bool, u32, u32); 2] {
    [(true, wish.reclaimable, fleet.reclaimable), (false, wish.on_demand, fleet.on_demand)]
}

async fn send(gateway: Rc<Gateway>, order: EngineOrder, needed: f64) {
    let off = gateway.settings.borrow().off.clone();
    let speed = gateway.board.borrow().speed(&order.service, &off);
    let fence = || gateway.board.borrow().lease.may_act(Instant::now());
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
    count(&gateway.metrics.orders, label);
    gateway.tell(|c| call!([c.capacity], ordered(order, outcome)));
}

fn fleets(board: &Board, service: &str, scaling: &Scaling) -> BTreeMap<DataCentre, Fleet> {
    let names = scaling.prices.keys().cloned();
    let mut fleets: BTreeMap<DataCentre, Fleet> = names.map(|n| (n, Fleet::default())).collect();
    for view in board.serving(service) {
        let fleet = fleets.entry(view.upstream.data_centre.clone()).or_default();
        match view.upstream.reclaimable {
            true => fleet.reclaimable += 1,
            false => fleet.on_demand += 1,
        }
    }
    fleets
}
