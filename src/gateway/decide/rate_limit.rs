//! Rate limits that upstreams name in their answers.

use std::collections::HashMap;

use super::StoreMillis;
use crate::gateway::model::Lifetime;

/// What an upstream said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// Requests a second from all gateways together; `None` if it takes any number.
    pub rate: Option<f64>,
    /// When it said so, by the store's clock.
    pub at: StoreMillis,
}

/// The newest limit of each upstream that ever named one.
#[derive(Clone, Debug, Default)]
pub struct LimitBook {
    limits: HashMap<Lifetime, LimitNotice>,
}

impl LimitBook {
    /// Takes over what an upstream said, if it is newer than what is known; returns whether
    /// that changes its limit.
    pub fn learn(&mut self, upstream: Lifetime, notice: LimitNotice) -> bool {
        let Some(known) = self.limits.get_mut(&upstream) else {
            if notice.rate.is_some() {
                self.limits.insert(upstream, notice);
            }
            return notice.rate.is_some();
        };
        if notice.at < known.at {
            return false;
        }
        let changed = known.rate != notice.rate;
        *known = notice;
        changed
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        self.limits.values().filter(|l| l.rate.is_some()).count()
    }

    /// Forgets upstreams that are not `known`.
    pub fn retain(&mut self, known: impl Fn(Lifetime) -> bool) {
        self.limits.retain(|upstream, _| known(*upstream));
    }
}
