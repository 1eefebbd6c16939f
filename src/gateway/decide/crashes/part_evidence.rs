//! Which parts of prompts were in requests that were running at crashes of upstreams.
//!
//! Each crash is a group test of all parts that were running there: one of them may be the cause.
//! Each complete answer shows that all of its parts are sound, since a part that crashes upstreams
//! crashes each that begins to write an answer on it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    evidence::{JUDGING_PERIOD, SETTLE_TIME},
    quarantine::Quarantine,
};
use crate::gateway::model::{CustomerName, Lifetime, PartKey};

/// Crashes under a part, without a complete answer since the first, from which it is quarantined.
/// With fewer, a part that is rarely asked for would be refused for two ordinary crashes.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Other crashes within [`WAVE_PERIOD`] from which more are needed: upstreams crash for another
/// reason then, and a part that is rarely asked for may stand at three of these crashes by chance.
const WAVE_CRASHES: usize = 3;
/// Crashes that are needed in addition during such a wave.
const EXTRA_CRASHES_IN_WAVE: usize = 2;
/// Time for which a crash counts towards a wave.
const WAVE_PERIOD: Duration = Duration::from_secs(5);
/// Crashes that are remembered for this.
const MAX_RECENT_CRASHES: usize = 256;
/// Crashes among them that no other part explains better. With fewer, a part that came once beside
/// the cause would be quarantined with it.
const MIN_UNEXPLAINED_CRASHES: usize = 2;
/// Time for which earlier or incomplete answers speak for a part: longer than it takes from one such
/// sign of a shared part to the next. If it were shorter, a shared part that stands before several
/// causes would be quarantined in their place. A part that begins to crash upstreams goes on doing
/// so for this time.
const ANSWER_WAIT: Duration = Duration::from_millis(1_500);
/// Age of a crash from which a later sign outweighs it. Without a limit, a part whose answers are never
/// known to be complete would be quarantined for crashes of days.
const MAX_AGE_BEFORE_SIGN: Duration = Duration::from_secs(10);
/// Crashes kept for each part; the oldest are dropped beyond this.
const MAX_CRASHES_PER_PART: usize = 64;
/// Suspects kept for each customer, at some 150 bytes each. A crash makes suspects of all parts that
/// were running there.
const MAX_SUSPECTS_PER_CUSTOMER: usize = 256;
/// Time after its newest crash for which a part is kept that was answered since. Reports of the
/// crash that arrive later would count again.
const CLEARED_KEPT_FOR: Duration = Duration::from_secs(10);

/// What one process reports of a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Key of the part.
    pub part: PartKey,
    /// Customer that first sent it; empty for an open route.
    pub customer: CustomerName,
    /// Upstreams, by lifetime, that crashed while they ran requests with it.
    pub crashes: Vec<Lifetime>,
}

/// A part under which upstreams have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct PartSuspect {
    /// Customer that first sent it; empty for an open route.
    pub customer: CustomerName,
    /// Crashes with the times at which they were recorded here, in ascending order.
    crashes: VecDeque<(Lifetime, Instant)>,
    /// When a complete answer showed that it is sound; crashes recorded before do not count.
    cleared_at: Option<Instant>,
    /// Latest sign short of a proof that upstreams answer it.
    answered_at: Option<Instant>,
    /// Latest such sign that this process saw itself. Only these are announced: two processes that
    /// passed on each other's would keep a sign alive.
    own_sign_at: Option<Instant>,
    /// Position among all suspects by when they were added.
    sequence: u64,
}

impl PartSuspect {
    /// Returns the crashes that count, with the times at which they were recorded.
    fn counted(&self) -> impl Iterator<Item = (Lifetime, Instant)> {
        let counts = |at: Instant| {
            self.cleared_at.is_none_or(|cleared| at > cleared)
                && self.answered_at.is_none_or(|sign| sign < at + MAX_AGE_BEFORE_SIGN)
        };
        self.crashes.iter().copied().filter(move |(_, at)| counts(*at))
    }

    /// Returns the upstreams, by lifetime, whose crashes count.
    pub fn crashes(&self) -> Vec<Lifetime> {
        self.counted().map(|(crash, _)| crash).collect()
    }

    /// Returns the number of crashes that count.
    pub fn crash_count(&self) -> usize {
        self.counted().count()
    }

    fn stood_at(&self, crash: Lifetime) -> bool {
        self.counted().any(|(c, _)| c == crash)
    }

    fn first_crash(&self) -> Option<Instant> {
        self.counted().map(|(_, at)| at).next()
    }

    /// Returns when this number of crashes has settled, that is when all processes have had time to
    /// report what else was running there and which parts were answered.
    fn settled_at(&self, crashes: usize) -> Option<Instant> {
        let (_, at) = self.counted().nth(crashes - 1)?;
        Some(at + SETTLE_TIME)
    }

