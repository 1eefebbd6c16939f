//! How the list of upstreams follows the store, other gateways and invalid rows.

mod support;

use support::directory::{DirectoryHarness, row};
use tackhollow::{
    clock,
    gateway::{
        board::{StoreState, UpstreamView},
        decide::{Removal, SyncPoint},
        model::{UpstreamPhase, revision_in_era},
        peering::{RecentChanges, UpstreamChange, UpstreamSnapshot},
    },
    platform::{Change, Feed, Snapshot, StoreRow},
};

fn changes(bench: &mut DirectoryHarness, rows: Vec<StoreRow>, position: u64) {
    let changes = rows.into_iter().map(Change::Written).collect();
    bench.feed(Feed { changes, revision: position, as_of: position });
}

fn snapshot(bench: &mut DirectoryHarness, rows: Vec<StoreRow>, revision: u64) {
    bench.snapshot(Snapshot { rows, revision, as_of: revision });
}

fn valid_row(id: &str, revision: u64) -> StoreRow {
    row(id, UpstreamPhase::Ready, revision)
}

fn invalid_row(id: &str, revision: u64) -> StoreRow {
    StoreRow { key: id.to_owned(), value: b"\x01".to_vec(), revision }
}

#[test]
fn an_invalid_row_removes_its_upstream_if_it_is_the_newest_row() {
    struct Case {
        name: &'static str,
        apply: fn(&mut DirectoryHarness),
        known: bool,
    }
    let cases = [
        Case {
            name: "a change",
            apply: |b| changes(b, vec![invalid_row("i-1", 7)], 7),
            known: false,
        },
        Case {
            name: "a snapshot",
            apply: |b| snapshot(b, vec![invalid_row("i-1", 7)], 7),
            known: false,
        },
        Case {
            name: "an older snapshot",
            apply: |b| snapshot(b, vec![invalid_row("i-1", 3)], 3),
            known: true,
        },
        Case {
            name: "an older change",
            apply: |b| changes(b, vec![invalid_row("i-1", 3)], 5),
            known: true,
        },
        Case {
            name: "a valid row after it",
            apply: |b| changes(b, vec![invalid_row("i-1", 7), valid_row("i-1", 8)], 8),
            known: true,
        },
    ];
    for case in cases {
        let mut bench = DirectoryHarness::new();
        changes(&mut bench, vec![valid_row("i-1", 4), valid_row("i-2", 5)], 5);
        (case.apply)(&mut bench);
        assert_eq!(bench.knows("i-1"), case.known, "{}", case.name);
    }
}

