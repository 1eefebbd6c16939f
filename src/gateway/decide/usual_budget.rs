//! Time budget that the callers of a route usually state in their first attempts.

use std::{collections::VecDeque, time::Duration};

/// Number of stated budgets that the usual one rests on.
const KEPT: usize = 32;
/// Minimum number; with fewer, the usual budget is unknown.
const MIN_KNOWN: usize = 8;
/// Quantile that is taken as usual. Under overload up to half of the attempts are those of callers
/// that returned and state less time.
const QUANTILE: f64 = 0.75;
/// Largest budget that is noted; longer ones are absurd and would make all others look used.
const MAX_BUDGET: Duration = Duration::from_secs(600);

/// Recently stated budgets of the callers of one route.
#[derive(Clone, Debug, Default)]
pub struct UsualBudget {
    stated: VecDeque<Duration>,
}

impl UsualBudget {
    /// Returns how much of the usual budget a caller has used that states `budget`, and notes it.
    /// Zero while the usual budget is unknown.
    pub fn used(&mut self, budget: Duration) -> Duration {
        let used = self.usual().map_or(Duration::ZERO, |usual| usual.saturating_sub(budget));
        self.stated.push_back(budget.min(MAX_BUDGET));
        if self.stated.len() > KEPT {
            self.stated.pop_front();
        }
        used
    }

    /// Returns the usual budget; `None` while too few callers have stated one.
    pub fn usual(&self) -> Option<Duration> {
        if self.stated.len() < MIN_KNOWN {
            return None;
        }
        let mut sorted: Vec<Duration> = self.stated.iter().copied().collect();
        sorted.sort_unstable();
        let index = (QUANTILE * (sorted.len() - 1) as f64) as usize;
        Some(sorted[index])
    }
}
