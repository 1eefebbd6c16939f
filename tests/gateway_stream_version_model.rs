//! Model of gateways that remember for each other at which software version streams began. Measures
//! how many of the streams that callers take up go on after gateways were lost, and what it costs.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use tackhollow::gateway::{
    decide::{
        STREAM_LIFETIME, ServedVersions, ShareHolder, StreamVersions, VersionHistory,
        VersionKeeper, choose_keepers,
    },
    model::RequestDigest,
    peering::KnownVersion,
};

/// Numbers of gateways, up to the largest fleet.
const SIZES: [usize; 4] = [7, 77, 300, 1_500];
/// Streams in a run.
const STREAMS: usize = 1_000;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.02;
/// Datagrams that may be sent for one stream, whatever the number of gateways.
const MAX_MESSAGES: usize = 3;
/// Rule of the platform's users: half of the share of new streams.
const MIN_SHARE: f64 = 0.5;

/// Which gateways are lost after the streams have begun.
#[derive(Clone, Copy, Debug)]
enum Lost {
    None,
    /// All of one data centre.
    DataCentre,
    /// Each with this probability.
    Share(f64),
}

/// How many gateways are told, and whether they are in different data centres.
#[derive(Clone, Copy, Debug)]
struct Design {
    keepers: usize,
    spread: bool,
}

/// What gateways do.
const CHOSEN: Design = Design { keepers: 3, spread: true };
/// Difference between two runs of the model that says nothing.
const NOISE: f64 = 0.03;

struct Fleet {
    gateways: usize,
    design: Design,
    books: Vec<StreamVersions>,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(gateways: usize, design: Design) -> Self {
        let books = (0..gateways).map(|_| StreamVersions::default()).collect();
        Self { gateways, design, books, rng: fastrand::Rng::with_seed(gateways as u64) }
    }

    fn data_centre(&self, gateway: usize) -> usize {
        gateway % 4
    }

    /// Returns the gateways that remember a stream, in the view of one that knows `alive`.
    fn keepers(&self, stream: RequestDigest, alive: &BTreeSet<usize>, count: usize) -> Vec<usize> {
        let keeper = |n: &usize| VersionKeeper {
            holder: ShareHolder::new(&format!("gateway-{n}")),
            data_centre: match self.design.spread {
                true => format!("dc-{}", self.data_centre(*n)),
                false => format!("dc-{n}"),
            },
            address: *n,
        };
        let chosen = choose_keepers(stream, alive.iter().map(keeper).collect(), count);
        chosen.into_iter().map(|k| k.address).collect()
    }

    fn arrives(&mut self) -> bool {
        self.rng.f64() >= LOSS
    }

    /// Begins a stream; returns the gateway and the number of messages.
    fn begin(&mut self, stream: RequestDigest, version: &str, now: Instant) -> (usize, usize) {
        let all: BTreeSet<usize> = (0..self.gateways).collect();
        let at = self.rng.usize(..self.gateways);
        self.books[at].note(stream, version.to_owned(), now);
        let mut told = self.keepers(stream, &all, self.design.keepers);
        told.retain(|k| *k != at);
        for keeper in &told {
            if self.arrives() {
                self.books[*keeper].note(stream, version.to_owned(), now);
            }
        }
        (at, told.len())
    }

    /// Takes a stream up at a gateway that believes `known` to be there; returns its version.
    fn take_up(
        &mut self,
        stream: RequestDigest,
        at: usize,
        known: &BTreeSet<usize>,
        lost: &BTreeSet<usize>,
    ) -> Option<String> {
        if let Some(version) = self.books[at].get(stream) {
            return Some(version.clone());
        }
        let asked = self.keepers(stream, known, self.design.keepers + 1);
        let answers = asked.into_iter().filter(|k| !lost.contains(k));
        let mut found = None;
        for keeper in answers.collect::<Vec<_>>() {
            if self.arrives() && self.arrives() {
                found = found.or_else(|| self.books[keeper].get(stream).cloned());
            }
        }
        found
    }

