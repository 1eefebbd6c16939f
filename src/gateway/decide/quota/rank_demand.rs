//! Tokens that requests of a customer ask for, by rank.

use std::time::{Duration, Instant};

/// Number of ranks that are told apart; larger ones count as the last.
pub(super) const RANKS: usize = 10;

/// Time constant of the decay: long enough to hold several requests of a customer at one gateway of
/// many, and short enough to follow a change of its load within the operators' window.
pub(super) const DECAY: Duration = Duration::from_secs(4);

/// Tokens asked for by rank, whether admitted or not, decaying with [`DECAY`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RankDemand {
    tokens: [f64; RANKS],
    updated_at: Option<Instant>,
}

impl RankDemand {
    /// Records that a request of a rank asked for tokens.
    pub fn note(&mut self, rank: u8, tokens: f64, now: Instant) {
        self.decay(now);
        self.tokens[index(rank)] += tokens;
    }

    /// Returns what ranks more urgent than `rank` ask for, in tokens a second.
    pub fn more_urgent(&self, rank: u8) -> f64 {
        self.tokens[..index(rank)].iter().sum::<f64>() / DECAY.as_secs_f64()
    }

    /// Returns what the rank itself asks for, in tokens a second.
    pub fn of(&self, rank: u8) -> f64 {
        self.tokens[index(rank)] / DECAY.as_secs_f64()
    }

    /// Returns what all ranks ask for, in tokens a second.
    pub fn total(&self) -> f64 {
        self.tokens.iter().sum::<f64>() / DECAY.as_secs_f64()
    }

    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.updated_at {
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            let factor = (-elapsed / DECAY.as_secs_f64()).exp();
            self.tokens.iter_mut().for_each(|t| *t *= factor);
        }
        self.updated_at = Some(self.updated_at.map_or(now, |at| at.max(now)));
    }
}

pub(super) fn index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
