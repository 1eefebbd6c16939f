//! What this process knows of parts of prompts that crash upstreams, and the verdicts that follow.

use std::time::{Duration, Instant};

use super::{
    PartGossip, PartReport, Permission, VerdictReport,
    copies::Copies,
    gossip::Announcements,
    part_answers::PartAnswers,
    part_evidence::{PartEvidence, PartSuspect},
    quarantine::Quarantine,
};
use crate::{
    gateway::{
        model::{CustomerName, Lifetime, PartKey},
        peering::ProcessId,
    },
    time::UnixMillis,
};

/// Crashes from which a part that was not answered lately is isolated: one request with it runs at a
/// time, at an upstream that runs no other suspect. With more, each of the requests with a crashing
/// part that are sent until its next crash is known ends another upstream.
const CRASHES_TO_ISOLATE: usize = 1;
/// Crashes from which a gateway passes on at once what others reported. With fewer, each ordinary
/// crash would make all gateways send.
const CRASHES_TO_RELAY: usize = 2;

/// Time for which the trial of a part waits for a request whose other parts are not suspects. With
/// less, a crash of another cause would put off the release of a sound part by an hour; with more,
/// two parts that always come together are refused longer.
const CONCLUSIVE_TRIAL_WAIT: Duration = Duration::from_secs(60);

/// Time for which an upstream has to write an answer to show that the answer's parts do not crash
/// it: those that do crash it when it begins. If it were shorter, a crash that closes connections
/// late would not be attributed to its cause.
pub const PROVEN_WRITING: Duration = Duration::from_millis(500);

/// A part of prompts that was quarantined or released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartChange {
    /// Key of the part.
    pub part: PartKey,
    /// Customer that first sent it; empty for an open route.
    pub customer: CustomerName,
    /// Number of upstreams that crashed under it, as far as this process knows.
    pub crashes: usize,
    /// True if the part is quarantined from now on, false if it was released.
    pub quarantined: bool,
}

/// What this process knows of parts of prompts that crash upstreams: its own observations and what
/// other gateways have reported.
#[derive(Debug, Default)]
pub struct PartTracker {
    evidence: PartEvidence,
    quarantine: Quarantine<PartKey>,
    answers: PartAnswers,
    copies: Copies<PartKey>,
    announced_suspects: Announcements<PartKey>,
    announced_cleared: Announcements<PartKey>,
    announced_answered: Announcements<PartKey>,
    announced_verdicts: Announcements<PartKey>,
    /// Whether another process reported crashes from which a part is isolated, which those that it
    /// did not reach should know at once.
    to_relay: bool,
}

impl PartTracker {
    /// Returns whether a request with these parts may be sent to an upstream.
    pub(super) fn permission(
        &self,
        parts: &[PartKey],
        may_try: bool,
        is_one_request: &dyn Fn(&[Lifetime]) -> bool,
        time: UnixMillis,
        now: Instant,
    ) -> Permission {
        if self.evidence.is_empty() && self.quarantine.is_empty() {
            return Permission::Unrestricted;
        }
        let of_part = |part: &PartKey| match self.quarantine.contains(*part) {
            true => self.trial_permission(*part, parts, may_try, time, now),
            false => self.suspect_permission(*part, is_one_request, now),
        };
        parts.iter().map(of_part).max().unwrap_or(Permission::Unrestricted)
    }

    /// Returns whether a request with these parts may be sent to try a quarantined one of them.
    fn trial_permission(
        &self,
        part: PartKey,
        parts: &[PartKey],
        may_try: bool,
        time: UnixMillis,
        now: Instant,
    ) -> Permission {
        let may_explain = |other: &PartKey| {
            *other != part && (self.quarantine.contains(*other) || self.is_suspected(*other, now))
        };
        let wait = match parts.iter().any(may_explain) {
            true => CONCLUSIVE_TRIAL_WAIT,
            false => Duration::ZERO,
        };
        let due_before = time.saturating_sub(wait.as_millis() as u64);
        match may_try && self.quarantine.is_trial_due(part, due_before) {
            false => Permission::Never,
            true if self.copies.is_running(part) => Permission::AfterRunningCopy,
            true => Permission::Isolated,
        }
    }

