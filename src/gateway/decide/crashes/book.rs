//! The book of requests that crash upstreams: what was seen, what follows from it.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use super::{
    Break, CrashNews, SuspectReport, VerdictReport,
    copies::Copies,
    evidence::{Evidence, Known, Suspect, ends_needed},
    news::Told,
    proven::Proven,
    quarantine::Quarantine,
};
use crate::{
    gateway::{
        model::{CustomerName, Lifetime, RequestDigest},
        peering::ProcessId,
    },
    time::UnixMillis,
};

/// Ends under a request from which it runs apart from other suspects, at the upstream
/// that has the least to lose. After one end, that of an ordinary crash, most requests
/// are innocent and are sent on like any other.
const ENDS_TO_ISOLATE: usize = 2;
/// Suspects with fewer ends are told by the process alone that saw the end: in a wave of
/// ordinary crashes these are hundreds, and each is known to one process.
const ENDS_TO_RELAY: usize = 2;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Like any other.
    Free,
    /// Where no other suspect runs, at the upstream that has the least to lose.
    Apart,
    /// Not while a copy of it runs: what becomes of that decides.
    AfterCopy,
    /// Not before then: others may still tell of the ends under it.
    Settles(Instant),
    /// Never: upstreams end under it.
    Never,
}

/// A change of what is known of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub digest: RequestDigest,
    /// Whose it is.
    pub customer: String,
    /// Ends of upstreams under it, as far as they are known here.
    pub ends: usize,
    /// Whether it is quarantined from now on, or released.
    pub quarantined: bool,
}

/// What this process knows of requests that crash upstreams.
#[derive(Debug, Default)]
pub struct CrashBook {
    evidence: Evidence,
    quarantine: Quarantine,
    proven: Proven,
    copies: Copies,
    told_suspects: Told<RequestDigest>,
    told_cleared: Told<RequestDigest>,
    /// Upstreams that were taken for ended and live: late reports of their ends are void.
    told_alive: Told<Lifetime>,
    told_verdicts: Told<RequestDigest>,
}

impl CrashBook {
    /// Returns whether a request may be sent to an upstream. Of a suspect one copy runs
    /// at a time in the whole fleet: twenty copies that run at once end twenty upstreams.
    ///
    /// `may_try` says whether this process may try what is quarantined: one of all does.
    pub fn permission(
        &self,
        digest: RequestDigest,
        may_try: bool,
        time: UnixMillis,
        now: Instant,
    ) -> Permission {
        let held = self.quarantine.contains(digest);
        if held && !(may_try && self.quarantine.is_trial_due(digest, time)) {
            return Permission::Never;
        }
        let suspect = self.evidence.get(digest);
        let Some(suspect) = suspect.filter(|_| !held) else {
            return match held {
                true if self.copies.is_running(digest) => Permission::AfterCopy,
                true => Permission::Apart,
                false => Permission::Free,
            };
        };
        let (ends, needed) = (suspect.ends.len(), self.needed(&suspect.customer, time));
        if self.copies.is_running(digest) {
            return Permission::AfterCopy;
        }
        if let Some(settled) = suspect.settles_at(needed).filter(|at| now < *at) {
            return Permission::Settles(settled);
        }
        // The verdict follows with the next look at the book.
        if self.is_culprit(digest, time, now) {
            return Permission::Never;
        }
        let isolated = ENDS_TO_ISOLATE.min(needed);
        if ends < isolated { Permission::Free } else { Permission::Apart }
    }

    /// Counts a copy that this process sends; returns whether the others must hear of it.
    pub fn begin(
        &mut self,
        digest: RequestDigest,
        lifetime: Lifetime,
        time: UnixMillis,
        now: Instant,
    ) -> bool {
        self.copies.begin(digest, lifetime);
        if let Some(VerdictReport(digest, _)) = self.quarantine.note_trial(digest, time) {
            self.told_verdicts.push(digest, now);
        }
        self.matters(digest)
    }

    /// Takes off a copy that is over; returns whether the others must hear of it.
    pub fn end(&mut self, digest: RequestDigest, lifetime: Lifetime) -> bool {
        self.copies.end(digest, lifetime);
        self.matters(digest)
    }

    /// Returns whether more than nothing is known of a request.
    fn matters(&self, digest: RequestDigest) -> bool {
        self.evidence.get(digest).is_some() || self.quarantine.contains(digest)
    }

