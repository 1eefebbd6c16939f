//! Startup, signal handling and datagram reception of the gateway process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use stakker::{Stakker, call};
use thiserror::Error;
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    task::{LocalSet, spawn_local},
};

use super::{
    board::Board,
    context::Gateway,
    controllers::{
        Controllers, follow_table, keep_stream_rows, keep_version_record, register_member,
        restore_state,
    },
    decide::PeerCorrectedClock,
    model::{EndpointKind, WatchedData},
    net::{Phase, serve},
    peering::Datagram,
    reactor,
    request::Endpoint,
    telemetry::{Event, Journal},
};
use crate::{clock, settings::GatewaySettings, time::unix_millis};

/// Size of the receive buffer: no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Time for writing the last log lines before the process exits.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20);

/// Error that prevents the process from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The runtime or a signal handler could not start.
    #[error("cannot start the runtime or a signal handler: {0}")]
    Runtime(io::Error),
    /// A socket could not be bound.
    #[error("cannot bind {address}: {source}")]
    Socket {
        /// Local address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs the gateway until its shutdown is complete.
///
/// # Errors
///
/// Fails if the runtime or a signal handler cannot be started, or a socket cannot be bound.
pub fn run(settings: GatewaySettings) -> Result<(), StartError> {
    let runtime =
        Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, start(settings))
}

async fn start(settings: GatewaySettings) -> Result<(), StartError> {
    // Before anything else: without handlers, a signal kills the process at once.
    let signals = Signals::new()?;
    let listen = settings.listen;
    let socket = bind_udp(listen.heartbeats).await?;
    let incarnation = fastrand::u64(1..);
    let now = clock::now();
    let clock = PeerCorrectedClock::new(now, unix_millis());
    let process = format!("{}.{incarnation:x}", settings.id);
    let journal = Journal::new(process, io::stdout());
    let gateway = Rc::new(Gateway::new(settings, incarnation, Board::new(clock, now), journal));
    for (address, kind) in [
        (listen.callers, EndpointKind::Callers),
        (listen.directory, EndpointKind::Directory),
        (listen.readiness, EndpointKind::Readiness),
        (listen.peers, EndpointKind::Peers),
    ] {
        let listener = bind_tcp(address).await?;
        let door = Rc::new(Endpoint { kind, gateway: gateway.clone() });
        spawn_local(serve(listener, door, gateway.server_state(kind)));
    }
    let mut stakker = Stakker::new(clock::now());
    let controllers = Rc::new(Controllers::start(&mut stakker, &gateway, socket.clone()));
    gateway.set_controllers(controllers);
    gateway.permit_requests.set_socket(socket.clone());
    gateway.stream_version_questions.set_socket(socket.clone());
    gateway.work_notices.set_socket(socket.clone());
    spawn_local(receive(gateway.clone(), socket));
    for followed in WatchedData::ALL {
        spawn_local(follow_table(gateway.clone(), followed));
    }
    spawn_local(restore_state(gateway.clone()));
    spawn_local(register_member(gateway.clone()));
    spawn_local(keep_version_record(gateway.clone()));
    spawn_local(keep_stream_rows(gateway.clone()));
    signals.spawn(&gateway);
    gateway.log(&Event::Started { version: env!("CARGO_PKG_VERSION") });
    reactor::drive(stakker, gateway.clone()).await;
    gateway.log(&Event::Leaving {
        phase: Phase::Closing,
        in_progress: gateway.board.borrow().in_progress,
    });
    tokio::time::sleep(LOG_FLUSH_TIME).await;
    Ok(())
}

async fn bind_tcp(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Socket { address, source })
}

async fn bind_udp(address: SocketAddr) -> Result<Rc<UdpSocket>, StartError> {
    let bound = UdpSocket::bind(address).await;
    bound.map(Rc::new).map_err(|source| StartError::Socket { address, source })
}

/// Receives datagrams from other gateways and passes their contents to the controllers.
async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // Reports that an earlier datagram could not be delivered; reception goes on.
                log::debug!("receiving a datagram failed: {e}");
                continue;
            }
        };
        match Datagram::decode(&buf[..len]) {
            Ok(Datagram::Heartbeats(heartbeat, relayed)) => gateway.send_to_controllers(|c| {
                call!([c.peers], heartbeat_received(*heartbeat));
                for heartbeat in relayed {
                    call!([c.peers], relayed_heartbeat_received(heartbeat));
                }
            }),
            Ok(Datagram::Crashes(notice)) => {
                gateway.send_to_controllers(|c| call!([c.crashes], hear(*notice)))
            }
            Ok(Datagram::Limit(question)) => gateway.handle_limit_question(question, from),
            Ok(Datagram::StreamVersion(message)) => gateway.handle_stream_version(message, from),
            Ok(Datagram::WorkNotice(notice)) => gateway.handle_work_notice(&notice, from),
            Err(e) => log::warn!("datagram from {from} cannot be decoded: {e}"),
        }
    }
}

/// Signals that the process handles: SIGTERM and SIGINT shut it down, SIGHUP reloads the settings.
struct Signals {
    stops: [Signal; 2],
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, StartError> {
        let listen = |kind| signal(kind).map_err(StartError::Runtime);
        Ok(Self {
            stops: [listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?],
            hangup: listen(SignalKind::hangup())?,
        })
    }

    fn spawn(self, gateway: &Rc<Gateway>) {
        for mut stop in self.stops {
            let gateway = gateway.clone();
            spawn_local(async move {
                while stop.recv().await.is_some() {
                    gateway.send_to_controllers(|c| call!([c.graceful_shutdown], begin()));
                }
            });
        }
        let (gateway, mut hangup) = (gateway.clone(), self.hangup);
        spawn_local(async move {
            while hangup.recv().await.is_some() {
                reload(&gateway);
            }
        });
    }
}

/// Reloads the bounds, capacity, load control and host settings; other settings, such as addresses,
/// apply from the next start. An invalid file changes nothing.
fn reload(gateway: &Gateway) {
    let loaded = GatewaySettings::load(&gateway.settings.borrow().file);
    let usable = loaded.is_ok();
    match loaded {
        Ok(settings) => {
            let mut current = gateway.settings.borrow_mut();
            current.bounds = settings.bounds;
            gateway.board.borrow_mut().quotas.set_terms(settings.bounds.quotas);
            current.capacity = settings.capacity;
            current.load = settings.load;
            current.host = settings.host;
            gateway.intake.set_limits(settings.host.intake_limits());
            gateway.unread.set_max(settings.host.unread_answers);
        }
        Err(e) => log::error!("settings not reloaded, the earlier ones stay in force: {e}"),
    }
    gateway.log(&Event::Reloaded { usable });
}
