//! What this process knows of requests that crash upstreams, and the verdicts that follow.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use super::{
    CrashGossip, InterruptedAttempt, PartChange, PartGossip, PartTracker, Permission,
    SuspectReport, VerdictReport,
    completions::Completions,
    copies::Copies,
    evidence::{Evidence, Suspect, VerdictContext, crashes_to_quarantine},
    gossip::Announcements,
    quarantine::Quarantine,
};
use crate::{
    gateway::{
        model::{CustomerName, Lifetime, PartKey, RequestDigest},
        peering::ProcessId,
    },
    time::UnixMillis,
};

/// Crashes from which a suspect is isolated: it is sent only to an upstream that runs no other
/// suspect and has the least work to lose. After one crash most of the requests that were running
/// are innocent, and are retried like any other.
const CRASHES_TO_ISOLATE: usize = 2;
/// Suspects with fewer crashes are announced only by the process that saw the crash: a wave of
/// ordinary crashes makes hundreds of them, each known to one process.
const CRASHES_TO_RELAY: usize = 2;

/// A request that was quarantined or released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Customer that sent the request; empty for an open route.
    pub customer: String,
    /// Number of upstreams that crashed under it, as far as this process knows.
    pub crashes: usize,
    /// True if the request is quarantined from now on, false if it was released.
    pub quarantined: bool,
}

/// What this process knows of requests that crash upstreams: its own observations and what other
/// gateways have reported.
#[derive(Debug, Default)]
pub struct CrashTracker {
    evidence: Evidence,
    quarantine: Quarantine,
    completions: Completions,
    copies: Copies,
    parts: PartTracker,
    announced_suspects: Announcements<RequestDigest>,
    announced_cleared: Announcements<RequestDigest>,
    /// Upstreams that were reported crashed and turned out to be alive: later reports of their
    /// crashes are ignored.
    announced_alive: Announcements<Lifetime>,
    announced_verdicts: Announcements<RequestDigest>,
}

impl CrashTracker {
    /// Returns whether a request may be sent to an upstream. Only one copy of a suspect runs at a
    /// time in the whole fleet: twenty copies that run at once would crash twenty upstreams.
    ///
    /// `may_try` says whether this process may try quarantined requests now; at most one process in
    /// the fleet may.
    pub fn permission(
        &self,
        digest: RequestDigest,
        may_try: bool,
        time: UnixMillis,
        now: Instant,
    ) -> Permission {
        let quarantined = self.quarantine.contains(digest);
        if quarantined && !(may_try && self.quarantine.is_trial_due(digest, time)) {
            return Permission::Never;
        }
        let suspect = self.evidence.get(digest);
        let Some(suspect) = suspect.filter(|_| !quarantined) else {
            return match quarantined {
                true if self.copies.is_running(digest) => Permission::AfterRunningCopy,
                true => Permission::Isolated,
                false => Permission::Unrestricted,
            };
        };
        let (crashes, needed) =
            (suspect.crashes.len(), self.crashes_needed(&suspect.customer, time));
        if self.copies.is_running(digest) {
            return Permission::AfterRunningCopy;
        }
        if let Some(settled) = suspect.settled_at(needed).filter(|at| now < *at) {
            return Permission::NotBefore(settled);
        }
        // The verdict itself is recorded by the next call of `judge_suspects`.
        if self.is_culprit(digest, time, now) {
            return Permission::Never;
        }
        let isolate_from = CRASHES_TO_ISOLATE.min(needed);
        if crashes < isolate_from { Permission::Unrestricted } else { Permission::Isolated }
    }

    /// Returns whether a request with these parts of prompts may be sent to an upstream.
    pub fn part_permission(
        &self,
        parts: &[PartKey],
        may_try: bool,
        time: UnixMillis,
        now: Instant,
    ) -> Permission {
        let is_one_request = |crashes: &[Lifetime]| self.evidence.is_one_request(crashes);
        self.parts.permission(parts, may_try, &is_one_request, time, now)
    }

    /// Returns whether a request is quarantined, by itself or for a part of its prompt.
    pub fn is_quarantined(&self, digest: RequestDigest, parts: &[PartKey]) -> bool {
        self.quarantine.contains(digest) || parts.iter().any(|part| self.parts.contains(*part))
    }

