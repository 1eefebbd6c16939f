//! The list of upstreams as it follows the store, other gateways and other writers.

use std::{fs, io, rc::Rc, time::Instant};

use serde_json::json;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use tackhollow::{
    gateway::{
        Gateway,
        board::Board,
        controllers::Directory,
        decide::{Knowledge, TrueClock},
        peering::UpstreamSnapshot,
        telemetry::Journal,
    },
    platform::{Change, Feed, Snapshot, StoreRow},
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

/// The controller alone, without sockets.
struct Bench {
    stakker: Stakker,
    gateway: Rc<Gateway>,
    directory: ActorOwn<Directory>,
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("gateway.toml");
        fs::write(&file, SETTINGS).expect("the settings are written");
        let settings = GatewaySettings::load(&file).expect("the settings are right");
        let journal = Journal::new("gateway-1.1".to_owned(), io::sink());
        let board = Board::new(TrueClock::new(now, 0), now);
        let gateway = Rc::new(Gateway::new(settings, 1, board, journal));
        let mut stakker = Stakker::new(now);
        let directory = actor!(stakker, Directory::init(gateway.clone()), ret_nop!());
        let mut bench = Self { stakker, gateway, directory };
        bench.run();
        bench
    }

    fn run(&mut self) {
        self.stakker.run(Instant::now(), false);
    }

    fn changes(&mut self, rows: Vec<StoreRow>, position: u64) {
        let changes = rows.into_iter().map(Change::Written).collect::<Vec<_>>();
        let feed = Feed { changes, revision: position, as_of: position };
        call!([self.directory], changes(feed));
        self.run();
    }

    fn snapshot(&mut self, rows: Vec<StoreRow>, revision: u64) {
        call!([self.directory], snapshot(Snapshot { rows, revision, as_of: revision }));
        self.run();
    }

    fn knows(&self, id: &str) -> bool {
        self.gateway.board.borrow().upstreams.contains_key(id)
    }
}

fn good(id: &str, revision: u64) -> StoreRow {
    let value = json!({
        "service": "app", "address": "127.0.0.1:9", "zone": "bkk-nont", "version": "v1",
        "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 4,
    });
    StoreRow { key: id.to_owned(), value: value.to_string().into_bytes(), revision }
}

fn bad(id: &str, revision: u64) -> StoreRow {
    StoreRow { key: id.to_owned(), value: b"\x01".to_vec(), revision }
}

#[test]
fn a_bad_row_takes_its_upstream_out_where_it_is_the_newest_word() {
    struct Case {
        name: &'static str,
        play: fn(&mut Bench),
        known: bool,
    }
    let cases = [
        Case { name: "a change", play: |b| b.changes(vec![bad("i-1", 7)], 7), known: false },
        Case { name: "a snapshot", play: |b| b.snapshot(vec![bad("i-1", 7)], 7), known: false },
        Case {
            name: "an older snapshot",
            play: |b| b.snapshot(vec![bad("i-1", 3)], 3),
            known: true,
        },
        Case { name: "an older change", play: |b| b.changes(vec![bad("i-1", 3)], 5), known: true },
        Case {
            name: "a good row after it",
            play: |b| b.changes(vec![bad("i-1", 7), good("i-1", 8)], 8),
            known: true,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.changes(vec![good("i-1", 4), good("i-2", 5)], 5);
        (case.play)(&mut bench);
        assert_eq!(bench.knows("i-1"), case.known, "{}", case.name);
    }
}

#[test]
fn an_older_word_of_another_gateway_marks_nothing_as_missing() {
    let mut bench = Bench::new();
    bench.changes(vec![good("i-1", 4)], 5);
    for (position, missing) in [(3, false), (6, true)] {
        let upstreams: Vec<_> =
            bench.gateway.board.borrow().upstreams.values().map(|v| v.upstream.clone()).collect();
        let snapshot = UpstreamSnapshot {
            knowledge: Knowledge { position, as_of: position },
            last_change: 4,
            upstreams,
            missing: vec!["i-1".to_owned()],
        };
        call!([bench.directory], copy(snapshot));
        bench.run();
        let marked = bench.gateway.board.borrow().upstreams["i-1"].missing_until.is_some();
        assert_eq!(marked, missing, "at {position}");
    }
}

/// A removal that shows in a snapshot has no revision of its own, so others that know the
/// upstream would never hear that they lack a change.
#[test]
fn a_removal_that_a_snapshot_shows_is_told() {
    struct Case {
        name: &'static str,
        rows: Vec<StoreRow>,
        newest_change: u64,
    }
    let both = vec![good("i-1", 4), good("i-2", 5)];
    let cases = [
        Case { name: "a row is gone", rows: vec![good("i-1", 4)], newest_change: 9 },
        Case {
            name: "a row is unusable",
            rows: vec![good("i-1", 4), bad("i-2", 5)],
            newest_change: 9,
        },
        Case { name: "nothing changed", rows: both, newest_change: 5 },
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.changes(vec![good("i-1", 4), good("i-2", 5)], 6);
        bench.snapshot(case.rows, 9);
        let told = bench.gateway.board.borrow().upstreams_last_change;
        assert_eq!(told, case.newest_change, "{}", case.name);
    }
}
