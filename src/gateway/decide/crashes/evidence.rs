//! Which requests were running at which crashes of upstreams.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::gateway::model::{CustomerName, Lifetime, RequestDigest};

/// Crashes under a request from which it can be quarantined. One may be an ordinary crash, and an
/// innocent request that is retried during a wave of crashes may see two.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Recent verdicts against a customer that lower the number of crashes for its next suspect by
/// one. A customer that keeps sending new crashing requests would otherwise cost three upstreams
/// with each. In return an innocent request of that customer that sees an ordinary crash may be
/// refused rather than retried.
const VERDICTS_TO_LOWER_THRESHOLD: usize = 2;
/// Crashes among them that no other request explains as well. With fewer, a request that was
/// retried on the culprit's upstream would be quarantined with it; with three, a second culprit
/// that runs beside the first would have to crash three upstreams alone.
const MIN_UNEXPLAINED_CRASHES: usize = 2;
/// Time after a crash within which all processes that saw it have reported it: at once, and twice
/// more with the next heartbeats. Each process sees only some of the requests that were running;
/// one that judged by its own alone would quarantine an innocent request that ran beside a culprit
/// sent by another.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Time after its newest crash for which a suspect is judged: longer than the crash is announced.
/// Nothing new is learnt of it later.
pub(super) const JUDGING_PERIOD: Duration = Duration::from_secs(6);
/// Crashes kept for each suspect. Every copy of a culprit that is in flight when the first upstream
/// crashes may crash another; a crash that was dropped would be unexplained for the innocent
/// requests that were running there.
const MAX_CRASHES_PER_SUSPECT: usize = 64;
/// Suspects kept for each customer, some tens of kilobytes. A customer that keeps sending new
/// crashing requests evicts only its own.
const MAX_SUSPECTS_PER_CUSTOMER: usize = 256;

/// What one process reports of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Customer that sent the request; empty for an open route.
    pub customer: CustomerName,
    /// Upstreams, by lifetime, that crashed while they ran it.
    pub crashes: Vec<Lifetime>,
}

/// A request under which upstreams have crashed.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Customer that sent the request; empty for an open route.
    pub customer: CustomerName,
    /// Upstreams, by lifetime, that crashed under it; each once, however many processes reported
    /// it.
    pub crashes: Vec<Lifetime>,
    /// When each of them was recorded here, in ascending order.
    recorded_at: Vec<Instant>,
    /// Position among all suspects by when they were added.
    sequence: u64,
}

impl Suspect {
    /// Returns when the first `crashes` crashes have settled, that is when all processes that saw
    /// them have had time to report them. Later crashes do not extend the wait: a caller that
    /// retries at once would otherwise crash one upstream after the other before any verdict.
    pub fn settled_at(&self, crashes: usize) -> Option<Instant> {
        self.recorded_at.get(crashes.checked_sub(1)?).map(|at| *at + SETTLE_TIME)
    }

    /// Returns how many crashes have settled.
    fn settled_crashes(&self, now: Instant) -> usize {
        self.recorded_at.iter().filter(|at| now >= **at + SETTLE_TIME).count()
    }

    fn is_recent(&self, now: Instant) -> bool {
        let newest = self.recorded_at.last();
        newest.is_some_and(|at| now.saturating_duration_since(*at) < JUDGING_PERIOD)
    }

    fn add(&mut self, crash: Lifetime, now: Instant) -> bool {
        let is_new = !self.crashes.contains(&crash) && self.crashes.len() < MAX_CRASHES_PER_SUSPECT;
        if is_new {
            self.crashes.push(crash);
            self.recorded_at.push(now);
        }
        is_new
    }

    /// Removes a crash; returns whether it was recorded.
    fn retract(&mut self, crash: Lifetime) -> bool {
        let Some(i) = self.crashes.iter().position(|e| *e == crash) else {
            return false;
        };
        self.crashes.remove(i);
        self.recorded_at.remove(i);
        true
    }
}

/// Returns the number of crashes from which a customer's request is quarantined, given its number
/// of recent verdicts.
pub(super) fn crashes_to_quarantine(recent_verdicts: usize) -> usize {
    CRASHES_TO_QUARANTINE.saturating_sub(recent_verdicts / VERDICTS_TO_LOWER_THRESHOLD).max(1)
}

/// What else a request is judged by.
pub(super) struct VerdictContext<'a> {
    /// Whether a request is quarantined.
    pub is_quarantined: &'a dyn Fn(RequestDigest) -> bool,
    /// Number of crashes from which a customer's request is quarantined.
    pub crashes_needed: &'a dyn Fn(&CustomerName) -> usize,
    /// Whether a part of prompts explains a crash better than a request that was running at this
    /// number of crashes.
    pub is_explained_by_part: &'a dyn Fn(Lifetime, usize) -> bool,
}