    /// Returns what is known of parts of prompts that crash upstreams.
    pub fn parts(&self) -> &PartTracker {
        &self.parts
    }

    /// Returns what is known of parts of prompts that crash upstreams, to be changed.
    pub fn parts_mut(&mut self) -> &mut PartTracker {
        &mut self.parts
    }

    /// Records that this process sends a copy of a request to an upstream. Returns whether the
    /// other gateways have to be told.
    pub fn copy_started(
        &mut self,
        digest: RequestDigest,
        lifetime: Lifetime,
        time: UnixMillis,
        now: Instant,
    ) -> bool {
        self.copies.begin(digest, lifetime);
        if let Some(VerdictReport(digest, _)) = self.quarantine.record_trial(digest, time) {
            self.announced_verdicts.push(digest, now);
        }
        self.is_tracked(digest)
    }

    /// Records that a copy of this process has ended. Returns whether the other gateways have to be
    /// told.
    pub fn copy_ended(&mut self, digest: RequestDigest, lifetime: Lifetime) -> bool {
        self.copies.end(digest, lifetime);
        self.is_tracked(digest)
    }

    /// Returns whether a request is a suspect or quarantined.
    fn is_tracked(&self, digest: RequestDigest) -> bool {
        self.evidence.get(digest).is_some() || self.quarantine.contains(digest)
    }

    /// Returns the upstreams on which quarantined requests or suspects are running: every suspect
    /// if `all`, otherwise only those with enough crashes to be isolated.
    pub fn upstreams_at_risk(&self, all: bool) -> Vec<Lifetime> {
        if self.evidence.is_empty() && self.quarantine.is_empty() {
            return Vec::new();
        }
        let min_crashes = if all { 1 } else { CRASHES_TO_ISOLATE };
        let is_risk = |digest: RequestDigest| {
            self.quarantine.contains(digest) || self.crash_count(digest) >= min_crashes
        };
        let local = self.copies.local(is_risk).into_iter();
        let remote = self.copies.remote().copied().filter(|copy| is_risk(copy.0));
        local.chain(remote).map(|copy| copy.1).collect()
    }

    fn crash_count(&self, digest: RequestDigest) -> usize {
        self.evidence.get(digest).map_or(0, |s| s.crashes.len())
    }

    /// Records that an upstream crashed while it ran a request.
    pub fn record_crash(&mut self, attempt: InterruptedAttempt, now: Instant) {
        let InterruptedAttempt { digest, parts, customer, lifetime } = attempt;
        self.parts.record_crash(&parts, &customer, lifetime, now);
        let report = SuspectReport { digest, customer, crashes: vec![lifetime] };
        if !self.completions.contains(digest, now) && self.evidence.add(&report, now) {
            self.announced_suspects.push(digest, now);
        }
    }

    /// Records that an upstream is running requests, and retracts any crash of it that was
    /// recorded.
    pub fn retract_crashes(&mut self, lifetime: Lifetime, now: Instant) {
        self.parts.retract_crashes(lifetime);
        if !self.evidence.is_empty() && self.evidence.retract(lifetime) {
            self.announced_alive.push(lifetime, now);
        }
    }

    /// Quarantines requests that explain the crashes under them, and releases quarantined ones that
    /// turn out to be bystanders of another suspect. Returns what has changed.
    pub fn judge_suspects(&mut self, time: UnixMillis, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for digest in self.evidence.recent(now) {
            if self.quarantine.contains(digest) {
                if self.evidence.is_bystander(digest) || self.is_explained_by_parts(digest) {
                    changes.extend(self.release(digest, time, now));
                }
            } else if self.is_culprit(digest, time, now) {
                changes.extend(self.quarantine_suspect(digest, time, now));
            }
        }
        changes
    }

    /// Quarantines parts of prompts that explain the crashes under them, and returns what has
    /// changed. Requests are judged after it: a crash that a part explains speaks against none.
    pub fn judge_parts(&mut self, time: UnixMillis, now: Instant) -> Vec<PartChange> {
        let evidence = &self.evidence;
        self.parts.judge(&|crashes| evidence.is_one_request(crashes), time, now)
    }

