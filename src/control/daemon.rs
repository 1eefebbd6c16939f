//! Start, main loop and controllers of the control process.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    time::{Duration, Instant},
};

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use serde_json::json;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use stakker::{ActorOwn, CX, Share, Stakker, StopCause, actor, after, call, ret_nop};
use thiserror::Error;
use tiny_http::{Request, Response};

use super::{
    Lease, LeaseAction, LeaseRow, LeaseTiming,
    orders::{EngineReport, Order, missing_orders},
};
use crate::{
    config::ConfigStore,
    edge::{
        http_client::HttpClient,
        http_server::{self, spawn},
    },
    platform::{Check, HostEntry, HostRole, PlatformClient, PlatformError, Put, Txn, TxnOutcome},
    settings::ControlSettings,
};

/// Longest sleep of the main loop.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Longest silence of a caller of this process.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the process could not start.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A socket could not be opened.
    #[error("listen.http: {0}")]
    Socket(#[from] io::Error),
}

/// A message to the blackboard's thread.
enum Event {
    /// The lease's row was read, or could not be.
    LeaseRead(Result<(u64, Option<LeaseRow>), PlatformError>),
    /// The lease's row was written, or could not be.
    LeaseWritten { row: LeaseRow, sent: Instant, outcome: Result<TxnOutcome, PlatformError> },
    /// The configuration and the list of hosts were read.
    State(Box<ConfigStore>, Vec<HostEntry>),
    /// An engine's report was read: give the missing orders.
    Report(HostEntry, EngineReport),
    /// The process is to stop.
    Stop,
}

/// The blackboard.
struct Board {
    lease: Lease,
    config: ConfigStore,
    hosts: Vec<HostEntry>,
}

/// Metrics of the control process.
#[derive(Default)]
struct ControlMetrics {
    registry: Registry,
    fence: Gauge,
    holds_lease: Gauge,
    orders: Counter,
    refused_orders: Counter,
}

/// What the threads share.
struct Context {
    settings: ControlSettings,
    platform: PlatformClient,
    tx: Sender<Event>,
    metrics: ControlMetrics,
}

/// Runs the process until it is told to stop. Calls `ready` once its address is open.
pub fn run(settings: ControlSettings, ready: impl FnOnce(SocketAddr)) -> Result<(), ControlError> {
    let listener = http_server::bind(settings.http, READ_TIMEOUT)?;
    let addr = listener.local_addr()?;
    let (tx, rx) = channel();
    let platform = PlatformClient::new(settings.platform, settings.platform_timeout);
    let metrics = ControlMetrics::new();
    let context = Arc::new(Context { settings, platform, tx, metrics });
    let served = context.clone();
    let handler = Arc::new(move |request| handle(&served, request));
    http_server::serve(listener, READ_TIMEOUT, handler)?;
    watch_signals(context.tx.clone())?;
    ready(addr);
    main_loop(&context, &rx);
    Ok(())
}

impl ControlMetrics {
    fn new() -> Self {
        let mut this =
            Self { registry: Registry::with_prefix("tackhollow_control"), ..Self::default() };
        let r = &mut this.registry;
        r.register("fence", "Fencing number of the lease as last seen", this.fence.clone());
        r.register("holds_lease", "Whether this process may give orders", this.holds_lease.clone());
        r.register("orders", "Orders given", this.orders.clone());
        r.register("refused_orders", "Orders that engines refused", this.refused_orders.clone());
        this
    }
}

fn handle(cx: &Context, request: Request) {
    let response = match request.url() {
        "/healthz" => Response::from_string("ok\n"),
        "/metrics" => {
            let mut text = String::new();
            if encode(&mut text, &cx.metrics.registry).is_err() {
                text.clear();
            }
            Response::from_string(text)
        }
        _ => Response::from_string("not found\n").with_status_code(404),
    };
    if let Err(e) = request.respond(response) {
        log::debug!("the caller is gone: {e}");
    }
}

fn watch_signals(tx: Sender<Event>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    spawn("signals", move || {
        for _ in &mut signals {
            drop(tx.send(Event::Stop));
        }
    });
    Ok(())
}