    fn suspect_permission(
        &self,
        part: PartKey,
        is_one_request: &dyn Fn(&[Lifetime]) -> bool,
        now: Instant,
    ) -> Permission {
        if !self.is_isolated(part, now) {
            return Permission::Unrestricted;
        }
        if self.copies.is_running(part) {
            return Permission::AfterRunningCopy;
        }
        let settled_at = self.evidence.settled_at(part, &self.quarantine, now);
        if let Some(at) = settled_at.filter(|at| now < *at) {
            return Permission::NotBefore(at);
        }
        // The verdict itself is recorded by the next call of `judge`.
        match self.evidence.is_culprit(part, &self.quarantine, is_one_request, now) {
            true => Permission::Never,
            false => Permission::Isolated,
        }
    }

    /// Returns whether upstreams crashed under a part and no answer speaks for it.
    fn is_suspected(&self, part: PartKey, now: Instant) -> bool {
        let is_unanswered =
            |s: &PartSuspect| s.crash_count() >= CRASHES_TO_ISOLATE && !s.is_answered(now);
        self.evidence.get(part).is_some_and(is_unanswered)
    }

    /// Returns whether only one request with a part may run at a time.
    fn is_isolated(&self, part: PartKey, now: Instant) -> bool {
        self.is_suspected(part, now)
            && self.evidence.unexplained(part, &self.quarantine, now) >= CRASHES_TO_ISOLATE
    }

    fn is_tracked(&self, part: PartKey, now: Instant) -> bool {
        self.quarantine.contains(part) || self.is_isolated(part, now)
    }

    /// Returns whether a part is quarantined, apart from trials.
    pub fn contains(&self, part: PartKey) -> bool {
        self.quarantine.contains(part)
    }

    /// Returns whether a part explains a crash better than a request that was running at `crashes`
    /// crashes.
    pub(super) fn explains(&self, crash: Lifetime, crashes: usize, now: Instant) -> bool {
        self.evidence.explains(crash, crashes, None, &self.quarantine, now)
    }

    /// Returns whether a quarantined part stood at a crash.
    pub(super) fn is_explained(&self, crash: Lifetime) -> bool {
        self.evidence.quarantined_at(crash, &self.quarantine)
    }

    /// Records that this process sends a request with these parts to an upstream. Returns whether
    /// the other gateways have to be told.
    pub fn copy_started(
        &mut self,
        parts: &[PartKey],
        lifetime: Lifetime,
        time: UnixMillis,
        now: Instant,
    ) -> bool {
        for part in parts {
            self.copies.begin(*part, lifetime);
            if self.quarantine.record_trial(*part, time).is_some() {
                self.announced_verdicts.push(*part, now);
            }
        }
        parts.iter().any(|part| self.is_tracked(*part, now))
    }

    /// Records that a request of this process has ended. Returns whether the other gateways have to
    /// be told.
    pub fn copy_ended(&mut self, parts: &[PartKey], lifetime: Lifetime, now: Instant) -> bool {
        parts.iter().for_each(|part| self.copies.end(*part, lifetime));
        parts.iter().any(|part| self.is_tracked(*part, now))
    }

    /// Returns the upstreams on which requests with quarantined or isolated parts are running.
    pub fn upstreams_at_risk(&self, now: Instant) -> Vec<Lifetime> {
        if self.evidence.is_empty() && self.quarantine.is_empty() {
            return Vec::new();
        }
        let local = self.copies.local(|part| self.is_tracked(part, now)).into_iter();
        let remote = self.copies.remote().copied().filter(|c| self.is_tracked(c.0, now));
        local.chain(remote).map(|copy| copy.1).collect()
    }

    /// Records that an upstream crashed while it ran a request with these parts.
    pub(super) fn record_crash(
        &mut self,
        parts: &[PartKey],
        customer: &CustomerName,
        crash: Lifetime,
        now: Instant,
    ) {
        for part in parts {
            let (customer, crashes) = (customer.clone(), vec![crash]);
            self.add(&PartReport { part: *part, customer, crashes }, true, now);
        }
    }

    /// Adds crashes under a part, and announces it if other gateways may lack them.
    fn add(&mut self, report: &PartReport, is_own: bool, now: Instant) {
        let part = report.part;
        let answered = self.answers.contains(part, now);
        if !self.evidence.add(report, answered, now) {
            return;
        }
        let is_suspected = self.evidence.crash_count(part) >= CRASHES_TO_ISOLATE;
        if is_own || is_suspected {
            self.announced_suspects.push(part, now);
        }
        if is_suspected && answered {
            self.announced_answered.push(part, now);
        }
        self.to_relay |= !is_own
            && self.evidence.crash_count(part) >= CRASHES_TO_RELAY
            && self.is_isolated(part, now);
    }