    /// Returns whether earlier or incomplete answers still speak for the part.
    pub fn is_answered(&self, now: Instant) -> bool {
        match (self.first_crash(), self.answered_at) {
            (Some(first), Some(answered)) => now < first.max(answered) + ANSWER_WAIT,
            _ => false,
        }
    }

    /// Returns the age in milliseconds of the latest sign that this process saw; `None` if there is
    /// none or it is too old to matter.
    pub fn age_of_own_sign_ms(&self, now: Instant) -> Option<u16> {
        let age = now.saturating_duration_since(self.own_sign_at?);
        u16::try_from(age.as_millis()).ok().filter(|_| age < ANSWER_WAIT)
    }

    fn note_own_sign(&mut self, at: Instant) {
        self.own_sign_at = self.own_sign_at.max(Some(at));
        self.answered_at = self.answered_at.max(Some(at));
    }

    fn add(&mut self, crash: Lifetime, now: Instant) -> bool {
        if self.crashes.iter().any(|(known, _)| *known == crash) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_PART {
            self.crashes.pop_front();
        }
        self.crashes.push_back((crash, now));
        true
    }

    fn is_recent(&self, within: Duration, now: Instant) -> bool {
        let newest = self.crashes.back();
        newest.is_some_and(|(_, at)| now.saturating_duration_since(*at) < within)
    }
}

/// Parts with the crashes under them.
#[derive(Debug, Default)]
pub(super) struct PartEvidence {
    suspects: BTreeMap<PartKey, PartSuspect>,
    suspects_added: u64,
    /// Crashes of upstreams, whatever was running there, in ascending order of time.
    recent_crashes: VecDeque<(Lifetime, Instant)>,
    /// When this process last resumed after a suspension, in which it heard no other.
    resumed_at: Option<Instant>,
}

impl PartEvidence {
    pub fn get(&self, part: PartKey) -> Option<&PartSuspect> {
        self.suspects.get(&part)
    }

    /// Returns the number of crashes under a part that count.
    pub fn crash_count(&self, part: PartKey) -> usize {
        self.get(part).map_or(0, PartSuspect::crash_count)
    }

    /// Returns when the first crash under a part that counts was recorded here.
    pub fn first_crash(&self, part: PartKey) -> Option<Instant> {
        self.get(part).and_then(PartSuspect::first_crash)
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Adds crashes under a part; returns whether any of them was new. `answered` says whether the
    /// part was answered in full shortly before.
    pub fn add(&mut self, report: &PartReport, answered: bool, now: Instant) -> bool {
        report.crashes.iter().for_each(|crash| self.remember_crash(*crash, now));
        if !self.suspects.contains_key(&report.part) {
            self.make_room(&report.customer);
            self.suspects_added += 1;
        }
        let suspect = self.suspects.entry(report.part).or_insert_with(|| PartSuspect {
            customer: report.customer.clone(),
            sequence: self.suspects_added,
            ..PartSuspect::default()
        });
        if answered && suspect.crash_count() == 0 {
            suspect.note_own_sign(now);
        }
        let new = report.crashes.iter().filter(|crash| suspect.add(**crash, now));
        new.count() > 0
    }

    fn remember_crash(&mut self, crash: Lifetime, now: Instant) {
        if self.recent_crashes.iter().any(|(known, _)| *known == crash) {
            return;
        }
        if self.recent_crashes.len() >= MAX_RECENT_CRASHES {
            self.recent_crashes.pop_front();
        }
        self.recent_crashes.push_back((crash, now));
    }

    /// Returns the number of crashes from which a part is quarantined.
    fn crashes_needed(
        &self,
        suspect: &PartSuspect,
        quarantine: &Quarantine<PartKey>,
        now: Instant,
    ) -> usize {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WAVE_PERIOD;
        let recent = self.recent_crashes.iter().filter(|(_, at)| is_recent(*at));
        let others = recent.filter(|(crash, _)| {
            !suspect.stood_at(*crash) && !self.quarantined_at(*crash, quarantine)
        });
        match others.take(WAVE_CRASHES).count() < WAVE_CRASHES {
            true => CRASHES_TO_QUARANTINE,
            false => CRASHES_TO_QUARANTINE + EXTRA_CRASHES_IN_WAVE,
        }
    }

    /// Returns when the crashes that suffice for a verdict on a part have settled; `None` if there
    /// are too few.
    pub fn settled_at(
        &self,
        part: PartKey,
        quarantine: &Quarantine<PartKey>,
        now: Instant,
    ) -> Option<Instant> {
        let suspect = self.get(part)?;
        let settled = suspect.settled_at(self.crashes_needed(suspect, quarantine, now))?;
        Some(self.resumed_at.map_or(settled, |resumed| settled.max(resumed + SETTLE_TIME)))
    }

    /// Records that this process was suspended until now: others have not been heard, and nothing is
    /// settled by the time that has passed.
    pub fn resumed(&mut self, now: Instant) {
        self.resumed_at = Some(now);
    }

    /// Notes a sign short of a proof that this process saw.
    pub fn note_own_sign(&mut self, part: PartKey, at: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.note_own_sign(at);
        }
    }