fn main_loop(context: &Arc<Context>, rx: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let settings = &context.settings;
    let timing = LeaseTiming { ttl: settings.lease_ttl, margin: settings.lease_margin };
    let own = format!("{}-{:x}", settings.id, fastrand::u64(..));
    let board =
        Board { lease: Lease::new(own, timing), config: ConfigStore::default(), hosts: Vec::new() };
    let board = Share::new(s, board);
    let keeper: ActorOwn<LeaseKeeper> =
        actor!(s, LeaseKeeper::init(board.clone(), context.clone()), ret_nop!());
    let orders: ActorOwn<Orders> = actor!(s, Orders::init(board, context.clone()), ret_nop!());
    while s.not_shutdown() {
        s.run(Instant::now(), false);
        let wait = s.next_wait_max(Instant::now(), MAX_WAIT, false);
        let event = match rx.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        s.run(Instant::now(), false);
        match event {
            Event::LeaseRead(read) => call!([keeper], read_done(read)),
            Event::LeaseWritten { row, sent, outcome } => {
                call!([keeper], write_done(row, sent, outcome));
            }
            Event::State(config, hosts) => call!([orders], take_state(*config, hosts)),
            Event::Report(host, report) => call!([orders], take_report(host, report)),
            Event::Stop => s.shutdown(StopCause::Stopped),
        }
    }
}

/// Takes and renews the lease.
struct LeaseKeeper {
    board: Share<Board>,
    cx: Arc<Context>,
}

impl LeaseKeeper {
    fn init(cx: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
        let this = Self { board, cx: context };
        this.read();
        let _ = cx;
        Some(this)
    }

    fn key(context: &Context) -> String {
        format!("lease/orders/{}", context.settings.data_centre)
    }

    fn read(&self) {
        let context = self.cx.clone();
        spawn("lease-read", move || {
            let row = context.platform.get(&Self::key(&context)).map(|row| match row {
                Some(row) => (row.version, serde_json::from_value(row.value).ok()),
                None => (0, None),
            });
            drop(context.tx.send(Event::LeaseRead(row)));
        });
    }

    fn look_again(&mut self, cx: CX![]) {
        self.read();
        let _ = cx;
    }

    fn read_done(&mut self, cx: CX![], read: Result<(u64, Option<LeaseRow>), PlatformError>) {
        let now = cx.now();
        let lease = &mut self.board.rw(cx).lease;
        let action = match read {
            Ok((version, row)) => {
                lease.observe(version, row, now);
                lease.next_action(now)
            }
            Err(e) => {
                log::warn!("the lease cannot be read: {e}");
                LeaseAction::Wait
            }
        };
        match action {
            LeaseAction::Write { row_version, row } => self.write(row_version, row),
            LeaseAction::Wait => {
                after!(self.cx.settings.period, [cx], look_again());
            }
        }
        self.note(cx);
    }

    fn write(&self, row_version: u64, row: LeaseRow) {
        let context = self.cx.clone();
        spawn("lease-write", move || {
            let key = Self::key(&context);
            let txn = Txn {
                checks: vec![Check { key: key.clone(), version: row_version }],
                puts: vec![Put { key, value: json!(row) }],
            };
            let sent = Instant::now();
            let outcome = context.platform.txn(&txn);
            drop(context.tx.send(Event::LeaseWritten { row, sent, outcome }));
        });
    }

    fn write_done(
        &mut self,
        cx: CX![],
        row: LeaseRow,
        sent: Instant,
        outcome: Result<TxnOutcome, PlatformError>,
    ) {
        let now = cx.now();
        match outcome {
            Ok(TxnOutcome::Accepted(accepted)) => {
                let fresh = self.board.ro(cx).lease.may_order(now).is_none();
                if fresh {
                    log::info!("lease held by {} with fencing number {}", row.holder, row.fence);
                }
                self.board.rw(cx).lease.written(accepted.version, row, sent, now);
            }
            Ok(TxnOutcome::Refused(_)) => log::info!("another process has the lease"),
            // The write may have taken effect; the next read tells.
            Err(e) => log::warn!("the lease cannot be written: {e}"),
        }
        self.note(cx);
        after!(self.cx.settings.period, [cx], look_again());
    }