    /// Returns whether what other processes reported has to be passed on at once, and forgets it.
    pub fn take_relay(&mut self) -> bool {
        std::mem::take(&mut self.to_relay)
    }

    /// Records that the upstream of a request with these parts has written for [`PROVEN_WRITING`]. Its
    /// end no longer says anything of them, and no other request waits for it.
    pub fn copy_proven(
        &mut self,
        parts: &[PartKey],
        lifetime: Lifetime,
        began: Instant,
        now: Instant,
    ) {
        parts.iter().for_each(|part| self.copies.end(*part, lifetime));
        self.note_sign(parts, began, now);
    }

    /// Records a sign, short of a proof, that an upstream answers requests with these parts: it has
    /// written for [`PROVEN_WRITING`], or the answer ended without showing whether it is complete
    /// while the upstream lived on. `began` is when the first data arrived.
    pub fn note_sign(&mut self, parts: &[PartKey], began: Instant, now: Instant) {
        for part in parts {
            self.answers.record(*part, now);
            let Some(first) = self.evidence.first_crash(*part) else {
                continue;
            };
            let sign = if began > first { now } else { first };
            self.evidence.note_own_sign(*part, sign);
            if self.evidence.crash_count(*part) >= CRASHES_TO_ISOLATE {
                self.announced_answered.push(*part, now);
            }
        }
    }

    pub(super) fn retract_crashes(&mut self, lifetime: Lifetime) {
        self.evidence.retract(lifetime);
    }

    /// Records a complete answer to a request with these parts, of which the first data arrived at
    /// `began`. Clears the parts under which upstreams crashed before that, and returns what has
    /// changed.
    pub fn completed(
        &mut self,
        parts: &[PartKey],
        began: Instant,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for part in parts {
            self.answers.record(*part, now);
            match self.evidence.first_crash(*part) {
                Some(first) if began > first => changes.extend(self.clear(*part, time, now)),
                Some(first) => self.evidence.note_own_sign(*part, first),
                None if self.began_after_verdict(*part, began, time, now) => {
                    changes.extend(self.release(*part, time, now));
                }
                None => {}
            }
        }
        changes
    }

    fn began_after_verdict(
        &self,
        part: PartKey,
        began: Instant,
        time: UnixMillis,
        now: Instant,
    ) -> bool {
        let age = now.saturating_duration_since(began).as_millis() as u64;
        let verdict = self.quarantine.get(part);
        verdict.is_some_and(|v| time.saturating_sub(age) >= v.at_ms)
    }

    fn clear(&mut self, part: PartKey, time: UnixMillis, now: Instant) -> Vec<PartChange> {
        if self.evidence.clear(part, now) >= CRASHES_TO_ISOLATE {
            self.announced_cleared.push(part, now);
        }
        self.release(part, time, now)
    }

    /// Records that this process was suspended until now. It judges nothing before it has heard what
    /// the others learnt meanwhile.
    pub fn resumed(&mut self, now: Instant) {
        self.evidence.resumed(now);
    }

    /// Quarantines parts that explain the crashes under them. Returns what has changed.
    pub(super) fn judge(
        &mut self,
        is_one_request: &dyn Fn(&[Lifetime]) -> bool,
        time: UnixMillis,
        now: Instant,
    ) -> Vec<PartChange> {
        self.evidence.drop_cleared(now);
        let is_culprit = |part: &PartKey| {
            !self.quarantine.contains(*part)
                && self.evidence.is_culprit(*part, &self.quarantine, is_one_request, now)
        };
        let culprits: Vec<PartKey> =
            self.evidence.recent(now).into_iter().filter(is_culprit).collect();
        culprits.into_iter().filter_map(|part| self.quarantine_part(part, time, now)).collect()
    }

    fn quarantine_part(
        &mut self,
        part: PartKey,
        time: UnixMillis,
        now: Instant,
    ) -> Option<PartChange> {
        let customer = self.evidence.get(part)?.customer.clone();
        self.quarantine.add(part, &customer, time)?;
        self.announced_verdicts.push(part, now);
        Some(self.change(part, customer))
    }