    fn draw_lost(&mut self, lost: Lost) -> BTreeSet<usize> {
        match lost {
            Lost::None => BTreeSet::new(),
            Lost::DataCentre => (0..self.gateways).filter(|n| self.data_centre(*n) == 0).collect(),
            Lost::Share(share) => (0..self.gateways).filter(|_| self.rng.f64() < share).collect(),
        }
    }
}

/// Share of the streams that go on, and the most messages for one of them. Panics if one goes on at
/// another version.
fn play(gateways: usize, design: Design, lost: Lost, losses_known: bool) -> (f64, usize) {
    let now = Instant::now();
    let mut fleet = Fleet::new(gateways, design);
    let digest = |n: usize| RequestDigest::of(&[&n.to_le_bytes()]);
    let version = |n: usize| format!("v{}", n % 3);
    let mut messages = 0;
    let began: Vec<usize> = (0..STREAMS)
        .map(|n| {
            let (at, sent) = fleet.begin(digest(n), &version(n), now);
            messages = messages.max(sent);
            at
        })
        .collect();
    let lost = fleet.draw_lost(lost);
    let alive: BTreeSet<usize> = (0..gateways).filter(|n| !lost.contains(n)).collect();
    let all: BTreeSet<usize> = (0..gateways).collect();
    let known = if losses_known { &alive } else { &all };
    let survivors: Vec<usize> = alive.iter().copied().collect();
    let (mut went_on, mut taken_up) = (0, 0);
    for n in (0..STREAMS).filter(|n| lost.is_empty() || lost.contains(&began[*n])) {
        let at = survivors[fleet.rng.usize(..survivors.len())];
        taken_up += 1;
        if let Some(found) = fleet.take_up(digest(n), at, known, &lost) {
            assert_eq!(found, version(n), "stream {n} goes on at another version");
            went_on += 1;
        }
    }
    (went_on as f64 / f64::from(taken_up.max(1)), messages)
}

#[test]
fn streams_go_on_after_gateways_were_lost_whatever_their_number() {
    struct Case {
        lost: Lost,
        /// Least share that must go on: all but lost datagrams explain, or the users' rule.
        share: f64,
    }
    let cases = [
        Case { lost: Lost::None, share: 0.99 },
        Case { lost: Lost::DataCentre, share: 0.99 },
        Case { lost: Lost::Share(0.3), share: 0.9 },
        Case { lost: Lost::Share(0.6), share: MIN_SHARE },
    ];
    for gateways in SIZES {
        for case in &cases {
            for losses_known in [true, false] {
                let (share, messages) = play(gateways, CHOSEN, case.lost, losses_known);
                println!("{gateways} gateways, {:?}, known {losses_known}: {share:.3}", case.lost);
                assert!(share >= case.share, "{gateways} gateways, {:?}: {share}", case.lost);
                assert!(messages <= MAX_MESSAGES, "{messages} messages");
            }
        }
    }
}

#[test]
fn one_keeper_is_too_few() {
    let one = Design { keepers: 1, spread: true };
    let (share, _) = play(77, one, Lost::Share(0.6), true);
    assert!(share < MIN_SHARE, "the model cannot fail: {share}");
}

#[test]
fn no_other_design_lets_more_streams_go_on() {
    for lost in [Lost::DataCentre, Lost::Share(0.3), Lost::Share(0.6)] {
        for gateways in [7, 300] {
            let (chosen, _) = play(gateways, CHOSEN, lost, true);
            for (keepers, spread) in [(1, true), (2, false), (2, true), (3, false)] {
                let design = Design { keepers, spread };
                let (share, _) = play(gateways, design, lost, true);
                println!("{gateways} gateways, {lost:?}, {design:?}: {share:.3}, {chosen:.3}");
                assert!(chosen + NOISE >= share, "{gateways} gateways, {lost:?}, {design:?}");
            }
        }
    }
}

