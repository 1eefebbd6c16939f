//! Start of the gateway.

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
    controllers::{Controllers, announce, follow, recall},
    decide::TrueClock,
    model::Followed,
    net::{Phase, serve},
    peering::Datagram,
    reactor,
    request::{Door, DoorKind},
    telemetry::{Event, Journal},
};
use crate::{clock, settings::GatewaySettings, time::unix_millis};

/// Largest heartbeat, in bytes.
const DATAGRAM: usize = 64 << 10;
/// Time for the last log lines before the process ends.
const FLUSH: Duration = Duration::from_millis(20);

/// Why the process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The runtime or a signal handler could not start.
    #[error("runtime: {0}")]
    Runtime(io::Error),
    /// A socket could not be opened.
    #[error("{address}: {source}")]
    Socket {
        /// Address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

/// Runs the process until it has left.
///
/// # Errors
///
/// Fails if a socket cannot be opened.
pub fn run(settings: GatewaySettings) -> Result<(), StartError> {
    let runtime =
        Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, start(settings))
}

async fn start(settings: GatewaySettings) -> Result<(), StartError> {
    // First of all: until then a signal ends the process.
    let signals = Signals::new()?;
    let listen = settings.listen;
    let socket = bind_udp(listen.heartbeats).await?;
    let incarnation = fastrand::u64(1..);
    let now = clock::now();
    let clock = TrueClock::new(now, unix_millis());
    let process = format!("{}.{incarnation:x}", settings.id);
    let journal = Journal::new(process, io::stdout());
    let gateway = Rc::new(Gateway::new(settings, incarnation, Board::new(clock, now), journal));
    for (address, kind) in [
        (listen.callers, DoorKind::Callers),
        (listen.directory, DoorKind::Directory),
        (listen.readiness, DoorKind::Readiness),
        (listen.peers, DoorKind::Peers),
    ] {
        let listener = bind_tcp(address).await?;
        let door = Rc::new(Door { kind, gateway: gateway.clone() });
        spawn_local(serve(listener, door, gateway.shutdown.clone()));
    }
    let mut stakker = Stakker::new(clock::now());
    let controllers = Rc::new(Controllers::start(&mut stakker, &gateway, socket.clone()));
    gateway.set_controllers(controllers);
    gateway.grants.set_socket(socket.clone());
    spawn_local(receive(gateway.clone(), socket));
    for followed in Followed::ALL {
        spawn_local(follow(gateway.clone(), followed));
    }
    spawn_local(recall(gateway.clone()));
    spawn_local(announce(gateway.clone()));
    signals.spawn(&gateway);
    gateway.log(&Event::Started { version: env!("CARGO_PKG_VERSION") });
    reactor::drive(stakker, gateway.clone()).await;
    gateway.log(&Event::Leaving {
        phase: Phase::Closing,
        in_progress: gateway.board.borrow().in_progress,
    });
    tokio::time::sleep(FLUSH).await;
    Ok(())
}

async fn bind_tcp(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Socket { address, source })
}

async fn bind_udp(address: SocketAddr) -> Result<Rc<UdpSocket>, StartError> {
    let bound = UdpSocket::bind(address).await;
    bound.map(Rc::new).map_err(|source| StartError::Socket { address, source })
}

/// Hands heartbeats to the controllers.
async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An earlier datagram met nobody; the next one may come.
                log::debug!("datagrams: {e}");
                continue;
            }
        };
        match Datagram::decode(&buf[..len]) {
            Ok(Datagram::Heartbeats(beat, passed_on)) => gateway.tell(|c| {
                call!([c.peers], hear(*beat));
                for heartbeat in passed_on {
                    call!([c.peers], overhear(heartbeat));
                }
            }),
            Ok(Datagram::Crashes(notice)) => gateway.tell(|c| call!([c.crashes], hear(notice))),
            Ok(Datagram::Limit(question)) => gateway.hear_limit_question(question, from),
            Err(e) => log::warn!("unreadable datagram from {from}: {e}"),
        }
    }
}

/// Signals that the process handles.
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
                    gateway.tell(|c| call!([c.leaving], leave()));
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

/// Reads the settings again. Addresses stay as they are until the next start.
fn reload(gateway: &Gateway) {
    let loaded = GatewaySettings::load(&gateway.settings.borrow().file);
    let usable = loaded.is_ok();
    match loaded {
        Ok(settings) => {
            let mut current = gateway.settings.borrow_mut();
            current.bounds = settings.bounds;
            gateway.board.borrow_mut().quotas.set_terms(settings.bounds.quotas);
            current.capacity = settings.capacity;
        }
        Err(e) => log::error!("the settings stay as they were: {e}"),
    }
    gateway.log(&Event::Reloaded { usable });
}