/// Suspects with the crashes under them.
#[derive(Debug, Default)]
pub struct Evidence {
    suspects: BTreeMap<RequestDigest, Suspect>,
    suspects_added: u64,
}

impl Evidence {
    pub fn get(&self, digest: RequestDigest) -> Option<&Suspect> {
        self.suspects.get(&digest)
    }

    /// Adds crashes under a request; returns whether any of them was new.
    pub fn add(&mut self, report: &SuspectReport, now: Instant) -> bool {
        if !self.suspects.contains_key(&report.digest) {
            self.make_room(&report.customer);
            self.suspects_added += 1;
        }
        let suspect = self.suspects.entry(report.digest).or_insert_with(|| Suspect {
            customer: report.customer.clone(),
            sequence: self.suspects_added,
            ..Suspect::default()
        });
        let new = report.crashes.iter().filter(|crash| suspect.add(**crash, now));
        new.count() > 0
    }

    /// Retracts the crash of an upstream that is alive: a network cut that refuses connections
    /// looks like a crash. Returns whether a crash was recorded.
    pub fn retract(&mut self, crash: Lifetime) -> bool {
        let mut known = false;
        self.suspects.retain(|_, suspect| {
            known |= suspect.retract(crash);
            !suspect.crashes.is_empty()
        });
        known
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Removes a request; returns whether it was a suspect.
    pub fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Returns the suspects under which an upstream crashed recently.
    pub fn recent(&self, now: Instant) -> Vec<RequestDigest> {
        let recent = self.suspects.iter().filter(|(_, s)| s.is_recent(now));
        recent.map(|(digest, _)| *digest).collect()
    }

    /// Returns whether another request was running at all crashes under this one and at more. This
    /// one is then a bystander, retried each time on the upstream of the other.
    pub fn is_bystander(&self, digest: RequestDigest) -> bool {
        let Some(suspect) = self.suspects.get(&digest) else {
            return false;
        };
        let own = &suspect.crashes;
        let covers =
            |s: &Suspect| s.crashes.len() > own.len() && own.iter().all(|e| s.crashes.contains(e));
        self.suspects.values().any(covers)
    }

    /// Returns whether a single request was running at all these crashes.
    pub fn is_one_request(&self, crashes: &[Lifetime]) -> bool {
        self.suspects.values().any(|s| crashes.iter().all(|c| s.crashes.contains(c)))
    }

    /// Returns the suspects that were running at a crash.
    pub fn suspects_at(&self, crash: Lifetime) -> impl Iterator<Item = (RequestDigest, &Suspect)> {
        let was_running = move |(_, s): &(&RequestDigest, &Suspect)| s.crashes.contains(&crash);
        self.suspects.iter().filter(was_running).map(|(digest, suspect)| (*digest, suspect))
    }

    /// Returns whether a request explains the crashes under it better than any other that was
    /// running there, as far as these crashes have settled.
    pub fn is_culprit(&self, digest: RequestDigest, cx: &VerdictContext<'_>, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get(&digest) else {
            return false;
        };
        let (own, needed) = (suspect.crashes.len(), (cx.crashes_needed)(&suspect.customer));
        if suspect.settled_crashes(now) < needed {
            return false;
        }
        let explains = |(other, s): (RequestDigest, &Suspect)| {
            let as_likely = s.crashes.len() >= own && (cx.crashes_needed)(&s.customer) <= needed;
            other != digest && (as_likely || (cx.is_quarantined)(other))
        };
        let is_explained = |crash: Lifetime| {
            self.suspects_at(crash).any(explains) || (cx.is_explained_by_part)(crash, own)
        };
        let unexplained = suspect.crashes.iter().filter(|crash| !is_explained(**crash));
        unexplained.count() >= MIN_UNEXPLAINED_CRASHES.min(needed)
    }

    /// If a customer has too many suspects, drops the one with the fewest crashes, the oldest of
    /// these.
    fn make_room(&mut self, customer: &CustomerName) {
        let own = || self.suspects.iter().filter(|(_, s)| s.customer == *customer);
        if own().count() < MAX_SUSPECTS_PER_CUSTOMER {
            return;
        }
        let least_suspected =
            own().min_by_key(|(_, s)| (s.crashes.len(), s.sequence)).map(|(digest, _)| *digest);
        if let Some(digest) = least_suspected {
            self.suspects.remove(&digest);
        }
    }
}