    /// Notes a sign short of a proof that another process saw.
    pub fn note_answered(&mut self, part: PartKey, at: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.answered_at = suspect.answered_at.max(Some(at));
        }
    }

    /// Clears a part that was answered in full; returns the number of crashes that counted.
    pub fn clear(&mut self, part: PartKey, now: Instant) -> usize {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return 0;
        };
        let counted = suspect.crash_count();
        suspect.cleared_at = Some(now);
        counted
    }

    /// Retracts the crash of an upstream that is alive.
    pub fn retract(&mut self, crash: Lifetime) {
        self.recent_crashes.retain(|(known, _)| *known != crash);
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|(known, _)| *known != crash);
            !suspect.crashes.is_empty()
        });
    }

    /// Drops parts that were cleared and stood at no crash lately.
    pub fn drop_cleared(&mut self, now: Instant) {
        self.suspects.retain(|_, s| s.crash_count() > 0 || s.is_recent(CLEARED_KEPT_FOR, now));
    }

    /// Returns the parts under which an upstream crashed recently.
    pub fn recent(&self, now: Instant) -> Vec<PartKey> {
        let recent = self.suspects.iter().filter(|(_, s)| s.is_recent(JUDGING_PERIOD, now));
        recent.map(|(part, _)| *part).collect()
    }

    /// Returns whether a part other than `except` explains a crash better than something that was
    /// running at `crashes` crashes.
    pub fn explains(
        &self,
        crash: Lifetime,
        crashes: usize,
        except: Option<PartKey>,
        quarantine: &Quarantine<PartKey>,
        now: Instant,
    ) -> bool {
        let explains = |(part, s): (&PartKey, &PartSuspect)| {
            let is_likelier = || !s.is_answered(now) && s.crash_count() > crashes;
            Some(*part) != except
                && s.stood_at(crash)
                && (quarantine.contains(*part) || is_likelier())
        };
        self.suspects.iter().any(explains)
    }

    /// Returns whether a quarantined part stood at a crash.
    pub fn quarantined_at(&self, crash: Lifetime, quarantine: &Quarantine<PartKey>) -> bool {
        self.suspects.iter().any(|(part, s)| s.stood_at(crash) && quarantine.contains(*part))
    }

    /// Returns the number of crashes under a part that no other part explains better.
    pub fn unexplained(
        &self,
        part: PartKey,
        quarantine: &Quarantine<PartKey>,
        now: Instant,
    ) -> usize {
        let Some(suspect) = self.get(part) else {
            return 0;
        };
        let own = suspect.crash_count();
        let is_explained =
            |crash: &&Lifetime| self.explains(**crash, own, Some(part), quarantine, now);
        let crashes = suspect.crashes();
        crashes.len() - crashes.iter().filter(is_explained).count()
    }

    /// Returns whether a part explains the crashes under it better than anything else that was
    /// running there, the newest of them is recent, and no answer speaks for it. `is_one_request` says whether a single request
    /// was running at all given crashes: it explains them as well and refuses less.
    pub fn is_culprit(
        &self,
        part: PartKey,
        quarantine: &Quarantine<PartKey>,
        is_one_request: &dyn Fn(&[Lifetime]) -> bool,
        now: Instant,
    ) -> bool {
        let Some(suspect) = self.get(part) else {
            return false;
        };
        let settled_at = self.settled_at(part, quarantine, now);
        let has_settled = settled_at.is_some_and(|at| now >= at);
        has_settled
            && suspect.is_recent(JUDGING_PERIOD, now)
            && !suspect.is_answered(now)
            && !is_one_request(&suspect.crashes())
            && self.unexplained(part, quarantine, now) >= MIN_UNEXPLAINED_CRASHES
    }

    /// If a customer has too many suspects, drops the one with the fewest crashes, the oldest of
    /// these.
    fn make_room(&mut self, customer: &CustomerName) {
        let own = || self.suspects.iter().filter(|(_, s)| s.customer == *customer);
        if own().count() < MAX_SUSPECTS_PER_CUSTOMER {
            return;
        }
        let least_suspected =
            own().min_by_key(|(_, s)| (s.crash_count(), s.sequence)).map(|(part, _)| *part);
        if let Some(part) = least_suspected {
            self.suspects.remove(&part);
        }
    }
}