#[test]
fn an_older_report_of_another_gateway_marks_no_row_as_missing() {
    let mut bench = DirectoryHarness::new();
    changes(&mut bench, vec![valid_row("i-1", 4)], 5);
    for (position, missing) in [(3, false), (6, true)] {
        let upstreams: Vec<_> =
            bench.gateway.board.borrow().upstreams.values().map(|v| v.upstream.clone()).collect();
        let removal = Removal {
            revision: position,
            last_seen: 4,
            store_back: position,
            lapsed: false,
            passed_check: 0,
            lost: false,
        };
        let snapshot = UpstreamSnapshot {
            knowledge: SyncPoint { position, as_of: position },
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

/// A removal that is found in a snapshot has no revision of its own. Unless the revision of the
/// newest change is advanced, other gateways never learn that they lack this change.
#[test]
fn a_removal_that_a_snapshot_shows_is_told() {
    struct Case {
        name: &'static str,
        rows: Vec<StoreRow>,
        newest_change: u64,
    }
    let both = vec![valid_row("i-1", 4), valid_row("i-2", 5)];
    let cases = [
        Case { name: "a row is gone", rows: vec![valid_row("i-1", 4)], newest_change: 9 },
        Case {
            name: "a row is unusable",
            rows: vec![valid_row("i-1", 4), invalid_row("i-2", 5)],
            newest_change: 9,
        },
        Case { name: "nothing changed", rows: both, newest_change: 5 },
    ];
    for case in cases {
        let mut bench = DirectoryHarness::new();
        changes(&mut bench, vec![valid_row("i-1", 4), valid_row("i-2", 5)], 6);
        snapshot(&mut bench, case.rows, 9);
        let newest_change = bench.gateway.board.borrow().upstreams_last_change;
        assert_eq!(newest_change, case.newest_change, "{}", case.name);
    }
}

/// Gateways whose own calls to the store had failed kept an upstream that another gateway knew to
/// be gone, because they had already received a report of the same removal.
#[test]
fn the_more_certain_report_of_a_removal_wins_in_any_order() {
    #[derive(Clone, Copy)]
    enum Report {
        /// The store removes the row and may have been unreachable before.
        Store,
        /// Another gateway reports the row as missing since a revision, and whether it lapsed.
        Missing(u64, bool),
        /// Another gateway reports that the upstream is gone since a revision.
        Gone(u64),
    }
    struct Case {
        name: &'static str,
        reports: &'static [Report],
        known: bool,
        takes_work: bool,
    }
    let cases = [
        Case {
            name: "gone, reported last",
            reports: &[Report::Store, Report::Gone(7)],
            known: false,
            takes_work: false,
        },
        Case {
            name: "gone, reported first",
            reports: &[Report::Gone(7), Report::Missing(7, false), Report::Store],
            known: false,
            takes_work: false,
        },
        Case {
            name: "lapsed, reported last",
            reports: &[Report::Store, Report::Missing(7, true)],
            known: true,
            takes_work: true,
        },
        Case {
            name: "lapsed, reported first",
            reports: &[Report::Missing(7, true), Report::Store],
            known: true,
            takes_work: true,
        },
        Case {
            name: "an earlier removal",
            reports: &[Report::Store, Report::Gone(3)],
            known: true,
            takes_work: false,
        },
    ];
    for case in cases {
        let mut bench = DirectoryHarness::new();
        let rows = ["i-1", "i-2", "i-3"].map(|id| valid_row(id, 4));
        changes(&mut bench, rows.into(), 6);
        bench.gateway.board.borrow_mut().store = StoreState::OutageSince(clock::now());
        for report in case.reports {
            let id = "i-1".to_owned();
            let recent_changes = |revision, change| {
                let mut recent = RecentChanges::default();
                recent.push(revision, change, clock::now());
                recent.advance(SyncPoint { position: 7, as_of: 7 });
                recent
            };
            match *report {
                Report::Store => {
                    let changes = vec![Change::Removed(id, 7)];
                    bench.feed(Feed { changes, revision: 7, as_of: 7 });
                }
                Report::Missing(revision, lapsed) => {
                    let removal = Removal {
                        revision,
                        last_seen: 6,
                        store_back: 7,
                        lapsed,
                        passed_check: 0,
                        lost: false,
                    };
                    bench.hear(recent_changes(revision, UpstreamChange::Missing(id, removal)));
                }
                Report::Gone(revision) => {
                    bench.hear(recent_changes(revision, UpstreamChange::Gone(id)))
                }
            }
        }
        let board = bench.gateway.board.borrow();
        let view = board.upstreams.get("i-1");
        assert_eq!(view.is_some(), case.known, "{}", case.name);
        let takes_work = view.is_some_and(UpstreamView::takes_work);
        assert_eq!(takes_work, case.takes_work, "{}", case.name);
    }
}

/// A gateway that had made no call during an outage of the store removed_at all upstreams, because
/// none of its own calls had failed.
#[test]
fn a_gateway_without_calls_during_an_outage_keeps_upstreams_whose_rows_lapsed() {
    struct Case {
        name: &'static str,
        /// Store times of further reads of the list, after the first one at 5,000.
        reads: &'static [u64],
        /// Store time of the answer that shows the removal of all rows.
        removed_at: u64,
        known: bool,
    }
    let cases = [
        Case {
            name: "read without interruption",
            reads: &[5_500, 6_000],
            removed_at: 6_400,
            known: false,
        },
        Case {
            name: "read at the interval of a single gateway",
            reads: &[6_500],
            removed_at: 8_000,
            known: false,
        },
        Case { name: "not read during the outage", reads: &[], removed_at: 13_000, known: true },
        Case {
            name: "removed just after the next read",
            reads: &[13_000],
            removed_at: 13_300,
            known: true,
        },
        Case {
            name: "removed long after the next read",
            reads: &[13_000, 13_500],
            removed_at: 14_000,
            known: false,
        },
    ];
    for case in cases {
        let mut bench = DirectoryHarness::new();
        let rows = ["i-1", "i-2"].map(|id| valid_row(id, 4)).into_iter().map(Change::Written);
        bench.feed(Feed { changes: rows.collect(), revision: 6, as_of: 5_000 });
        for as_of in case.reads {
            bench.feed(Feed { changes: Vec::new(), revision: 6, as_of: *as_of });
        }
        let changes = [("i-1", 7), ("i-2", 8)].map(|(id, r)| Change::Removed(id.to_owned(), r));
        bench.feed(Feed { changes: changes.into(), revision: 8, as_of: case.removed_at });
        for id in ["i-1", "i-2"] {
            assert_eq!(bench.knows(id), case.known, "{}: {id}", case.name);
        }
    }
}

/// When the whole list was read, a row that was already missing was treated as if it had just been
/// present, and its period for returning started again.
#[test]
fn a_full_list_does_not_extend_the_grace_period_of_a_missing_row() {
    let mut bench = DirectoryHarness::new();
    let rows = || ["i-1", "i-2", "i-3"].map(|id| valid_row(id, 4));
    bench.feed(Feed { changes: rows().map(Change::Written).into(), revision: 6, as_of: 5_000 });
    bench.gateway.board.borrow_mut().store = StoreState::OutageSince(clock::now());
    let changes = vec![Change::Removed("i-1".to_owned(), 7)];
    bench.feed(Feed { changes, revision: 7, as_of: 5_400 });
    let removal = |bench: &DirectoryHarness| {
        let board = bench.gateway.board.borrow();
        board.upstreams["i-1"].missing.map(|row| row.removal)
    };
    let first = removal(&bench);
    assert_eq!(first.map(|r| r.last_seen), Some(5_000));
    let rows = rows().into_iter().skip(1).collect();
    bench.snapshot(Snapshot { rows, revision: 8, as_of: 6_000 });
    assert_eq!(removal(&bench), first);
}

/// Returns the revision with a number in an era.
fn at(era: u64, number: u64) -> u64 {
    revision_in_era(era, number).expect("in range")
}

/// Returns a gateway that knows the first era up to number 50: `i-1` serves, `i-2` is draining and
/// `i-3` has left.
fn in_first_era() -> DirectoryHarness {
    let mut bench = DirectoryHarness::new();
    let draining = row("i-2", UpstreamPhase::Draining, at(1, 41));
    let rows = vec![valid_row("i-1", at(1, 40)), draining, valid_row("i-3", at(1, 42))];
    snapshot(&mut bench, rows, at(1, 45));
    bench.feed(Feed {
        changes: vec![Change::Removed("i-3".to_owned(), at(1, 50))],
        revision: at(1, 50),
        as_of: 50,
    });
    bench
}

/// Returns the rows of a copy in which all three serve.
fn copied_rows(era: u64) -> Vec<StoreRow> {
    ["i-1", "i-2", "i-3"].map(|id| valid_row(id, at(era, 20))).to_vec()
}

fn serving(bench: &DirectoryHarness) -> Vec<String> {
    let board = bench.gateway.board.borrow();
    board.upstreams.iter().filter(|(_, v)| v.takes_work()).map(|(id, _)| id.clone()).collect()
}

#[test]
fn a_copy_of_the_store_takes_back_nothing_that_is_known_of_upstreams() {
    struct Case {
        name: &'static str,
        apply: fn(&mut DirectoryHarness),
        serving: &'static [&'static str],
        position: u64,
    }
    let cases = [
        Case {
            name: "the list of the copy",
            apply: |b| snapshot(b, copied_rows(2), at(2, 30)),
            serving: &["i-1"],
            position: at(2, 30),
        },
        Case {
            name: "the same list twice",
            apply: |b| {
                snapshot(b, copied_rows(2), at(2, 30));
                snapshot(b, copied_rows(2), at(2, 31));
            },
            serving: &["i-1"],
            position: at(2, 31),
        },
        Case {
            name: "two returns between two reads",
            apply: |b| snapshot(b, copied_rows(3), at(3, 10)),
            serving: &["i-1"],
            position: at(3, 10),
        },
        Case {
            name: "two returns, each of them read",
            apply: |b| {
                snapshot(b, copied_rows(2), at(2, 30));
                snapshot(b, copied_rows(3), at(3, 10));
            },
            serving: &["i-1"],
            position: at(3, 10),
        },
        Case {
            name: "one that left has written its row again",
            apply: |b| {
                snapshot(b, copied_rows(2), at(2, 30));
                changes(b, vec![valid_row("i-3", at(2, 31))], at(2, 31));
            },
            serving: &["i-1", "i-3"],
            position: at(2, 31),
        },
        Case {
            name: "late changes of the first era",
            apply: |b| {
                snapshot(b, copied_rows(2), at(2, 30));
                let draining = row("i-1", UpstreamPhase::Draining, at(1, 60));
                changes(b, vec![draining], at(1, 60));
            },
            serving: &["i-1"],
            position: at(2, 30),
        },
        Case {
            name: "a late list of the first era",
            apply: |b| {
                snapshot(b, copied_rows(2), at(2, 30));
                snapshot(b, vec![], at(1, 60));
            },
            serving: &["i-1"],
            position: at(2, 30),
        },
        Case {
            name: "another gateway's changes of an era that is not known here",
            apply: |b| {
                let draining = row("i-1", UpstreamPhase::Draining, at(2, 31));
                let mut other = DirectoryHarness::beside(b);
                snapshot(&mut other, copied_rows(2), at(2, 30));
                changes(&mut other, vec![draining], at(2, 31));
                b.hear(other.recent());
            },
            serving: &["i-1"],
            position: at(1, 50),
        },
        Case {
            name: "the list of another gateway that has just started",
            apply: |b| {
                let mut other = DirectoryHarness::beside(b);
                snapshot(&mut other, copied_rows(2), at(2, 30));
                let list = other.gateway.board.borrow().upstream_snapshot(0);
                b.copy(list);
            },
            serving: &["i-1"],
            position: at(2, 30),
        },
    ];
    for case in cases {
        let mut bench = in_first_era();
        (case.apply)(&mut bench);
        assert_eq!(serving(&bench), case.serving, "{}", case.name);
        assert_eq!(bench.position(), case.position, "{}", case.name);
    }
}