    /// Returns where suspects run: all of them, or those alone that run apart.
    pub fn risked(&self, all: bool) -> Vec<Lifetime> {
        if self.evidence.is_empty() && self.quarantine.is_empty() {
            return Vec::new();
        }
        let least = if all { 1 } else { ENDS_TO_ISOLATE };
        let is_risk = |digest: RequestDigest| {
            self.quarantine.contains(digest) || self.suspect_ends(digest) >= least
        };
        let own = self.copies.own(is_risk).into_iter();
        let told = self.copies.told().copied().filter(|copy| is_risk(copy.0));
        own.chain(told).map(|copy| copy.1).collect()
    }

    fn suspect_ends(&self, digest: RequestDigest) -> usize {
        self.evidence.get(digest).map_or(0, |s| s.ends.len())
    }

    /// Notes the end of an upstream under a request.
    pub fn note_end(&mut self, broken: Break, now: Instant) {
        let Break { digest, customer, lifetime } = broken;
        let report = SuspectReport { digest, customer, ends: vec![lifetime] };
        if !self.proven.contains(digest, now) && self.evidence.add(&report, now) {
            self.told_suspects.push(digest, now);
        }
    }

    /// Notes that an upstream runs requests: it has not ended, whatever was seen.
    pub fn note_alive(&mut self, lifetime: Lifetime, now: Instant) {
        if !self.evidence.is_empty() && self.evidence.take_back(lifetime) {
            self.told_alive.push(lifetime, now);
        }
    }

    /// Quarantines requests that explain the ends under them, and releases those of which
    /// it shows that they were sent on beside another.
    pub fn conclude(&mut self, time: UnixMillis, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for digest in self.evidence.recent(now) {
            if self.quarantine.contains(digest) {
                if self.evidence.is_companion(digest) {
                    changes.extend(self.release(digest, time, now));
                }
            } else if self.is_culprit(digest, time, now) {
                changes.extend(self.hold(digest, time, now));
            }
        }
        changes
    }

    fn is_culprit(&self, digest: RequestDigest, time: UnixMillis, now: Instant) -> bool {
        let held = |other| self.quarantine.contains(other);
        let needed = |customer: &CustomerName| self.needed(customer, time);
        self.evidence.is_culprit(digest, &Known { held: &held, needed: &needed }, now)
    }

    /// Returns how many ends it takes to hold a request of a customer.
    fn needed(&self, customer: &CustomerName, time: UnixMillis) -> usize {
        ends_needed(self.quarantine.record(customer, time))
    }

    fn hold(&mut self, digest: RequestDigest, time: UnixMillis, now: Instant) -> Option<Change> {
        let customer = self.suspect(digest).customer;
        self.quarantine.hold(digest, &customer, time)?;
        self.told_verdicts.push(digest, now);
        Some(self.change(digest, customer))
    }

    fn suspect(&self, digest: RequestDigest) -> Suspect {
        self.evidence.get(digest).cloned().unwrap_or_default()
    }

    fn change(&self, digest: RequestDigest, customer: String) -> Change {
        let ends = self.suspect_ends(digest);
        Change { digest, customer, ends, quarantined: self.quarantine.contains(digest) }
    }

