//! A harness around the controller of the list of upstreams, without sockets.

use std::{cell::RefCell, collections::BTreeMap, fs, io, rc::Rc, time::Instant};

use serde_json::json;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use tackhollow::{
    gateway::{
        Gateway,
        board::Board,
        controllers::Directory,
        decide::{CheckResult, PeerCorrectedClock},
        model::{Lifetime, UpstreamPhase},
        peering::{RecentChanges, UpstreamChange, UpstreamSnapshot},
        telemetry::Journal,
    },
    platform::{Feed, Snapshot, StoreRow},
    settings::GatewaySettings,
};

const SETTINGS: &str = r#"
id = "gateway-1"
data_centre = "bkk-nont"
[listen]
callers = "127.0.0.1:7001"
directory = "127.0.0.1:7002"
readiness = "127.0.0.1:7003"
peers = "127.0.0.1:7004"
heartbeats = "127.0.0.1:7005"
[platform]
store = "127.0.0.1:7006"
api = "127.0.0.1:7007"
"#;

/// A directory controller and the gateway that it belongs to.
pub struct DirectoryHarness {
    /// Simulated time; `None` for real time.
    now: Option<Instant>,
    stakker: Rc<RefCell<Stakker>>,
    pub gateway: Rc<Gateway>,
    directory: ActorOwn<Directory>,
}

impl DirectoryHarness {
    pub fn new() -> Self {
        Self::on(Rc::new(RefCell::new(Stakker::new(Instant::now()))))
    }

    /// Creates another one on the same thread, which can have only one `stakker`.
    pub fn beside(other: &Self) -> Self {
        Self::on(other.stakker.clone())
    }

    fn on(stakker: Rc<RefCell<Stakker>>) -> Self {
        let now = Instant::now();
        let dir = tempfile::tempdir().expect("a temporary directory");
        let file = dir.path().join("gateway.toml");
        fs::write(&file, SETTINGS).expect("the settings are written");
        let settings = GatewaySettings::load(&file).expect("the settings are valid");
        let journal = Journal::new("gateway-1.1".to_owned(), io::sink());
        let board = Board::new(PeerCorrectedClock::new(now, 0), now);
        let gateway = Rc::new(Gateway::new(settings, 1, board, journal));
        let mut s = stakker.borrow_mut();
        let directory = actor!(s, Directory::init(gateway.clone()), ret_nop!());
        drop(s);
        let mut bench = Self { now: None, stakker, gateway, directory };
        bench.run();
        bench
    }

    fn run(&mut self) {
        self.stakker.borrow_mut().run(self.now.unwrap_or_else(Instant::now), false);
    }

    /// Advances the gateways of one thread to a simulated time.
    pub fn pass_time(gateways: &mut [Self], now: Instant) {
        gateways.iter_mut().for_each(|g| g.now = Some(now));
        gateways.iter_mut().take(1).for_each(Self::run);
    }

    pub fn feed(&mut self, feed: Feed) {
        call!([self.directory], apply_feed(feed));
        self.run();
    }

    pub fn snapshot(&mut self, snapshot: Snapshot) {
        call!([self.directory], apply_snapshot(snapshot));
        self.run();
    }

    pub fn hear(&mut self, recent: RecentChanges) {
        call!([self.directory], apply_peer_changes(recent));
        self.run();
    }

    pub fn hear_row_checks(&mut self, checks: Vec<(u64, UpstreamChange)>) {
        call!([self.directory], apply_row_checks(checks));
        self.run();
    }

    pub fn check_row(&mut self, id: &str, of: Lifetime, result: CheckResult) {
        call!([self.directory], row_checked(id.to_owned(), of, result));
        self.run();
    }

    pub fn copy(&mut self, snapshot: UpstreamSnapshot) {
        call!([self.directory], apply_peer_snapshot(snapshot));
        self.run();
    }

    pub fn knows(&self, id: &str) -> bool {
        self.gateway.board.borrow().upstreams.contains_key(id)
    }

    pub fn position(&self) -> u64 {
        self.gateway.board.borrow().upstreams_position()
    }

    pub fn as_of(&self) -> u64 {
        self.gateway.board.borrow().upstreams_knowledge.map_or(0, |k| k.as_of)
    }

    pub fn recent(&self) -> RecentChanges {
        self.gateway.board.borrow().recent_changes.clone()
    }

    pub fn phases(&self) -> BTreeMap<String, UpstreamPhase> {
        let board = self.gateway.board.borrow();
        board.upstreams.iter().map(|(id, v)| (id.clone(), v.upstream.phase)).collect()
    }
}

/// Returns the row of an upstream of the service `app`.
pub fn row(id: &str, phase: UpstreamPhase, revision: u64) -> StoreRow {
    row_of("app", id, phase, revision)
}

/// Returns the row of an upstream of the given service.
pub fn row_of(service: &str, id: &str, phase: UpstreamPhase, revision: u64) -> StoreRow {
    let state = match phase {
        UpstreamPhase::Ready => "ready",
        UpstreamPhase::Draining => "draining",
    };
    let value = json!({
        "service": service, "address": "127.0.0.1:9", "zone": "bkk-nont", "version": "v1",
        "slots": 6, "state": state, "coldRemainingMs": 0, "sequence": 4,
    });
    StoreRow { key: id.to_owned(), value: value.to_string().into_bytes(), revision }
}