    /// Returns whether all crashes under a request were under quarantined parts. The request then
    /// counts neither by itself nor against its customer.
    fn is_explained_by_parts(&self, digest: RequestDigest) -> bool {
        let crashes = self.crashes_under(digest);
        !crashes.is_empty() && crashes.iter().all(|crash| self.parts.is_explained(*crash))
    }

    fn is_culprit(&self, digest: RequestDigest, time: UnixMillis, now: Instant) -> bool {
        let is_quarantined = |other| self.quarantine.contains(other);
        let crashes_needed = |customer: &CustomerName| self.crashes_needed(customer, time);
        self.evidence.is_culprit(
            digest,
            &VerdictContext {
                is_quarantined: &is_quarantined,
                crashes_needed: &crashes_needed,
                is_explained_by_part: &|crash, own| self.parts.explains(crash, own, now),
            },
            now,
        )
    }

    /// Returns the number of crashes from which a customer's request is quarantined.
    fn crashes_needed(&self, customer: &CustomerName, time: UnixMillis) -> usize {
        crashes_to_quarantine(self.quarantine.recent_verdicts(customer, time))
    }

    fn quarantine_suspect(
        &mut self,
        digest: RequestDigest,
        time: UnixMillis,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let customer = self.suspect(digest).customer;
        self.quarantine.add(digest, &customer, time)?;
        self.announced_verdicts.push(digest, now);
        Some(self.change(digest, customer))
    }

    fn suspect(&self, digest: RequestDigest) -> Suspect {
        self.evidence.get(digest).cloned().unwrap_or_default()
    }

    fn change(&self, digest: RequestDigest, customer: String) -> QuarantineChange {
        let count = self.crash_count(digest);
        QuarantineChange {
            digest,
            customer,
            crashes: count,
            quarantined: self.quarantine.contains(digest),
        }
    }

    /// Records that a request ran to completion, so that it crashes no upstream. Clears it as a
    /// suspect, releases it, and returns what has changed.
    pub fn completed(
        &mut self,
        digest: RequestDigest,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        self.completions.record(digest, now);
        let suspected = self.evidence.clear(digest);
        let released = self.release(digest, time, now);
        if suspected || !released.is_empty() {
            self.announced_cleared.push(digest, now);
        }
        released
    }

    /// Releases a request, if it is quarantined, and forgets the crashes under it.
    pub fn release(
        &mut self,
        digest: RequestDigest,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let Some(VerdictReport(_, verdict)) = self.quarantine.release(digest, time) else {
            return Vec::new();
        };
        self.evidence.clear(digest);
        self.announced_verdicts.push(digest, now);
        vec![self.change(digest, verdict.customer)]
    }

    /// Merges what another process reports and returns what has changed. `number` rises with each
    /// message of that process.
    pub fn merge_gossip(
        &mut self,
        process: &ProcessId,
        number: u64,
        gossip: CrashGossip,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        self.copies.replace_remote(process, number, gossip.copies, now);
        for digest in gossip.cleared {
            self.completions.record(digest, now);
            if self.evidence.clear(digest) {
                self.announced_cleared.push(digest, now);
            }
        }
        for lifetime in gossip.alive {
            self.retract_crashes(lifetime, now);
        }
        let alive = self.announced_alive.list(now);
        for mut report in gossip.suspects {
            report.crashes.retain(|crash| !alive.contains(crash));
            if self.completions.contains(report.digest, now) {
                // The sender does not know of the completion; it may have just started.
                self.announced_cleared.push(report.digest, now);
                continue;
            }
            if report.crashes.is_empty() {
                continue;
            }
            let is_new = self.evidence.add(&report, now);
            if is_new && self.crash_count(report.digest) >= CRASHES_TO_RELAY {
                self.announced_suspects.push(report.digest, now);
            }
        }
        self.merge(gossip.verdicts, time, now)
    }

