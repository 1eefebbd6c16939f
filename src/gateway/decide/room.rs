//! Room of brittle upstreams, which fall over if they have to reject too many requests.
//!
//! One gateway, the same for all, grants the room of each such upstream, so that no two requests
//! are sent for the same slot whatever the number of gateways. It counts what it has granted and was
//! not given back, and what the others report to run there.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::gateway::model::Lifetime;

/// Time after which a grant that was not given back expires: its message was lost, or its gateway
/// is gone. Shorter than the longest requests, so that room is granted twice only if both happen.
const GRANT_LIFETIME: Duration = Duration::from_secs(12);
/// Share of the slots that is granted. New connections and health checks take up the rest.
const GRANTED_SHARE: f64 = 0.85;
/// How long nothing is granted after a rejection.
const REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// How long no more is granted than found room before a rejection: other work fills the upstream.
const REDUCTION_TIME: Duration = Duration::from_secs(5);
/// How long the requests that the others report count as well, after this gateway took over from
/// another one. Reports are late, so that later on they would count requests that have ended.
const HANDOVER_TIME: Duration = Duration::from_secs(2);
/// Time after which a gateway asks again that was denied for want of room.
const DENIAL: Duration = Duration::from_millis(100);

/// Identifies a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantId {
    /// Gateway that was granted room; `None` stands for this one.
    pub grantee: Option<SocketAddr>,
    /// Number of the question, unique for the gateway that asked.
    pub number: u64,
}

/// Grants of one upstream's room.
#[derive(Clone, Debug)]
struct Grants {
    /// When this gateway began to grant it.
    since: Instant,
    /// Outstanding grants with their expiry, oldest first.
    outstanding: Vec<(GrantId, Instant)>,
    /// Most requests that are granted room, and until when; `None` if nothing was rejected lately.
    reduced: Option<(usize, Instant)>,
    paused_until: Option<Instant>,
}

/// Room that this gateway grants.
#[derive(Clone, Debug, Default)]
pub struct RoomGrants {
    upstreams: HashMap<Lifetime, Grants>,
}

impl RoomGrants {
    /// Grants room for one request at an upstream with `slots` slots, at which all gateways report
    /// to run `reported` requests.
    ///
    /// # Errors
    ///
    /// Fails with the time after which to ask again, if there is no room.
    pub fn grant(
        &mut self,
        upstream: Lifetime,
        id: GrantId,
        slots: u32,
        reported: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let grants = self.upstreams.entry(upstream).or_insert_with(|| Grants::new(now));
        grants.outstanding.retain(|(_, expiry)| *expiry > now);
        if let Some(wait) = grants.paused_until.and_then(|at| at.checked_duration_since(now))
            && !wait.is_zero()
        {
            return Err(wait);
        }
        // Some may be counted twice, which leaves room unused for a moment.
        let reported = if grants.is_taking_over(now) { reported as usize } else { 0 };
        let taken = grants.outstanding.len() + reported;
        if taken >= grants.room(slots, now) {
            return Err(DENIAL);
        }
        grants.outstanding.push((id, now + GRANT_LIFETIME));
        Ok(())
    }

    /// Takes a grant back, if it was given. If the upstream rejected its request, nothing is granted
    /// for a while, and less after that.
    pub fn give_back(&mut self, upstream: Lifetime, id: GrantId, rejected: bool, now: Instant) {
        let Some(grants) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        grants.outstanding.retain(|(of, _)| *of != id);
        if rejected {
            let fits = grants.outstanding.len().max(1);
            grants.reduced = Some((fits, now + REDUCTION_TIME));
            grants.paused_until = Some(now + REJECTION_PAUSE);
        }
    }

    /// Removes upstreams whose room this gateway no longer grants.
    pub fn retain(&mut self, grants: impl Fn(Lifetime) -> bool) {
        self.upstreams.retain(|upstream, _| grants(*upstream));
    }
}

impl Grants {
    fn new(now: Instant) -> Self {
        Self { since: now, outstanding: Vec::new(), reduced: None, paused_until: None }
    }

    fn is_taking_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < HANDOVER_TIME
    }

    fn room(&self, slots: u32, now: Instant) -> usize {
        let granted = ((f64::from(slots) * GRANTED_SHARE) as usize).max(1);
        match self.reduced {
            Some((most, until)) if now < until => most.min(granted),
            Some(_) | None => granted,
        }
    }
}
