//! Order to move the traffic of a service, and the stages of its roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::{
    decide::StoreMillis,
    model::{Revision, ServiceName, UpstreamVersion, era_of, number_in_era},
};

/// An operator's order to move the traffic of a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that is to get the traffic.
    pub destination: UpstreamVersion,
    /// Time within which the roll-out must have ended.
    pub duration: Duration,
    /// Revision of the store at which the order was written. An order with a higher one replaces
    /// it.
    pub revision: Revision,
    /// When a gateway first saw the order, by the store's clock.
    pub started: StoreMillis,
}

/// How a roll-out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutEnd {
    /// All traffic stays with the earlier versions, or has returned to them.
    RolledBack,
    /// The earlier versions may stop. The store has confirmed this, and it is final.
    Completed,
}

/// Share of the order's duration after which less evidence is enough for traffic to start to move:
/// requests that run at the earlier versions have to end within the rest.
const TIME_SHORT_AFTER: f64 = 0.5;
/// Share of the duration before which traffic does not start to move, because versions may turn bad
/// late.
const EARLIEST_MOVE: f64 = 0.35;
/// Share of the duration from the first step until all traffic has moved.
const MOVE_DURATION: f64 = 0.2;
/// Share of the duration after which a roll-out that has not started to move is rolled back.
const TOO_LATE_AFTER: f64 = 0.9;
/// Shares of the traffic that go to the new version, one after the other, once traffic moves. A
/// version that is bad only under load shows it at one of them.
const MOVE_STEPS: [f64; 4] = [0.2, 0.4, 0.7, 1.0];

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutStage {
    /// The new version gets a bounded part of the requests, to show whether it is good.
    Trying,
    /// This share of the traffic goes to the new version.
    Moving(f64),
    /// The roll-out has ended.
    Ended(RolloutEnd),
}

impl RolloutStage {
    /// Returns the name used in logs and in the status for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trying => "trying",
            Self::Moving(_) => "moving",
            Self::Ended(RolloutEnd::RolledBack) => "rolled_back",
            Self::Ended(RolloutEnd::Completed) => "completed",
        }
    }
}

impl RolloutOrder {
    /// Returns whether `other` is this order as the store has it in a later era: the row of the
    /// copy, or the order as the operator has written it again.
    pub fn is_repeated_by(&self, other: &Self) -> bool {
        era_of(self.revision) < era_of(other.revision)
            && self.service == other.service
            && self.destination == other.destination
            && self.duration == other.duration
    }

    /// Returns whether `other`, as a table of a later era lists it, is older than this order.
    pub fn is_newer_than_listed(&self, other: &Self) -> bool {
        era_of(self.revision) < era_of(other.revision)
            && number_in_era(self.revision) > number_in_era(other.revision)
            && !self.is_repeated_by(other)
    }

    /// Returns the stage at `now`, where `moving_since` says when traffic started to move.
    pub fn stage(&self, moving_since: Option<StoreMillis>, now: StoreMillis) -> RolloutStage {
        let Some(moving_since) = moving_since else {
            return RolloutStage::Trying;
        };
        let step = self.share_ms(MOVE_DURATION).max(1) / (MOVE_STEPS.len() as u64 - 1);
        let passed = now.saturating_sub(moving_since) / step.max(1);
        RolloutStage::Moving(MOVE_STEPS[(passed as usize).min(MOVE_STEPS.len() - 1)])
    }

    /// Returns whether traffic may start to move, provided that the new version does well.
    pub fn may_start_moving(&self, now: StoreMillis) -> bool {
        self.elapsed_ms(now) >= self.share_ms(EARLIEST_MOVE)
    }

    /// Returns whether time is short, so that less evidence has to do for traffic to start to move.
    pub fn is_time_short(&self, now: StoreMillis) -> bool {
        self.elapsed_ms(now) >= self.share_ms(TIME_SHORT_AFTER)
    }

    /// Returns whether no time is left for traffic to move.
    pub fn is_too_late(&self, now: StoreMillis) -> bool {
        self.elapsed_ms(now) >= self.share_ms(TOO_LATE_AFTER)
    }

    /// Returns the interval in which `now` lies, if the duration is divided into `count` intervals.
    pub fn interval(&self, count: u8, now: StoreMillis) -> u8 {
        let length = (self.duration.as_millis() as u64 / u64::from(count)).max(1);
        (self.elapsed_ms(now) / length).min(u64::from(count) - 1) as u8
    }

    fn elapsed_ms(&self, now: StoreMillis) -> u64 {
        now.saturating_sub(self.started)
    }

    fn share_ms(&self, share: f64) -> u64 {
        self.duration.mul_f64(share).as_millis() as u64
    }
}
