//! Start and main loop of the entry process.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::{Duration, Instant},
};

use serde::Serialize;
use signal_hook::{
    consts::{SIGINT, SIGTERM, SIGUSR1},
    iterator::Signals,
};
use stakker::{ActorOwn, Share, Stakker, actor, call, ret_nop};
use thiserror::Error;

use super::{
    api,
    board::{Board, Directory, Phase, Progress},
    context::Context,
    controllers::{
        Admission, Configuration, DirectoryController, Membership, Peers, Placement, Shutdown,
    },
    event::{BoardHandle, Event},
    held::HeldSlots,
    jobs::{self, Desk},
};
use crate::{
    cloud::PlatformClient,
    config::ConfigStore,
    edge::{
        gossip_socket::GossipSocket,
        http_server::{self, spawn},
        peer_link,
    },
    ids::Home,
    membership::View,
    record::Records,
    routing::RetryBudget,
    settings::EntrySettings,
    telemetry::Metrics,
    upstream::{Owned, OwnedSettings},
    wire::Contact,
};

/// Notice assumed with `SIGUSR1`, with which a host tells of its reclaim.
const SIGNAL_NOTICE: Duration = Duration::from_secs(5);
/// Longest sleep of the main loop.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Why the process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket could not be opened.
    #[error("{what}: {source}")]
    Socket {
        /// Which.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
}

/// Addresses on which the process serves.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// For callers and operators.
    pub http: SocketAddr,
    /// For other processes.
    pub peer: SocketAddr,
    /// For membership datagrams.
    pub gossip: SocketAddr,
}

/// Runs the process until it has left. Calls `ready` once the addresses are open.
pub fn run(settings: EntrySettings, ready: impl FnOnce(Addresses)) -> Result<(), StartError> {
    let read_timeout = settings.limits.read_timeout;
    let http = http_server::bind(settings.http, read_timeout).map_err(socket("listen.http"))?;
    let peer = TcpListener::bind(settings.peer).map_err(socket("listen.peer"))?;
    let (board_handle, events) = BoardHandle::channel();
    let metrics = Metrics::new();
    let receiver = board_handle.clone();
    let (gossip, gossip_addr) = GossipSocket::bind(
        settings.gossip,
        &settings.secret,
        metrics.gossip_traffic.clone(),
        move |from, gossip| receiver.send(Event::Datagram(from, Box::new(gossip))),
    )
    .map_err(socket("listen.gossip"))?;
    let addresses = Addresses {
        http: http.local_addr().map_err(socket("listen.http"))?,
        peer: peer.local_addr().map_err(socket("listen.peer"))?,
        gossip: gossip_addr,
    };
    let (desk, inbox) = Desk::open();
    let context = context(settings, addresses, board_handle, peer, metrics, desk)?;
    let (committing, claiming) = (context.clone(), context.clone());
    spawn("jobs", move || jobs::commit_loop(&committing, &inbox));
    spawn("claims", move || jobs::claim_loop(&claiming));
    let served = context.clone();
    let handler = Arc::new(move |request| api::handle(&served, request));
    http_server::serve(http, read_timeout, handler).map_err(socket("listen.http"))?;
    watch_signals(&context.board).map_err(socket("signals"))?;
    ready(addresses);
    main_loop(&context, gossip, &events);
    Ok(())
}

fn socket(what: &'static str) -> impl Fn(io::Error) -> StartError {
    move |source| StartError::Socket { what, source }
}

fn context(
    settings: EntrySettings,
    addresses: Addresses,
    board: BoardHandle,
    peer_listener: TcpListener,
    metrics: Metrics,
    jobs: Desk,
) -> Result<Arc<Context>, StartError> {
    let incarnation = fastrand::u64(1..);
    let contact = Contact {
        id: settings.id.clone(),
        home: Home { http: addresses.http, incarnation },
        peer: addresses.peer,
        gossip: addresses.gossip,
    };
    let receiver = board.clone();
    let peer = peer_link::start(
        peer_listener,
        settings.secret.clone(),
        metrics.peer_traffic.clone(),
        Arc::new(move |request, responder| receiver.send(Event::Peer(request, responder))),
    )
    .map_err(socket("listen.peer"))?;
    let platform = PlatformClient::new(settings.platform, settings.platform_timeout);
    let held = Arc::new(HeldSlots::new(addresses.peer, board.clone(), peer.clone()));
    let records = Records::default();
    Ok(Arc::new(Context { settings, contact, board, peer, platform, records, held, jobs, metrics }))
}

fn watch_signals(board: &BoardHandle) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1])?;
    let board = board.clone();
    spawn("signals", move || {
        for signal in &mut signals {
            let notice = (signal == SIGUSR1).then_some(SIGNAL_NOTICE);
            board.send(Event::Leave(notice));
        }
    });
    Ok(())
}