    fn note(&self, cx: CX![]) {
        let now = cx.now();
        let lease = &self.board.ro(cx).lease;
        let fence = lease.holder().map_or(0, |row| row.fence);
        self.cx.metrics.fence.set(fence as i64);
        self.cx.metrics.holds_lease.set(lease.may_order(now).is_some().into());
    }
}

/// Brings the engines to their wished state.
struct Orders {
    board: Share<Board>,
    cx: Arc<Context>,
}

impl Orders {
    fn init(cx: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
        let mut this = Self { board, cx: context };
        this.round(cx);
        Some(this)
    }

    /// Reads the configuration and the hosts, if this process holds the lease.
    fn round(&mut self, cx: CX![]) {
        let now = cx.now();
        if self.board.ro(cx).lease.may_order(now).is_some() {
            let context = self.cx.clone();
            spawn("state", move || match read_state(&context) {
                Ok((config, hosts)) => {
                    drop(context.tx.send(Event::State(Box::new(config), hosts)));
                }
                Err(e) => log::warn!("the state cannot be read: {e}"),
            });
        }
        after!(self.cx.settings.period, [cx], round());
    }

    fn take_state(&mut self, cx: CX![], config: ConfigStore, hosts: Vec<HostEntry>) {
        let board = self.board.rw(cx);
        board.config = config;
        board.hosts = hosts.into_iter().filter(|h| h.role == HostRole::Engine).collect();
        for host in &board.hosts {
            let (context, host) = (self.cx.clone(), host.clone());
            spawn("report", move || {
                let url = format!("http://{}/orders", host.addr);
                let client = HttpClient::fresh(order_timeout(&context.settings));
                let answer = client.call("GET", &url, &[], b"").ok();
                let report = answer.and_then(|a| serde_json::from_slice(&a.body).ok());
                if let Some(report) = report {
                    drop(context.tx.send(Event::Report(host, report)));
                }
            });
        }
    }

    fn take_report(&mut self, cx: CX![], host: HostEntry, report: EngineReport) {
        let now = cx.now();
        let board = self.board.ro(cx);
        let Some(fence) = board.lease.may_order(now) else {
            return;
        };
        let templates: Vec<_> = board.config.templates().collect();
        let orders = missing_orders(&host.models, &templates, &report, fence);
        let lease = board.lease.clone();
        for order in orders {
            let (context, lease, addr) = (self.cx.clone(), lease.clone(), host.addr);
            spawn("order", move || give(&context, &lease, addr, &order));
        }
    }
}

/// Gives an order, unless the lease may lapse before it is done: the clock is
/// read just before sending.
fn give(cx: &Context, lease: &Lease, addr: SocketAddr, order: &Order) {
    let body = serde_json::to_vec(order).unwrap_or_default();
    let client = HttpClient::fresh(order_timeout(&cx.settings));
    if lease.may_order(Instant::now()) != Some(order.fence) {
        log::info!("no order to {addr}: the lease may lapse");
        return;
    }
    match client.call("POST", &format!("http://{addr}/orders"), &[], &body) {
        Ok(answer) if answer.status == 200 => {
            cx.metrics.orders.inc();
            log::info!("order to {addr}: {} {} fence={}", order.action, order.name, order.fence);
        }
        Ok(answer) => {
            cx.metrics.refused_orders.inc();
            log::warn!("{addr} refused an order with status {}", answer.status);
        }
        Err(e) => log::warn!("no order to {addr}: {e}"),
    }
}

/// Longest time that an order may take: half the part of the lease in which
/// none is given.
fn order_timeout(settings: &ControlSettings) -> Duration {
    settings.lease_margin / 2
}

fn read_state(cx: &Context) -> Result<(ConfigStore, Vec<HostEntry>), PlatformError> {
    let (version, items) = crate::config::log::read_items(&cx.platform)?;
    let mut config = ConfigStore::default();
    config.take_snapshot(version, items);
    let hosts = cx.platform.hosts(&cx.settings.data_centre, 0)?.hosts;
    Ok((config, hosts))
}
