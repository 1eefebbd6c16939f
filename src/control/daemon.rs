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

use prometheus_client::encoding::text::encode;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use stakker::{ActorOwn, Share, Stakker, StopCause, actor, call, ret_nop};
use thiserror::Error;
use tiny_http::{Request, Response};

use super::{
    Lease, LeaseTiming,
    board::{Board, Context, ControlMetrics, Event},
    giver::Orders,
    keeper::LeaseKeeper,
};
use crate::{
    cloud::PlatformClient,
    config::ConfigStore,
    edge::http_server::{self, spawn},
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
    let own = format!("{}.{:x}", settings.id, fastrand::u64(..));
    let lease = Lease::new(own, timing).of_host(settings.id.clone());
    let board = Board { lease, config: ConfigStore::default(), hosts: Vec::new() };
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
