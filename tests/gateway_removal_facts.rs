//! Removed rows of upstreams: how knowledge of a removal merges, how long it counts, and which
//! upstreams it excludes from requests.

#[path = "support/upstreams.rs"]
mod upstreams;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use tackhollow::gateway::{
    board::{Board, MissingRowChange},
    decide::{
        ExposureTerms, PeerCorrectedClock, Removal, RolloutOrder, RowCount, SyncPoint,
        VersionGroup, rows_lapsed,
    },
    model::{Upstream, UpstreamPhase},
};
use upstreams::upstream;

/// Time of the store's clock at the start of a case, in milliseconds.
const STORE_START: u64 = 50_000;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn rows_have_lapsed_if_most_rows_or_all_of_a_service_are_missing() {
    struct Case {
        name: &'static str,
        of_service: RowCount,
        of_all: RowCount,
        lapsed: bool,
    }
    let rows = |missing, known| RowCount { known, missing };
    let cases = [
        Case { name: "one of many", of_service: rows(1, 18), of_all: rows(1, 22), lapsed: false },
        Case { name: "a third", of_service: rows(7, 18), of_all: rows(7, 22), lapsed: false },
        Case { name: "half of all", of_service: rows(11, 18), of_all: rows(11, 22), lapsed: false },
        Case { name: "most of all", of_service: rows(8, 18), of_all: rows(12, 22), lapsed: true },
        Case {
            name: "most of a small service",
            of_service: rows(3, 4),
            of_all: rows(3, 22),
            lapsed: false,
        },
        Case { name: "a whole service", of_service: rows(4, 4), of_all: rows(4, 22), lapsed: true },
        Case { name: "the only one", of_service: rows(1, 1), of_all: rows(1, 1), lapsed: true },
    ];
    for case in cases {
        assert_eq!(rows_lapsed(case.of_service, case.of_all), case.lapsed, "{}", case.name);
    }
}

#[test]
fn knowledge_of_a_removal_merges_in_any_order() {
    let reports = [
        Removal {
            revision: 7,
            last_seen: 100,
            store_back: 900,
            lapsed: false,
            passed_check: 0,
            lost: false,
        },
        Removal {
            revision: 9,
            last_seen: 400,
            store_back: 950,
            lapsed: true,
            passed_check: 0,
            lost: false,
        },
        Removal {
            revision: 8,
            last_seen: 300,
            store_back: 700,
            lapsed: false,
            passed_check: 0,
            lost: false,
        },
    ];
    let merged = |order: [usize; 4]| {
        let mut removal = reports[order[0]];
        for i in order {
            removal.merge(reports[i]);
        }
        removal
    };
    let all = Removal {
        revision: 7,
        last_seen: 400,
        store_back: 700,
        lapsed: true,
        passed_check: 0,
        lost: false,
    };
    for order in [[0, 1, 2, 0], [2, 1, 0, 2], [1, 0, 2, 1], [1, 2, 0, 0], [0, 2, 1, 1]] {
        assert_eq!(merged(order), all, "{order:?}");
    }
}

/// An upstream that leaves serves for two more seconds from the removal of its row, so the time in
/// which it is used must not be counted from any later moment.
#[test]
fn the_grace_period_starts_at_the_earliest_possible_return_of_the_store() {
    struct Case {
        name: &'static str,
        last_seen: u64,
        store_back: u64,
        until: u64,
    }
    let cases = [
        Case {
            name: "row seen just before the return",
            last_seen: 9_900,
            store_back: 10_000,
            until: 11_800,
        },
        Case {
            name: "row seen one call interval before the return",
            last_seen: 9_500,
            store_back: 10_000,
            until: 11_400,
        },
        Case { name: "a long outage", last_seen: 2_000, store_back: 10_000, until: 11_400 },
        Case { name: "row never seen", last_seen: 0, store_back: 100, until: 1_900 },
    ];
    for Case { name, last_seen, store_back, until } in cases {
        let removal = Removal {
            revision: 3,
            last_seen,
            store_back,
            lapsed: true,
            passed_check: 0,
            lost: false,
        };
        assert_eq!(removal.grace_period_end(), until, "{name}");
    }
}

/// Returns a board with the upstreams of two services, last known to be current `known_ago` before
/// `start`.
fn board(start: Instant, known_ago: Duration) -> Board {
    let mut board = Board::new(PeerCorrectedClock::new(start, 0), start);
    board.store_clock.note(STORE_START, start);
    let as_of = STORE_START - known_ago.as_millis() as u64;
    board.upstreams_knowledge = Some(SyncPoint { position: 5, as_of });
    for (service, count) in [("app", 2), ("llm", 6)] {
        for n in 0..count {
            let id = format!("{service}-{n}");
            let described = upstream(UpstreamPhase::Ready, 1);
            let described = Upstream { id, service: service.to_owned(), ..described };
            board.apply_description_at(described, 5, start);
        }
    }
    board
}