    /// Releases requests that were just quarantined although they recently ran to completion here,
    /// which the process that quarantined them has not seen.
    fn release_completed(
        &mut self,
        changes: &[QuarantineChange],
        time: UnixMillis,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let quarantined =
            changes.iter().filter(|change| change.quarantined).map(|change| change.digest);
        let completed: Vec<_> =
            quarantined.filter(|digest| self.completions.contains(*digest, now)).collect();
        completed.into_iter().flat_map(|digest| self.release(digest, time, now)).collect()
    }

    /// Merges verdicts of other processes or of the platform's store, releases those requests that
    /// recently ran to completion here, and returns what has changed.
    pub fn merge(
        &mut self,
        verdicts: Vec<VerdictReport>,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for report in verdicts {
            let (digest, customer) = (report.0, report.1.customer.clone());
            let before = self.quarantine.contains(digest);
            if !self.quarantine.merge(report) {
                continue;
            }
            self.announced_verdicts.push(digest, now);
            if self.quarantine.contains(digest) != before {
                if before {
                    self.evidence.clear(digest);
                }
                changes.push(self.change(digest, customer));
            }
        }
        changes.extend(self.release_completed(&changes, time, now));
        changes
    }

    /// Returns what to tell the other gateways; `None` if there is nothing.
    pub fn gossip(&mut self, now: Instant) -> Option<CrashGossip> {
        let suspects = self.announced_suspects.list(now);
        let suspects = self.with_culprits(suspects).into_iter().filter_map(|digest| {
            let Suspect { customer, crashes, .. } = self.evidence.get(digest)?.clone();
            Some(SuspectReport { digest, customer, crashes })
        });
        let suspects = suspects.collect();
        let announced = self.announced_verdicts.list(now);
        let gossip = CrashGossip {
            suspects,
            cleared: self.announced_cleared.list(now),
            alive: self.announced_alive.list(now),
            verdicts: self.quarantine.all().filter(|v| announced.contains(&v.0)).collect(),
            copies: self.copies.local(|digest| self.is_tracked(digest)),
            fingerprint: self.quarantine.fingerprint(),
        };
        (gossip != CrashGossip::default()).then_some(gossip)
    }

    /// Adds the quarantined requests that were running at the same crashes. A gateway that has just
    /// started and hears of a crash without its culprit would otherwise quarantine an innocent
    /// request for it.
    fn with_culprits(&self, suspects: Vec<RequestDigest>) -> BTreeSet<RequestDigest> {
        if self.quarantine.is_empty() {
            return suspects.into_iter().collect();
        }
        let evidence = suspects.iter().filter_map(|digest| self.evidence.get(*digest));
        let running =
            evidence.flat_map(|s| &s.crashes).flat_map(|crash| self.evidence.suspects_at(*crash));
        let culprits = running.map(|(digest, _)| digest).filter(|d| self.quarantine.contains(*d));
        culprits.chain(suspects.iter().copied()).collect()
    }

    /// Drops the reported copies of processes that have been silent for at least `silence`.
    pub fn expire_copies(&mut self, silence: Duration, now: Instant) {
        self.copies.expire_remote(silence, now);
        self.parts.expire_copies(silence, now);
    }

    /// Merges what another process reports of parts of prompts and returns what has changed.
    /// `number` rises with each message of that process.
    pub fn merge_part_gossip(
        &mut self,
        process: &ProcessId,
        number: u64,
        gossip: PartGossip,
        now: Instant,
    ) -> Vec<PartChange> {
        let alive = self.announced_alive.list(now);
        self.parts.merge_gossip(process, number, gossip, &alive, now)
    }

    /// Returns all verdicts, those on released requests included.
    pub fn verdicts(&self) -> Vec<VerdictReport> {
        self.quarantine.all().collect()
    }

    /// Returns a fingerprint that is equal wherever the same verdicts are known; 0 if there are
    /// none.
    pub fn fingerprint(&self) -> u64 {
        self.quarantine.fingerprint()
    }

    /// Returns how many requests are quarantined.
    pub fn quarantined(&self) -> usize {
        self.quarantine.count()
    }

    /// Returns the upstreams that crashed under a request, as far as this process knows.
    pub fn crashes_under(&self, digest: RequestDigest) -> Vec<Lifetime> {
        self.suspect(digest).crashes
    }
}
