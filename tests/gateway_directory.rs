//! The list of upstreams as it follows the store, other gateways and other writers.

mod support;

use support::directory::{Bench, row};
use tackhollow::{
    clock,
    gateway::{
        board::{StoreState, UpstreamView},
        decide::{Knowledge, Removal},
        model::UpstreamPhase,
        peering::{RecentChanges, UpstreamChange, UpstreamSnapshot},
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
        let removal =
            Removal { revision: position, last_seen: 4, store_back: position, lapsed: false };
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

/// Gateways whose own calls had failed kept an upstream that another one knew to be gone, as
/// they had heard of the same removal before.
#[test]
fn the_more_certain_word_on_a_removal_holds_in_any_order() {
    #[derive(Clone, Copy)]
    enum Word {
        /// The store removes the row, and may have been away.
        Store,
        /// Another gateway says the same of the removal at a revision.
        Missing(u64, bool),
        /// Another gateway knows that the upstream is gone since a revision.
        Gone(u64),
    }
    struct Case {
        name: &'static str,
        words: &'static [Word],
        known: bool,
        takes_work: bool,
    }
    let cases = [
        Case {
            name: "gone, heard later",
            words: &[Word::Store, Word::Gone(7)],
            known: false,
            takes_work: false,
        },
        Case {
            name: "gone, heard first",
            words: &[Word::Gone(7), Word::Missing(7, false), Word::Store],
            known: false,
            takes_work: false,
        },
        Case {
            name: "lapsed, heard later",
            words: &[Word::Store, Word::Missing(7, true)],
            known: true,
            takes_work: true,
        },
        Case {
            name: "lapsed, heard first",
            words: &[Word::Missing(7, true), Word::Store],
            known: true,
            takes_work: true,
        },
        Case {
            name: "an earlier removal",
            words: &[Word::Store, Word::Gone(3)],
            known: true,
            takes_work: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        let rows = ["i-1", "i-2", "i-3"].map(|id| good(id, 4));
        changes(&mut bench, rows.into(), 6);
        bench.gateway.board.borrow_mut().store = StoreState::Away(clock::now());
        for word in case.words {
            let id = "i-1".to_owned();
            let told = |revision, change| {
                let mut recent = RecentChanges::default();
                recent.push(revision, change, clock::now());
                recent.advance(Knowledge { position: 7, as_of: 7 });
                recent
            };
            match *word {
                Word::Store => {
                    let changes = vec![Change::Removed(id, 7)];
                    bench.feed(Feed { changes, revision: 7, as_of: 7 });
                }
                Word::Missing(revision, lapsed) => {
                    let removal = Removal { revision, last_seen: 6, store_back: 7, lapsed };
                    bench.hear(told(revision, UpstreamChange::Missing(id, removal)));
                }
                Word::Gone(revision) => bench.hear(told(revision, UpstreamChange::Gone(id))),
            }
        }
        let board = bench.gateway.board.borrow();
        let view = board.upstreams.get("i-1");
        assert_eq!(view.is_some(), case.known, "{}", case.name);
        let takes_work = view.is_some_and(UpstreamView::takes_work);
        assert_eq!(takes_work, case.takes_work, "{}", case.name);
    }
}

/// A gateway that had made no call while the store was away took all upstreams out, as none
/// of its calls had failed.
#[test]
fn a_gateway_that_made_no_call_in_an_outage_keeps_upstreams_whose_rows_lapsed() {
    struct Case {
        name: &'static str,
        /// Moments up to which the list is read, after the first one at 5,000.
        reads: &'static [u64],
        /// Moment of the answer that shows that all rows are gone.
        removed: u64,
        known: bool,
    }
    let cases = [
        Case { name: "read all along", reads: &[5_500, 6_000], removed: 6_400, known: false },
        Case { name: "a single gateway's calls", reads: &[6_500], removed: 8_000, known: false },
        Case { name: "nobody read it", reads: &[], removed: 13_000, known: true },
        Case { name: "just read again", reads: &[13_000], removed: 13_300, known: true },
        Case {
            name: "read again for a while",
            reads: &[13_000, 13_500],
            removed: 14_000,
            known: false,
        },
    ];
    for case in cases {
        let mut bench = Bench::new();
        let rows = ["i-1", "i-2"].map(|id| good(id, 4)).into_iter().map(Change::Written);
        bench.feed(Feed { changes: rows.collect(), revision: 6, as_of: 5_000 });
        for as_of in case.reads {
            bench.feed(Feed { changes: Vec::new(), revision: 6, as_of: *as_of });
        }
        let changes = [("i-1", 7), ("i-2", 8)].map(|(id, r)| Change::Removed(id.to_owned(), r));
        bench.feed(Feed { changes: changes.into(), revision: 8, as_of: case.removed });
        for id in ["i-1", "i-2"] {
            assert_eq!(bench.knows(id), case.known, "{}: {id}", case.name);
        }
    }
}

/// A list that was read whole took a row that was missing already for one that had just been
/// there, and excused it anew.
#[test]
fn a_list_read_whole_excuses_a_missing_row_no_longer() {
    let mut bench = Bench::new();
    let rows = || ["i-1", "i-2", "i-3"].map(|id| good(id, 4));
    bench.feed(Feed { changes: rows().map(Change::Written).into(), revision: 6, as_of: 5_000 });
    bench.gateway.board.borrow_mut().store = StoreState::Away(clock::now());
    let changes = vec![Change::Removed("i-1".to_owned(), 7)];
    bench.feed(Feed { changes, revision: 7, as_of: 5_400 });
    let removal = |bench: &Bench| {
        let board = bench.gateway.board.borrow();
        board.upstreams["i-1"].missing.map(|row| row.removal)
    };
    let first = removal(&bench);
    assert_eq!(first.map(|r| r.last_seen), Some(5_000));
    let rows = rows().into_iter().skip(1).collect();
    bench.snapshot(Snapshot { rows, revision: 8, as_of: 6_000 });
    assert_eq!(removal(&bench), first);
}