    /// Notes a request that ran to a good end: it crashes no upstream.
    pub fn completed(
        &mut self,
        digest: RequestDigest,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<Change> {
        self.proven.note(digest, now);
        let suspected = self.evidence.clear(digest);
        let released = self.release(digest, time, now);
        if suspected || !released.is_empty() {
            self.told_cleared.push(digest, now);
        }
        released
    }

    /// Releases a request, if it is quarantined, and forgets the ends under it.
    pub fn release(
        &mut self,
        digest: RequestDigest,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<Change> {
        let Some(VerdictReport(_, verdict)) = self.quarantine.release(digest, time) else {
            return Vec::new();
        };
        self.evidence.clear(digest);
        self.told_verdicts.push(digest, now);
        vec![self.change(digest, verdict.customer)]
    }

    /// Takes over what another process tells; `number` rises with its messages.
    pub fn hear(
        &mut self,
        process: &ProcessId,
        number: u64,
        news: CrashNews,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<Change> {
        self.copies.hear(process, number, news.copies, now);
        for digest in news.cleared {
            self.proven.note(digest, now);
            if self.evidence.clear(digest) {
                self.told_cleared.push(digest, now);
            }
        }
        for lifetime in news.alive {
            self.note_alive(lifetime, now);
        }
        let alive = self.told_alive.list(now);
        for mut report in news.suspects {
            report.ends.retain(|end| !alive.contains(end));
            if self.proven.contains(report.digest, now) {
                // The sender does not know: it may have started just now.
                self.told_cleared.push(report.digest, now);
                continue;
            }
            if report.ends.is_empty() {
                continue;
            }
            let is_new = self.evidence.add(&report, now);
            if is_new && self.suspect_ends(report.digest) >= ENDS_TO_RELAY {
                self.told_suspects.push(report.digest, now);
            }
        }
        self.merge(news.verdicts, time, now)
    }

    /// Releases requests that were quarantined just now and ran to a good end here of late:
    /// whoever held them has not seen that.
    fn release_proven(&mut self, held: &[Change], time: UnixMillis, now: Instant) -> Vec<Change> {
        let held = held.iter().filter(|change| change.quarantined).map(|change| change.digest);
        let proven: Vec<_> = held.filter(|digest| self.proven.contains(*digest, now)).collect();
        proven.into_iter().flat_map(|digest| self.release(digest, time, now)).collect()
    }

    /// Takes over verdicts of other processes, or of the platform's store, and releases
    /// again what ran to a good end here.
    pub fn merge(
        &mut self,
        verdicts: Vec<VerdictReport>,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for report in verdicts {
            let (digest, customer) = (report.0, report.1.customer.clone());
            let before = self.quarantine.contains(digest);
            if !self.quarantine.merge(report) {
                continue;
            }
            self.told_verdicts.push(digest, now);
            if self.quarantine.contains(digest) != before {
                if before {
                    self.evidence.clear(digest);
                }
                changes.push(self.change(digest, customer));
            }
        }
        changes.extend(self.release_proven(&changes, time, now));
        changes
    }

    /// Returns what the other processes are told; `None` if there is nothing.
    pub fn news(&mut self, now: Instant) -> Option<CrashNews> {
        let suspects = self.told_suspects.list(now);
        let suspects = self.with_culprits(suspects).into_iter().filter_map(|digest| {
            let Suspect { customer, ends, .. } = self.evidence.get(digest)?.clone();
            Some(SuspectReport { digest, customer, ends })
        });
        let suspects = suspects.collect();
        let told = self.told_verdicts.list(now);
        let news = CrashNews {
            suspects,
            cleared: self.told_cleared.list(now),
            alive: self.told_alive.list(now),
            verdicts: self.quarantine.all().filter(|v| told.contains(&v.0)).collect(),
            copies: self.copies.own(|digest| self.matters(digest)),
            mark: self.quarantine.mark(),
        };
        (news != CrashNews::default()).then_some(news)
    }

    /// Adds the requests that are held for ends under these: whoever hears of an end and
    /// not of its cause, since it has just started, would hold an innocent for it.
    fn with_culprits(&self, suspects: Vec<RequestDigest>) -> BTreeSet<RequestDigest> {
        if self.quarantine.is_empty() {
            return suspects.into_iter().collect();
        }
        let ends = suspects.iter().filter_map(|digest| self.evidence.get(*digest));
        let under = ends.flat_map(|s| &s.ends).flat_map(|end| self.evidence.under(*end));
        let culprits = under.map(|(digest, _)| digest).filter(|d| self.quarantine.contains(*d));
        culprits.chain(suspects.iter().copied()).collect()
    }

    /// Forgets copies of processes that have been silent for so long.
    pub fn forget(&mut self, silence: Duration, now: Instant) {
        self.copies.forget(silence, now);
    }

    /// Returns all verdicts.
    pub fn verdicts(&self) -> Vec<VerdictReport> {
        self.quarantine.all().collect()
    }

    /// Returns a number that is the same wherever the same verdicts are known; 0 for none.
    pub fn mark(&self) -> u64 {
        self.quarantine.mark()
    }

    /// Returns how many requests are quarantined.
    pub fn quarantined(&self) -> usize {
        self.quarantine.held()
    }

    /// Returns the ends of upstreams under a request, as far as they are known here.
    pub fn ends(&self, digest: RequestDigest) -> Vec<Lifetime> {
        self.suspect(digest).ends
    }
}
