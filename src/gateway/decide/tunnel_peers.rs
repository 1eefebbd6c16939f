//! Which gateways others use while some are cut off from all upstreams.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Smallest share of the serving gateways to which all callers are sent. With a smaller one, few
/// gateways would have to take the connections of all callers.
const MIN_CONNECTED_SHARE: f64 = 0.3;
/// How long the outcome of a tunnel bears on the choice of the next ones.
const OUTCOME_MEMORY: Duration = Duration::from_secs(3);
/// Gateways that are asked first because a tunnel through them was opened lately. With one alone,
/// its load would grow with each gateway that finds it.
const PROVEN_PEERS: usize = 2;

/// Outcomes of this gateway's tunnels through other gateways. `T` identifies a gateway.
///
/// The others report that they are cut off with heartbeats, which in a large fleet are late.
#[derive(Clone, Debug)]
pub struct TunnelPeers<T> {
    /// When a tunnel through each gateway was last tried, and whether it was opened.
    outcomes: HashMap<T, (Instant, bool)>,
}

impl<T> Default for TunnelPeers<T> {
    fn default() -> Self {
        Self { outcomes: HashMap::new() }
    }
}

impl<T: Copy + Eq + Hash> TunnelPeers<T> {
    /// Records whether a tunnel through a gateway was opened.
    pub fn note(&mut self, peer: T, opened: bool, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OUTCOME_MEMORY;
        self.outcomes.retain(|_, (at, _)| is_recent(*at));
        self.outcomes.insert(peer, (now, opened));
    }

    fn outcome(&self, peer: T, now: Instant) -> Option<bool> {
        let recent = |at: Instant| now.saturating_duration_since(at) < OUTCOME_MEMORY;
        self.outcomes.get(&peer).filter(|(at, _)| recent(*at)).map(|(_, opened)| *opened)
    }

    /// Returns up to `max` gateways to open a connection through, in the order in which they are
    /// asked: some that have proven useful, one of this data centre, then any. A whole data centre
    /// may be cut off, so that the others are not drawn from this data centre alone. `near` is a
    /// part of `all`.
    pub fn choose(
        &self,
        near: &[T],
        all: &[T],
        max: usize,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Vec<T> {
        let has = |outcome| move |peer: &T| self.outcome(*peer, now) == outcome;
        let proven = all.iter().copied().filter(has(Some(true)));
        let mut chosen = rng.choose_multiple(proven, PROVEN_PEERS);
        let untried: Vec<T> = near.iter().copied().filter(has(None)).collect();
        chosen.extend(rng.choice(untried));
        let mut any = rng.choose_multiple(all.iter().copied().filter(has(None)), max);
        rng.shuffle(&mut any);
        let failed = rng.choose_multiple(all.iter().copied().filter(has(Some(false))), max);
        for peer in any.into_iter().chain(failed) {
            if !chosen.contains(&peer) {
                chosen.push(peer);
            }
        }
        chosen.truncate(max);
        chosen
    }
}

/// Returns the gateways to which callers are sent, among those that serve, each with whether it is
/// cut off. Those that are cut off are left out unless too few would remain: they serve too, through
/// the others.
pub fn choose_listed_gateways<T: Copy>(serving: &[(T, bool)]) -> Vec<T> {
    let connected = serving.iter().filter(|(_, cut_off)| !cut_off).count();
    let too_few = (connected as f64) < serving.len() as f64 * MIN_CONNECTED_SHARE;
    let listed = serving.iter().filter(|(_, cut_off)| too_few || !cut_off);
    listed.map(|(gateway, _)| *gateway).collect()
}
