//! Giving orders to engines.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use stakker::{CX, Share, after};

use super::{
    Lease,
    board::{Board, Context, Event},
    orders::{EngineReport, Order, missing_orders},
};
use crate::{
    cloud::{HostEntry, HostRole, PlatformError},
    config::{ConfigStore, log as config_log},
    edge::{http_client::HttpClient, http_server::spawn},
    settings::ControlSettings,
};

/// Brings the engines to their wished state.
pub(super) struct Orders {
    board: Share<Board>,
    cx: Arc<Context>,
}

impl Orders {
    /// Starts the rounds.
    pub fn init(cx: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
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

    /// Takes the configuration and the hosts, and asks each engine for its report.
    pub fn take_state(&mut self, cx: CX![], config: ConfigStore, hosts: Vec<HostEntry>) {
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

    /// Gives the orders that an engine lacks.
    pub fn take_report(&mut self, cx: CX![], host: HostEntry, report: EngineReport) {
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
    let (version, items) = config_log::read_items(&cx.platform)?;
    let mut config = ConfigStore::default();
    config.take_snapshot(version, items);
    let hosts = cx.platform.hosts(&cx.settings.data_centre, 0)?.hosts;
    Ok((config, hosts))
}