#[test]
fn an_upstream_whose_row_is_removed_is_a_last_resort_unless_the_row_lapsed() {
    struct Case {
        name: &'static str,
        removed: &'static [&'static str],
        known_ago: Duration,
        takes_work: bool,
        is_last_resort: bool,
    }
    let cases = [
        Case {
            name: "one of several",
            removed: &["llm-0"],
            known_ago: ms(200),
            takes_work: false,
            is_last_resort: true,
        },
        Case {
            name: "one of several, known too long ago",
            removed: &["llm-0"],
            known_ago: ms(1_000),
            takes_work: false,
            is_last_resort: false,
        },
        Case {
            name: "half of a service",
            removed: &["app-0"],
            known_ago: ms(200),
            takes_work: false,
            is_last_resort: true,
        },
        Case {
            name: "a whole service",
            removed: &["app-0", "app-1"],
            known_ago: ms(8_000),
            takes_work: true,
            is_last_resort: false,
        },
        Case {
            name: "most of all",
            removed: &["app-0", "llm-0", "llm-1", "llm-2", "llm-3"],
            known_ago: ms(8_000),
            takes_work: true,
            is_last_resort: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut board = board(start, case.known_ago);
        let known = board.upstreams_knowledge.map_or(0, |k| k.as_of);
        for (n, id) in case.removed.iter().enumerate() {
            let revision = 6 + n as u64;
            let removal = Removal {
                revision,
                last_seen: known,
                store_back: STORE_START,
                lapsed: false,
                passed_check: 0,
                lost: false,
            };
            let noted = board.note_missing(&(*id).to_owned(), removal, start);
            assert!(matches!(noted, MissingRowChange::New(_)), "{noted:?}");
        }
        board.mark_lapsed_rows();
        for id in case.removed {
            let view = &board.upstreams[*id];
            assert_eq!(view.takes_work(), case.takes_work, "{}: {id}", case.name);
            assert_eq!(view.is_last_resort(start), case.is_last_resort, "{}: {id}", case.name);
        }
    }
}

/// Guards against a grace period that starts anew at each gateway that learns of a removal, and
/// with each message about it.
#[test]
fn repeated_reports_of_a_removal_do_not_extend_the_grace_period() {
    let start = Instant::now();
    let mut board = board(start, ms(600));
    let removal = Removal {
        revision: 6,
        last_seen: 49_400,
        store_back: 49_800,
        lapsed: true,
        passed_check: 0,
        lost: false,
    };
    let id = "llm-0".to_owned();
    let until = |board: &Board| board.upstreams["llm-0"].missing.expect("missing").until;
    assert!(matches!(board.note_missing(&id, removal, start), MissingRowChange::New(_)));
    let first = until(&board);
    assert_eq!(first, start + ms(1_300));
    for later in [ms(300), ms(900)] {
        let reported = Removal { store_back: removal.store_back + 400, ..removal };
        assert_eq!(board.note_missing(&id, reported, start + later), MissingRowChange::Known);
        assert_eq!(until(&board), first, "reported {later:?} later");
    }
}

/// Guards against refusals of requests for one side of a roll-out, all of whose upstreams are
/// leaving, while upstreams of the other side take work.
#[test]
fn a_rollout_side_without_upstreams_that_take_work_is_served_by_the_other_side() {
    struct Case {
        name: &'static str,
        /// Upstreams of the earlier version that take work.
        earlier_ready: usize,
        version_group: VersionGroup,
        versions: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "both take work",
            earlier_ready: 2,
            version_group: VersionGroup::Earlier,
            versions: &["v1"],
        },
        Case {
            name: "one is leaving",
            earlier_ready: 1,
            version_group: VersionGroup::Earlier,
            versions: &["v1"],
        },
        Case {
            name: "all are leaving",
            earlier_ready: 0,
            version_group: VersionGroup::Earlier,
            versions: &["v2"],
        },
        Case {
            name: "requests for the new version",
            earlier_ready: 0,
            version_group: VersionGroup::New,
            versions: &["v2"],
        },
    ];
    let terms = ExposureTerms { share: 0.1, slack: 50.0 };
    for case in cases {
        let start = Instant::now();
        let mut board = Board::new(PeerCorrectedClock::new(start, 0), start);
        board.store_clock.note(STORE_START, start);
        for (n, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
            let phase = match version == "v1" && n >= case.earlier_ready {
                true => UpstreamPhase::Draining,
                false => UpstreamPhase::Ready,
            };
            let (id, version) = (format!("i-{n}"), version.to_owned());
            board.apply_description(Upstream { id, version, ..upstream(phase, 1) }, start);
        }
        let order = RolloutOrder {
            service: "app".to_owned(),
            destination: "v2".to_owned(),
            duration: ms(20_000),
            revision: 9,
            started: STORE_START,
        };
        board.rollouts.add_order(order, true, 0.5);
        let open = board.upstreams_for_version_group(
            "app",
            Some(case.version_group),
            terms,
            start + ms(5_000),
        );
        let versions: BTreeSet<&str> = open.iter().map(|v| v.upstream.version.as_str()).collect();
        assert_eq!(versions, case.versions.iter().copied().collect(), "{}", case.name);
    }
}
