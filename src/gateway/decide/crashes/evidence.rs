//! At which ends of upstreams each request was running.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::gateway::model::{CustomerName, Lifetime, RequestDigest};

/// Ends under a request from which it can be held for the cause. One end is an
/// ordinary crash; two come together when a request is sent on in a wave of crashes.
const ENDS_OF_CULPRIT: usize = 3;
/// Verdicts of late for which a customer's next suspect is held one end sooner. Who sends
/// ever new requests that crash upstreams would otherwise take three with each. An
/// innocent request of the same customer that stands at an ordinary crash may then be
/// refused in place of tried again.
const VERDICTS_FOR_ONE_END: usize = 2;
/// Ends among them that no other request explains as well. With fewer, a request that
/// was sent on beside the culprit would be refused with it; with three, a second
/// culprit that runs beside the first would have to end three upstreams by itself.
const UNEXPLAINED_ENDS: usize = 2;
/// Time after an end until all processes that saw it have told of it: at once, and twice
/// more with the next heartbeats. Each process sees but some of
/// the requests under an end, so that one which concludes from what it saw alone holds
/// an innocent that was sent on beside the culprit of another.
const SETTLES_IN: Duration = Duration::from_millis(400);
/// For how long after its newest end a request is looked at: longer than the news of
/// the same ends are told. Later nothing new is known of it.
const LOOKED_AT_FOR: Duration = Duration::from_secs(6);
/// Ends that are kept for each request. As many copies of a culprit as are under way when
/// its first upstream ends may each end one more; an end that was dropped would be
/// unexplained for the innocents there.
const MOST_ENDS: usize = 64;
/// Suspects that are kept for each customer, some tens of kilobytes. One who sends
/// ever new requests that crash upstreams pushes out nobody else's.
const MOST_OF_CUSTOMER: usize = 256;

/// What one process tells of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub digest: RequestDigest,
    /// Whose it is; empty for an open route.
    pub customer: CustomerName,
    /// Lifetimes of upstreams that ended while they ran it.
    pub ends: Vec<Lifetime>,
}

/// A request under which upstreams have ended.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Whose it is.
    pub customer: CustomerName,
    /// Lifetimes that ended, each once however many processes saw it.
    pub ends: Vec<Lifetime>,
    /// When each of them was noted here, the oldest first.
    noted: Vec<Instant>,
    /// Number of its first end among all that were noted.
    order: u64,
}

impl Suspect {
    /// Returns when so many ends will have settled: all processes that saw them will have
    /// had the time to tell of them. Later ends do not put that off: a caller that comes
    /// again at once would otherwise end an upstream each time, before any verdict.
    pub fn settles_at(&self, ends: usize) -> Option<Instant> {
        self.noted.get(ends.checked_sub(1)?).map(|at| *at + SETTLES_IN)
    }

    /// Returns how many ends have settled.
    fn settled_ends(&self, now: Instant) -> usize {
        self.noted.iter().filter(|at| now >= **at + SETTLES_IN).count()
    }

    fn is_recent(&self, now: Instant) -> bool {
        let newest = self.noted.last();
        newest.is_some_and(|at| now.saturating_duration_since(*at) < LOOKED_AT_FOR)
    }

    fn add(&mut self, end: Lifetime, now: Instant) -> bool {
        let is_new = !self.ends.contains(&end) && self.ends.len() < MOST_ENDS;
        if is_new {
            self.ends.push(end);
            self.noted.push(now);
        }
        is_new
    }

    /// Takes an end back; returns whether it was there.
    fn take_back(&mut self, end: Lifetime) -> bool {
        let Some(i) = self.ends.iter().position(|e| *e == end) else {
            return false;
        };
        self.ends.remove(i);
        self.noted.remove(i);
        true
    }
}

/// Returns how many ends it takes to hold a request of a customer that had so many
/// verdicts of late.
pub(super) fn ends_needed(record: usize) -> usize {
    ENDS_OF_CULPRIT.saturating_sub(record / VERDICTS_FOR_ONE_END).max(1)
}

