//! The list of upstreams under messages that arrive late, twice and in any order, since calls to
//! the store overlap and other gateways report what they know. The known state is always that of
//! the store at one revision, never a mixture of several, and never goes back.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use support::directory::{DirectoryHarness, row};
use tackhollow::{
    gateway::{model::UpstreamPhase, peering::UpstreamSnapshot},
    platform::{Change, Feed, Snapshot, StoreRow},
};

/// A change in the store: the number of the upstream, and its new phase; `None` removes it.
type StoreChange = (u8, Option<UpstreamPhase>);

/// A message to one of two gateways. Its numbers are fractions, of which `u8::MAX` is the whole.
#[derive(Clone, Copy, Debug)]
enum Message {
    /// A feed of changes from a fraction of the known revisions up to a fraction of the rest.
    Feed { after: u8, upto: u8 },
    /// The whole list at a fraction of the store's revisions.
    Snapshot { upto: u8 },
    /// The recent changes in the other gateway's heartbeat.
    RecentChanges,
    /// The other gateway's whole list.
    FullCopy,
    /// The other gateway's snapshot of the changes since the receiver's position.
    ChangesOnly,
}

/// Returns the fraction of `whole` that a byte stands for.
fn fraction(byte: u8, whole: u64) -> u64 {
    whole * u64::from(byte) / u64::from(u8::MAX)
}

fn id(n: u8) -> String {
    format!("i-{n}")
}

/// The changes of a simulated store; the first one has revision 1.
struct Store(Vec<StoreChange>);

impl Store {
    fn revision(&self) -> u64 {
        self.0.len() as u64
    }

    fn row(&self, revision: u64) -> Option<StoreRow> {
        let (n, phase) = self.0[revision as usize - 1];
        phase.map(|phase| row(&id(n), phase, revision))
    }

    /// Returns the rows at a revision.
    fn rows(&self, upto: u64) -> Vec<StoreRow> {
        let mut rows = BTreeMap::new();
        for revision in 1..=upto {
            match self.row(revision) {
                Some(row) => drop(rows.insert(row.key.clone(), row)),
                None => drop(rows.remove(&id(self.0[revision as usize - 1].0))),
            }
        }
        rows.into_values().collect()
    }

    fn phases(&self, upto: u64) -> BTreeMap<String, UpstreamPhase> {
        let mut phases = BTreeMap::new();
        for (n, phase) in &self.0[..upto as usize] {
            match phase {
                Some(phase) => drop(phases.insert(id(*n), *phase)),
                None => drop(phases.remove(&id(*n))),
            }
        }
        phases
    }

    fn feed(&self, after: u64, upto: u64) -> Feed {
        let change = |revision| match self.row(revision) {
            Some(row) => Change::Written(row),
            None => Change::Removed(id(self.0[revision as usize - 1].0), revision),
        };
        let changes = (after + 1..=upto).map(change).collect();
        // The clock shows the revision, so that a time in the future can be detected.
        Feed { changes, revision: upto, as_of: upto }
    }
}

/// Delivers a message to `to`; `from` is the other gateway.
fn deliver(store: &Store, to: &mut DirectoryHarness, from: &DirectoryHarness, message: Message) {
    match message {
        Message::Feed { after, upto } => {
            let after = fraction(after, to.position());
            let upto = after + fraction(upto, store.revision() - after);
            to.feed(store.feed(after, upto));
        }
        Message::Snapshot { upto } => {
            let upto = fraction(upto, store.revision());
            to.snapshot(Snapshot { rows: store.rows(upto), revision: upto, as_of: upto });
        }
        Message::RecentChanges => to.hear(from.recent()),
        Message::FullCopy => {
            let board = from.gateway.board.borrow();
            let snapshot = UpstreamSnapshot {
                knowledge: board.upstreams_knowledge.unwrap_or_default(),
                last_change: board.upstreams_last_change,
                upstreams: board.upstreams.values().map(|v| v.upstream.clone()).collect(),
                missing: Vec::new(),
                ..UpstreamSnapshot::default()
            };
            drop(board);
            to.copy(snapshot);
        }
        Message::ChangesOnly => {
            let snapshot = from.gateway.board.borrow().upstream_snapshot(to.position());
            to.copy(snapshot);
        }
    }
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        3 => (any::<u8>(), any::<u8>()).prop_map(|(after, upto)| Message::Feed { after, upto }),
        1 => any::<u8>().prop_map(|upto| Message::Snapshot { upto }),
        3 => Just(Message::RecentChanges),
        1 => Just(Message::FullCopy),
        2 => Just(Message::ChangesOnly),
    ]
}

fn change() -> impl Strategy<Value = StoreChange> {
    let phase = prop_oneof![
        2 => Just(Some(UpstreamPhase::Ready)),
        2 => Just(Some(UpstreamPhase::Draining)),
        1 => Just(None),
    ];
    (0_u8..4, phase)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        cases: 1_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn known_upstreams_match_the_store_at_one_revision(
        changes in prop::collection::vec(change(), 1..30),
        messages in prop::collection::vec((any::<bool>(), message()), 1..40),
    ) {
        let store = Store(changes);
        let mut a = DirectoryHarness::new();
        let mut b = DirectoryHarness::beside(&a);
        let mut last_positions = [0, 0];
        for (to_a, message) in messages {
            let (to, from) = if to_a { (&mut a, &b) } else { (&mut b, &a) };
            deliver(&store, to, from, message);
            for (bench, last_position) in [&a, &b].into_iter().zip(&mut last_positions) {
                let position = bench.position();
                prop_assert!(position >= *last_position, "the position went back");
                *last_position = position;
                let known: BTreeMap<_, _> = bench.phases();
                prop_assert_eq!(known, store.phases(position), "at revision {}", position);
                prop_assert!(bench.as_of() <= position, "as_of is newer than the known state");
            }
        }
    }
}
