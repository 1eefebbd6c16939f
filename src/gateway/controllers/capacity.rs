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
        decide::{CapacityInput, Fleet, Wish, needed_at_start, plan_engines},
        model::{Configuration, Scaling, ServiceName},
        request::PREFILL_TOKENS_PER_SECOND,
        telemetry::Event,
    },
    ids::{DataCentre, UpstreamId},
    platform::{EngineOrder, OrderOutcome, PlatformError},
    settings::CapacitySettings,
    telemetry::count,
};

/// Between looks at the load.
const PERIOD: Duration = Duration::from_millis(500);
/// How long a smaller number must suffice before engines are given up: load
/// comes in waves, and a start takes seconds.
const HOLD_BEFORE_FEWER: Duration = Duration::from_secs(4);
/// Pause after an order that was refused.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(1_800);
/// How long after the load begins the number planned for the start is kept: by
/// then its rate is known and the engines' caches are warm.
const START_FOR: Duration = Duration::from_secs(8);
/// Time beyond `boot` after which engines that do not serve are ordered anew.
const BOOT_SLACK: Duration = Duration::from_secs(3);
/// Data centres that may lose their reclaimable engines next.
const LOSSES: usize = 1;
/// The same while the platform has none to give: it takes them back in waves,
/// a data centre every few seconds, and one on demand takes longer to start.
const LOSSES_WHILE_DRY: usize = 2;

type Key = (ServiceName, DataCentre, bool);

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at: Instant,
    refused: bool,
    busy: bool,
    fewer_since: Option<Instant>,
}

/// Controller of the number of engines.
#[derive(Debug)]
pub struct Capacity {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    ordered: HashMap<Key, Ordered>,
    loaded_since: HashMap<ServiceName, Instant>,
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
        Some(Self { gateway, timer, ordered: HashMap::new(), loaded_since: HashMap::new() })
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

    fn losses(&self, service: &ServiceName) -> usize {
        let dry = self.ordered.iter().any(|((of, _, reclaimable), ordered)| {
            of == service && *reclaimable && ordered.refused
        });
        if dry { LOSSES_WHILE_DRY } else { LOSSES }
    }

    fn plan(&mut self, now: Instant) {
        self.note_load(now);
        let board = self.gateway.board.borrow();
        if board.lease.may_act(now).is_none() || !board.upstreams_known {
            drop(board);
            self.ordered.clear();
            return;
        }
        let Some(configuration) = board.configuration.clone() else {
            return;
        };
        let capacity = self.gateway.settings.borrow().capacity;
        let mut orders = Vec::new();
        for service in configuration.services.values() {
            if let Some(scaling) = &service.scaling {
                let needed = engines_needed(&board, &service.name, &capacity, now);
                let fleets = fleets(&board, &service.name, scaling);
                let at_start = needed_at_start(scaling, &capacity.policy);
                let floor = self.floor(&service.name, at_start, now);
                let input = CapacityInput {
                    needed: needed.max(floor),
                    scaling,
                    fleets: &fleets,
                    losses: self.losses(&service.name),
                };
                let wishes = plan_engines(&input, &capacity.policy);
                for (data_centre, wish) in wishes {
                    let fleet = fleets[&data_centre];
                    let at = (service.name.clone(), data_centre);
                    orders.push((at, wish, fleet, scaling.boot, needed));
                }
            }
        }
        drop(board);
        for ((service, data_centre), wish, fleet, boot, needed) in orders {
            for (reclaimable, wished, serving) in kinds(wish, fleet) {
                let key = (service.clone(), data_centre.clone(), reclaimable);
                if self.should_order(&key, wished, serving, boot, needed <= 0.0, now) {
                    self.order(key, wished, needed, now);
                }
            }
        }
    }

    /// Returns whether an order should be sent now. Where a service is `idle`,
    /// engines are given up at once.
    fn should_order(
        &mut self,
        key: &Key,
        wished: u32,
        serving: u32,
        boot: Duration,
        idle: bool,
        now: Instant,
    ) -> bool {
        let ordered = self.ordered.entry(key.clone()).or_insert(Ordered {
            count: serving,
            at: now,
            refused: false,
            busy: false,
            fewer_since: None,
        });
        let age = now.saturating_duration_since(ordered.at);
        if ordered.busy || (ordered.refused && age < PAUSE_AFTER_REFUSAL) {
            return false;
        }
        if wished > ordered.count || ordered.refused {
            ordered.fewer_since = None;
            return wished > serving;
        }
        // Engines of an earlier holder's order may show up late.
        if wished < ordered.count.max(serving) {
            let since = *ordered.fewer_since.get_or_insert(now);
            return idle || now.saturating_duration_since(since) >= HOLD_BEFORE_FEWER;
        }
        ordered.fewer_since = None;
        // The platform took engines back, or they do not start.
        serving < wished && age >= boot + BOOT_SLACK
    }

    fn order(&mut self, key: Key, count: u32, needed: f64, now: Instant) {
        if let Some(ordered) = self.ordered.get_mut(&key) {
            ordered.busy = true;
            ordered.at = now;
        }
        let (service, data_centre, reclaimable) = key;
        let order = EngineOrder { service, data_centre, reclaimable, count };
        spawn_local(send(self.gateway.clone(), order, needed));
    }

    /// Takes over what became of an order.
    pub fn ordered(
        &mut self,
        _: CX![],
        order: EngineOrder,
        outcome: Result<OrderOutcome, PlatformError>,
    ) {
        let key = (order.service, order.data_centre, order.reclaimable);
        if let Some(ordered) = self.ordered.get_mut(&key) {
            ordered.busy = false;
            ordered.refused = !matches!(outcome, Ok(OrderOutcome::Accepted));
            if !ordered.refused {
                ordered.count = order.count;
                ordered.fewer_since = None;
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
    let fence = || gateway.board.borrow().lease.may_act(Instant::now());
    let outcome = gateway.duties.order_engines(fence, &order).await;
    let error = outcome.as_ref().err().map(ToString::to_string).unwrap_or_default();
    gateway.log(&Event::Engines {
        service: &order.service,
        data_centre: &order.data_centre,
        reclaimable: order.reclaimable,
        count: order.count,
        needed,
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

/// Returns how many engines the load needs now.
fn engines_needed(board: &Board, service: &str, capacity: &CapacitySettings, now: Instant) -> f64 {
    let prefill = PREFILL_TOKENS_PER_SECOND * capacity.prefill_share;
    let reading = board.total_demand(service, now) / prefill;
    let of_service = board.of_service(service);
    let (mut running, mut slots) = (0.0, 1.0_f64);
    for view in of_service {
        // Requests that wait count up to a full engine: a queue tells of the
        // load of a moment ago, and would order engines without end.
        let most = view.upstream.slots.max(1);
        running += f64::from((view.own.running + view.others.running).min(most));
        slots = slots.max(f64::from(most));
    }
    reading + running / (slots * capacity.slot_share)
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