/// What else is known when a request is judged.
pub(super) struct Known<'a> {
    /// Requests that are quarantined.
    pub held: &'a dyn Fn(RequestDigest) -> bool,
    /// Ends that it takes to hold a request of a customer.
    pub needed: &'a dyn Fn(&CustomerName) -> usize,
}

/// Ends of upstreams by the requests that they ran.
#[derive(Debug, Default)]
pub struct Evidence {
    suspects: BTreeMap<RequestDigest, Suspect>,
    noted: u64,
}

impl Evidence {
    /// Returns a suspect.
    pub fn get(&self, digest: RequestDigest) -> Option<&Suspect> {
        self.suspects.get(&digest)
    }

    /// Adds ends under a request; returns whether any of them was new.
    pub fn add(&mut self, report: &SuspectReport, now: Instant) -> bool {
        if !self.suspects.contains_key(&report.digest) {
            self.make_room(&report.customer);
            self.noted += 1;
        }
        let suspect = self.suspects.entry(report.digest).or_insert_with(|| Suspect {
            customer: report.customer.clone(),
            order: self.noted,
            ..Suspect::default()
        });
        let new = report.ends.iter().filter(|end| suspect.add(**end, now));
        new.count() > 0
    }

    /// Takes back the end of an upstream that lives: a cut that refuses connections looks
    /// like one. Returns whether it was taken for ended.
    pub fn take_back(&mut self, end: Lifetime) -> bool {
        let mut known = false;
        self.suspects.retain(|_, suspect| {
            known |= suspect.take_back(end);
            !suspect.ends.is_empty()
        });
        known
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets a request; returns whether it was a suspect.
    pub fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Returns the requests under which an upstream ended of late.
    pub fn recent(&self, now: Instant) -> Vec<RequestDigest> {
        let recent = self.suspects.iter().filter(|(_, s)| s.is_recent(now));
        recent.map(|(digest, _)| *digest).collect()
    }

    /// Returns whether some other request stands at all ends of this one and at more: this
    /// one was sent on beside it, each time.
    pub fn is_companion(&self, digest: RequestDigest) -> bool {
        let Some(suspect) = self.suspects.get(&digest) else {
            return false;
        };
        let own = &suspect.ends;
        let covers =
            |s: &Suspect| s.ends.len() > own.len() && own.iter().all(|e| s.ends.contains(e));
        self.suspects.values().any(covers)
    }

    /// Returns the requests that were running at an end.
    pub fn under(&self, end: Lifetime) -> impl Iterator<Item = (RequestDigest, &Suspect)> {
        let at_end = move |(_, s): &(&RequestDigest, &Suspect)| s.ends.contains(&end);
        self.suspects.iter().filter(at_end).map(|(digest, suspect)| (*digest, suspect))
    }

    /// Returns whether a request explains the ends under it better than any other that
    /// was running there, as far as these ends have settled.
    pub fn is_culprit(&self, digest: RequestDigest, known: &Known<'_>, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get(&digest) else {
            return false;
        };
        let (own, needed) = (suspect.ends.len(), (known.needed)(&suspect.customer));
        if suspect.settled_ends(now) < needed {
            return false;
        }
        let explains = |(other, s): (RequestDigest, &Suspect)| {
            let as_suspect = s.ends.len() >= own && (known.needed)(&s.customer) <= needed;
            other != digest && (as_suspect || (known.held)(other))
        };
        let unexplained = suspect.ends.iter().filter(|end| !self.under(**end).any(explains));
        unexplained.count() >= UNEXPLAINED_ENDS.min(needed)
    }

    /// Drops a customer's least suspect request, the oldest of them, if it has too many.
    fn make_room(&mut self, customer: &CustomerName) {
        let own = || self.suspects.iter().filter(|(_, s)| s.customer == *customer);
        if own().count() < MOST_OF_CUSTOMER {
            return;
        }
        let least = own().min_by_key(|(_, s)| (s.ends.len(), s.order)).map(|(digest, _)| *digest);
        if let Some(digest) = least {
            self.suspects.remove(&digest);
        }
    }
}
