//! The list of upstreams as it follows the store, other gateways and other writers.

mod support;

use support::directory::{Bench, row};
use tackhollow::{
    gateway::{
        decide::{Knowledge, Removal},
        model::UpstreamPhase,
        peering::UpstreamSnapshot,
    },
    platform::{Change, Feed, Snapshot, StoreRow},
};

fn changes(bench: &mut Bench, rows: Vec<StoreRow>, position: u64) {
    let changes = rows.into_iter().map(Change::Written).collect();
    bench.feed(Feed { changes, revision: position, as_of: position });
}

fn snapshot(bench: &mut Bench, rows: Vec<StoreRow>, revision: u64) {
    bench.snapshot(Snapshot { rows, revision, as_of: revision });
}

fn good(id: &str, revision: u64) -> StoreRow {
    row(id, UpstreamPhase::Ready, revision)
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
        Case { name: "a change", play: |b| changes(b, vec![bad("i-1", 7)], 7), known: false },
        Case { name: "a snapshot", play: |b| snapshot(b, vec![bad("i-1", 7)], 7), known: false },
        Case {
            name: "an older snapshot",
            play: |b| snapshot(b, vec![bad("i-1", 3)], 3),
            known: true,
        },
        Case { name: "an older change", play: |b| changes(b, vec![bad("i-1", 3)], 5), known: true },
        Case {
            name: "a good row after it",
            play: |b| changes(b, vec![bad("i-1", 7), good("i-1", 8)], 8),
            known: true,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        changes(&mut bench, vec![good("i-1", 4), good("i-2", 5)], 5);
        (case.play)(&mut bench);
        assert_eq!(bench.knows("i-1"), case.known, "{}", case.name);
    }
}

#[test]
fn an_older_word_of_another_gateway_marks_nothing_as_missing() {
    let mut bench = Bench::new();
    changes(&mut bench, vec![good("i-1", 4)], 5);
    for (position, missing) in [(3, false), (6, true)] {
        let upstreams: Vec<_> =
            bench.gateway.board.borrow().upstreams.values().map(|v| v.upstream.clone()).collect();
        let removal = Removal { revision: position, known: 4, answered: position, lapsed: false };
        let snapshot = UpstreamSnapshot {
            knowledge: Knowledge { position, as_of: position },
            last_change: 4,
            upstreams,
            missing: vec![("i-1".to_owned(), removal)],
            ..UpstreamSnapshot::default()
        };
        bench.copy(snapshot);
        let marked = bench.gateway.board.borrow().upstreams["i-1"].missing.is_some();
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
        changes(&mut bench, vec![good("i-1", 4), good("i-2", 5)], 6);
        snapshot(&mut bench, case.rows, 9);
        let told = bench.gateway.board.borrow().upstreams_last_change;
        assert_eq!(told, case.newest_change, "{}", case.name);
    }
}