    fn change(&self, part: PartKey, customer: CustomerName) -> PartChange {
        let crashes = self.evidence.crash_count(part);
        PartChange { part, customer, crashes, quarantined: self.quarantine.contains(part) }
    }

    /// Releases a part, if it is quarantined, and forgets the crashes under it.
    pub fn release(&mut self, part: PartKey, time: UnixMillis, now: Instant) -> Vec<PartChange> {
        let Some(VerdictReport(_, verdict)) = self.quarantine.release(part, time) else {
            return Vec::new();
        };
        self.evidence.clear(part, now);
        self.announced_verdicts.push(part, now);
        vec![self.change(part, verdict.customer)]
    }

    /// Merges what another process reports and returns what has changed. `number` rises with each
    /// message of that process; `alive` are upstreams that were wrongly reported as crashed.
    pub fn merge_gossip(
        &mut self,
        process: &ProcessId,
        number: u64,
        gossip: PartGossip,
        alive: &[Lifetime],
        now: Instant,
    ) -> Vec<PartChange> {
        self.copies.replace_remote(process, number, gossip.copies, now);
        for part in gossip.cleared {
            if self.evidence.clear(part, now) >= CRASHES_TO_ISOLATE {
                self.announced_cleared.push(part, now);
            }
        }
        for mut report in gossip.suspects {
            report.crashes.retain(|crash| !alive.contains(crash));
            if !report.crashes.is_empty() {
                self.add(&report, false, now);
            }
        }
        for (part, age_ms) in gossip.answered {
            let sign = now.checked_sub(Duration::from_millis(age_ms.into()));
            self.evidence.note_answered(part, sign.unwrap_or(now));
        }
        self.merge(gossip.verdicts, now)
    }

    /// Merges verdicts of other processes or of the platform's store and returns what has changed.
    pub fn merge(
        &mut self,
        verdicts: Vec<VerdictReport<PartKey>>,
        now: Instant,
    ) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for report in verdicts {
            let (part, customer) = (report.0, report.1.customer.clone());
            let before = self.quarantine.contains(part);
            if !self.quarantine.merge(report) {
                continue;
            }
            self.announced_verdicts.push(part, now);
            if self.quarantine.contains(part) != before {
                if before {
                    self.evidence.clear(part, now);
                }
                changes.push(self.change(part, customer));
            }
        }
        changes
    }

    /// Returns what to tell the other gateways; equal to the default if there is nothing.
    pub fn gossip(&mut self, now: Instant) -> PartGossip {
        let report = |part: PartKey| {
            let suspect = self.evidence.get(part)?;
            let (customer, crashes) = (suspect.customer.clone(), suspect.crashes());
            (!crashes.is_empty()).then_some(PartReport { part, customer, crashes })
        };
        let suspects = self.announced_suspects.list(now).into_iter().filter_map(report).collect();
        let announced = self.announced_verdicts.list(now);
        let sign = |part: PartKey| Some((part, self.evidence.get(part)?.age_of_own_sign_ms(now)?));
        let answered = self.announced_answered.list(now).into_iter().filter_map(sign).collect();
        PartGossip {
            suspects,
            cleared: self.announced_cleared.list(now),
            answered,
            verdicts: self.quarantine.all().filter(|v| announced.contains(&v.0)).collect(),
            copies: self.copies.local(|part| self.is_tracked(part, now)),
            fingerprint: self.quarantine.fingerprint(),
        }
    }

    /// Drops the reported copies of processes that have been silent for at least `silence`.
    pub(super) fn expire_copies(&mut self, silence: Duration, now: Instant) {
        self.copies.expire_remote(silence, now);
    }

    /// Returns all verdicts, those on released parts included.
    pub fn verdicts(&self) -> Vec<VerdictReport<PartKey>> {
        self.quarantine.all().collect()
    }

    /// Returns a fingerprint that is equal wherever the same verdicts are known; 0 if there are
    /// none.
    pub fn fingerprint(&self) -> u64 {
        self.quarantine.fingerprint()
    }

    /// Returns how many parts are quarantined.
    pub fn quarantined(&self) -> usize {
        self.quarantine.count()
    }

    /// Returns the number of upstreams that crashed under a part, as far as this process knows.
    pub fn crashes_under(&self, part: PartKey) -> usize {
        self.evidence.crash_count(part)
    }
}
