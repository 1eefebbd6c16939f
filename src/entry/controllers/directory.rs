//! The cloud's list of hosts, the share of the upstreams that this process
//! owns, and the threads that follow their events.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use stakker::{CX, Share, after};

use crate::{
    cloud::{HostEntry, HostList, HostRole, HostState},
    edge::{http_client::HttpClient, http_server::spawn, peer_link::Responder, sse::SseReader},
    entry::{board::Board, context::Context, event::Event},
    ids::UpstreamId,
    telemetry::count,
    time::unix_millis,
    wire::{DirectoryPage, PeerReply, PeerRequest},
};

/// Load reports that an upstream is asked for in the time of silence after
/// which it gets no new work.
const REPORTS_PER_SILENCE: u32 = 2;
/// Pause before an upstream is connected to again.
const RECONNECT: Duration = Duration::from_millis(200);
/// Longest wait for a peer's copy of the list.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the list of upstreams, and follows those that this process owns.
pub struct DirectoryController {
    board: Share<Board>,
    cx: Arc<Context>,
    followers: HashMap<UpstreamId, Follower>,
}

struct Follower {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl DirectoryController {
    /// Starts the reading of the cloud's list.
    pub fn init(cx: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
        let mut this = Self { board, cx: context, followers: HashMap::new() };
        this.poll(cx);
        Some(this)
    }

    fn poll(&mut self, cx: CX![]) {
        let known = self.board.ro(cx).directory.revision;
        let context = self.cx.clone();
        count(&context.metrics.platform_calls, "directory_poll");
        spawn("directory-poll", move || {
            let list = context.platform.hosts(&context.settings.data_centre, known);
            if let Err(e) = &list {
                log::warn!("the cloud's list cannot be read: {e}");
            }
            context.board.send(Event::Directory(list.ok()));
        });
    }

    /// Takes note of the end of a poll and plans the next.
    pub fn polled(&mut self, cx: CX![], list: Option<HostList>) {
        let now = cx.now();
        match list {
            Some(list) => {
                self.board.rw(cx).platform_answered = Some(now);
                if !list.unchanged {
                    self.take(cx, list.revision, list.hosts);
                }
            }
            None if self.board.ro(cx).directory.revision == 0 => self.ask_peer(cx),
            None => {}
        }
        let wait = self.cx.settings.limits.directory_poll;
        let jitter = wait.mul_f64(fastrand::f64() * 0.2);
        after!(wait + jitter, [cx], poll());
    }

    /// Takes a peer's copy of the list, in an outage of the platform.
    pub fn take_copy(&mut self, cx: CX![], page: DirectoryPage) {
        if page.revision > self.board.ro(cx).directory.revision {
            self.take(cx, page.revision, page.hosts);
        }
    }

    fn take(&mut self, cx: CX![], revision: u64, hosts: Vec<HostEntry>) {
        let directory = &mut self.board.rw(cx).directory;
        directory.revision = revision;
        if let Some(notice) = own_notice(&hosts, self.cx.contact.home.http) {
            self.cx.board.send(Event::Leave(Some(notice)));
        }
        directory.hosts = hosts.into_iter().filter(|h| h.role != HostRole::Entry).collect();
        self.share_out(cx);
    }

    fn ask_peer(&mut self, cx: CX![]) {
        let peers = self.board.rw(cx).view.random_peers(1);
        let context = self.cx.clone();
        for peer in peers {
            let context = context.clone();
            spawn("directory-copy", move || {
                let reply = context.peer.call(peer.peer, PeerRequest::Directory, COPY_TIMEOUT);
                if let Ok(PeerReply::Directory(page)) = reply {
                    context.board.send(Event::DirectoryCopy(page));
                }
            });
        }
    }

    /// Works out anew which upstreams this process owns.
    pub fn share_out(&mut self, cx: CX![]) {
        let now = cx.now();
        let board = self.board.rw(cx);
        let owners = board.view.owners();
        let hosts = board.directory.share_out(&owners, &board.view.own_contact().id);
        board.owned.set_hosts(hosts.clone(), now);
        self.cx.metrics.upstreams.set(hosts.len() as i64);
        self.follow(&hosts);
    }

    fn follow(&mut self, hosts: &[HostEntry]) {
        let same = |id: &str, f: &Follower| hosts.iter().any(|h| h.id == id && h.addr == f.addr);
        self.followers.retain(|id, f| same(id, f));
        for host in hosts {
            if !self.followers.contains_key(&host.id) {
                let stop = Arc::new(AtomicBool::new(false));
                let follower = Follower { addr: host.addr, stop: stop.clone() };
                self.followers.insert(host.id.clone(), follower);
                let (context, id, addr) = (self.cx.clone(), host.id.clone(), host.addr);
                spawn("follow", move || follow_upstream(&context, &id, addr, &stop));
            }
        }
    }

    /// Answers a peer that asks for the list.
    pub fn copy(&mut self, cx: CX![], responder: Responder) {
        let directory = &self.board.ro(cx).directory;
        let hosts = directory.hosts.clone();
        let page = DirectoryPage { revision: directory.revision, hosts };
        responder.reply(PeerReply::Directory(page));
    }
}

/// Returns the time until this process's own host goes, if the list says so.
fn own_notice(hosts: &[HostEntry], own: SocketAddr) -> Option<Duration> {
    let leaving = |h: &&HostEntry| h.addr == own && h.state == HostState::Leaving;
    let host = hosts.iter().find(leaving)?;
    let left = host.leaves_at_ms.unwrap_or_default().saturating_sub(unix_millis());
    Some(Duration::from_millis(left))
}

/// Reads an upstream's events until told to stop.
fn follow_upstream(cx: &Context, id: &str, addr: SocketAddr, stop: &AtomicBool) {
    let client = HttpClient::fresh(cx.settings.limits.upstream_silence);
    let every = cx.settings.limits.upstream_silence / REPORTS_PER_SILENCE;
    let url = format!("http://{addr}/events?every_ms={}", every.as_millis());
    while !stop.load(Ordering::Relaxed) {
        match client.stream("GET", &url, &[], b"") {
            Ok(stream) => read_events(cx, id, SseReader::new(stream.reader), stop),
            Err(e) => log::debug!("upstream={id} no events: {e}"),
        }
        thread::sleep(RECONNECT);
    }
}

fn read_events(
    cx: &Context,
    id: &str,
    mut events: SseReader<Box<dyn std::io::Read + Send>>,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(Some(event)) = events.next_event() else {
            return;
        };
        cx.metrics.upstream_event_bytes.inc_by(event.data.len() as u64);
        match serde_json::from_str(&event.data) {
            Ok(event) => cx.board.send(Event::Upstream(id.to_owned(), event)),
            Err(e) => log::warn!("upstream={id} sent an event that cannot be read: {e}"),
        }
    }
}