fn new_board(context: &Context, now: Instant) -> Board {
    let settings = &context.settings;
    let view = View::new(
        settings.data_centre.clone(),
        settings.region.clone(),
        context.contact.clone(),
        settings.seeds.clone(),
        now,
    );
    let owned =
        OwnedSettings { policy: settings.policy, silence: settings.limits.upstream_silence };
    Board {
        view,
        config: ConfigStore::default(),
        directory: Directory::default(),
        owned: Owned::new(owned, context.contact.peer),
        progress: Progress::default(),
        retries: RetryBudget::default(),
        platform_answered: None,
        phase: Phase::Starting,
    }
}

/// The controllers, to which messages are handed.
struct Controllers {
    membership: ActorOwn<Membership>,
    configuration: ActorOwn<Configuration>,
    directory: ActorOwn<DirectoryController>,
    placement: ActorOwn<Placement>,
    admission: ActorOwn<Admission>,
    peers: ActorOwn<Peers>,
    shutdown: ActorOwn<Shutdown>,
}

impl Controllers {
    fn start(s: &mut Stakker, context: &Arc<Context>, gossip: GossipSocket) -> Self {
        let now = s.now();
        let board = Share::new(s, new_board(context, now));
        let cx = || context.clone();
        let b = || board.clone();
        let membership = actor!(s, Membership::init(b(), cx(), gossip), ret_nop!());
        let configuration = actor!(s, Configuration::init(b(), cx()), ret_nop!());
        let directory = actor!(s, DirectoryController::init(b(), cx()), ret_nop!());
        let placement = actor!(s, Placement::init(b(), cx()), ret_nop!());
        let admission = actor!(s, Admission::init(b(), cx()), ret_nop!());
        let others = (placement.clone(), configuration.clone(), directory.clone());
        let peers = actor!(s, Peers::init(b(), cx(), others), ret_nop!());
        let shutdown = actor!(s, Shutdown::init(b(), cx(), membership.clone()), ret_nop!());
        Self { membership, configuration, directory, placement, admission, peers, shutdown }
    }

    fn handle(&self, event: Event) {
        match event {
            Event::Datagram(from, gossip) => call!([self.membership], receive(from, gossip)),
            Event::Locate(home, reply) => call!([self.membership], locate(home, reply)),
            Event::Contacts(reply) => call!([self.membership], contacts(reply)),
            Event::IsDelegate(reply) => call!([self.membership], is_delegate(reply)),
            Event::Holders(holders, reply) => call!([self.membership], holders(holders, reply)),
            Event::Adopted(adopted) => call!([self.membership], adopted(adopted)),
            Event::Peer(request, responder) => call!([self.peers], handle(request, responder)),
            Event::Admit(query, reply) => call!([self.admission], admit(query, reply)),
            Event::Policy(key, reply) => call!([self.admission], policy(key, reply)),
            Event::PolicyOf(customer, reply) => {
                call!([self.admission], policy_of(customer, reply));
            }
            Event::Ended { customer, completed } => {
                call!([self.admission], ended(customer, completed));
            }
            Event::Retry(input, reply) => call!([self.admission], retry(input, reply)),
            Event::Entries(reply) => call!([self.admission], entries(reply)),
            Event::Status(reply) => call!([self.admission], status(reply)),
            Event::Targets(query, reply) => call!([self.placement], targets(query, reply)),
            Event::Place(req, reply) => call!([self.placement], place_own(req, reply)),
            Event::Release(release) => call!([self.placement], release(release)),
            Event::Upstream(id, event) => call!([self.placement], upstream_event(id, event)),
            Event::Config(reply) => call!([self.configuration], tell(reply)),
            Event::Changes(changes) => call!([self.configuration], apply(changes)),
            Event::Snapshot(version, items) => {
                call!([self.configuration], take_snapshot(version, items));
            }
            Event::ConfigPolled { answered } => call!([self.configuration], polled(answered)),
            Event::PeerFetchEnded => call!([self.configuration], fetched()),
            Event::NewerConfig(peer) => call!([self.configuration], fetch(peer)),
            Event::Directory(list) => call!([self.directory], polled(list)),
            Event::DirectoryCopy(page) => call!([self.directory], take_copy(page)),
            Event::MembersChanged => call!([self.directory], share_out()),
            Event::Leave(notice) => call!([self.shutdown], leave(notice)),
            Event::HandedOver(to) => call!([self.shutdown], handed_over(to)),
        }
    }
}

/// Hands messages to the controllers until the process has left.
fn main_loop(context: &Arc<Context>, gossip: GossipSocket, events: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let controllers = Controllers::start(s, context, gossip);
    while s.not_shutdown() {
        s.run(Instant::now(), false);
        let wait = s.next_wait_max(Instant::now(), MAX_WAIT, false);
        match events.recv_timeout(wait) {
            Ok(event) => {
                s.run(Instant::now(), false);
                controllers.handle(event);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