#[test]
fn memory_is_bounded_and_old_streams_are_forgotten() {
    let (mut book, now) = (StreamVersions::default(), Instant::now());
    let digest = |n: u64| RequestDigest::of(&[&n.to_le_bytes()]);
    (0..100_000).for_each(|n| book.note(digest(n), "v1".to_owned(), now));
    let kept = (0..100_000).filter(|n| book.get(digest(*n)).is_some()).count();
    assert!((10_000..=20_000).contains(&kept), "{kept}");
    assert!(book.get(digest(99_999)).is_some());
    book.note(digest(0), "v1".to_owned(), now + STREAM_LIFETIME);
    assert!(book.get(digest(99_999)).is_none());
}

#[test]
fn gateways_that_disagree_about_the_only_version_know_nothing() {
    struct Case {
        answers: Vec<KnownVersion>,
        sum: KnownVersion,
    }
    let sole = |version: &str| KnownVersion::Sole(version.to_owned());
    let recorded = || KnownVersion::Recorded("v3".to_owned());
    let unknown = || KnownVersion::Unknown;
    let several = || KnownVersion::Several;
    let cases = [
        Case { answers: vec![], sum: unknown() },
        Case { answers: vec![unknown(), sole("v1"), sole("v1")], sum: sole("v1") },
        Case { answers: vec![sole("v1"), sole("v2"), sole("v1")], sum: unknown() },
        Case { answers: vec![sole("v1"), sole("v2"), recorded()], sum: recorded() },
        Case { answers: vec![sole("v1"), several(), sole("v1"), unknown()], sum: several() },
        Case { answers: vec![several(), sole("v1"), recorded()], sum: recorded() },
    ];
    for case in cases {
        assert_eq!(
            KnownVersion::most_certain(case.answers.clone()),
            case.sum,
            "{:?}",
            case.answers
        );
    }
}

#[test]
fn only_a_long_enough_history_names_a_sole_version() {
    struct Case<'a> {
        name: &'static str,
        /// Versions, and how long after the start each was last listed.
        listed: &'static [(&'static str, u64)],
        /// When others may have come and gone unseen, after the start.
        gap_s: Option<u64>,
        now_s: u64,
        served: ServedVersions<'a>,
    }
    let v1 = "v1".to_owned();
    let sole = ServedVersions::Sole(&v1);
    let (several, unknown) = (ServedVersions::Several, ServedVersions::Unknown);
    let case = |name, listed, gap_s, now_s, served| Case { name, listed, gap_s, now_s, served };
    let cases = [
        case("none", &[], None, 60, unknown),
        case("just started", &[("v1", 0)], None, 29, unknown),
        case("long enough", &[("v1", 30)], None, 30, sole),
        case("two", &[("v1", 60), ("v2", 60)], None, 60, several),
        case("two, just started", &[("v1", 1), ("v2", 1)], None, 1, several),
        case("one just gone", &[("v2", 35), ("v1", 60)], None, 60, several),
        case("gone long ago", &[("v2", 29), ("v1", 60)], None, 60, sole),
        case("a gap", &[("v1", 60)], Some(31), 60, unknown),
        case("a gap long ago", &[("v1", 60)], Some(30), 60, sole),
        case("a gap beside two", &[("v1", 60), ("v2", 60)], Some(59), 60, several),
    ];
    let service = "llm".to_owned();
    for case in cases {
        let start = Instant::now();
        let mut history = VersionHistory::new(start);
        for (version, at) in case.listed {
            let at = start + Duration::from_secs(*at);
            history.note(&service, &(*version).to_owned(), at);
        }
        if let Some(at) = case.gap_s {
            history.note_gap(start + Duration::from_secs(at));
        }
        let now = start + Duration::from_secs(case.now_s);
        let served = history.served(&service, std::iter::empty(), now);
        assert_eq!(served, case.served, "{}", case.name);
    }
}
