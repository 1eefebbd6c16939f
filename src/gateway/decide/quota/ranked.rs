//! Quotas whose tokens go to urgent requests first.
//!
//! A less urgent request must leave tokens for more urgent ones, in the bucket and in the
//! operator's window. Urgent requests may use all. So that no rank starves, each one that asks may
//! use a tenth of the rate whatever the more urgent ones ask for.

use std::time::{Duration, Instant};

use super::{
    Bucket, MAX_ASSUMED_TIME, MAX_RETRY_DELAY, MIN_RETRY_DELAY, PeerUsage, QuotaLimiter,
    QuotaPolicy, QuotaShare, QuotaUsedUp,
    rank_demand::{DECAY, RANKS, index},
};
use crate::gateway::model::{CustomerName, Quota};

/// Shortest time over which the rate of another process is extrapolated, in seconds. Over a tenth of
/// a second, one large request looks like ten times the rate that follows it.
const STEADY_RATE_PERIOD: f64 = 1.0;

/// Share of the rate that each rank may use although more urgent ones ask for all of it.
const GUARANTEED_SHARE: f64 = 0.1;

/// Time of a rank's guaranteed share that is kept until a request of the rank comes, as long as the
/// operators' usual window. With 4 s, more than half of it expired at 77 processes.
const GUARANTEE_KEPT: Duration = Duration::from_secs(8);

/// Part of a guaranteed share that a process without recent requests of the customer has, as a
/// multiple of an equal part. With all of it the processes together would exceed the share.
const LEAST_OWN_PART: f64 = 0.1;

/// Weight of a new interval between reports in their mean.
const REPORT_WEIGHT: f64 = 0.02;

/// Interval between the reports of another process up to which they limit what all admit.
const PROMPT_REPORTS: Duration = Duration::from_millis(600);

/// Tokens of the window left free for each second by which reports come later, as a multiple of the
/// rate, and the largest part of the window that is left free.
const MARGIN_RATE: f64 = 1.6;
const MAX_MARGIN: f64 = 0.3;

/// Interval between the reports of another process from which on each one uses its own part of the
/// rate only.
const LATE_REPORTS: Duration = Duration::from_millis(1_000);

/// Shortest time for which a less urgent request leaves tokens. Processes learn in about this time
/// what the others admitted.
const MIN_RESERVED_TIME: f64 = 0.5;

/// Part of a full bucket that is reserved in addition where more urgent requests come: other
/// processes admit large requests that this one has not heard of.
const RESERVED_FOR_UNSEEN: f64 = 0.2;

/// Largest part of a full bucket that is reserved for more urgent requests.
const MAX_RESERVED_LEVEL: f64 = 0.5;

/// Largest part of the operator's window that is reserved: what stays unused in it lowers what the
/// customer gets, where the window and not the bucket limits it.
const MAX_RESERVED_WINDOW: f64 = 0.08;

/// Part of a rank's requests that is admitted for each full bucket that is free, as a multiple of
/// the part that fits the rate which the rank gets.
const THINNING_GAIN: f64 = 3.0;

/// Part of the request itself that is left out of what its rank asks for. A process that sees a
/// request now and then would otherwise take it for a rate of one request in each decay time; one
/// that has seen no other still needs an estimate.
const OWN_DISCOUNT: f64 = 0.7;

/// Part of the limit in the window below which a customer is not refused because of what other
/// processes are assumed to admit.
const UNDOUBTED_PART: f64 = 0.5;

/// A request that asks for tokens of its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedRequest {
    /// Tokens that the request is charged.
    pub tokens: u64,
    /// Priority of its route; 0 is the most urgent.
    pub rank: u8,
    /// Random number in 0..1.
    pub chance: f64,
}

/// Tokens of the guaranteed shares of the ranks that this process has not used yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RankShares {
    shares: [Credit; RANKS],
    /// This process's own part of the rate, for all ranks.
    pub(super) own: Credit,
}

/// Tokens that accrue at a rate and are kept for [`GUARANTEE_KEPT`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Credit(Option<(f64, Instant)>);

impl Credit {
    /// Accrues tokens at `rate` and uses them up for a request, or as much of it as
    /// there is. A request that is larger is admitted with the probability that makes the mean of
    /// what is admitted equal to what was used: at many processes, the share of one hardly ever
    /// reaches the size of a request.
    fn draw(&mut self, req: RankedRequest, rate: f64, now: Instant) -> bool {
        let (left, at) = self.0.unwrap_or((0.0, now));
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let most = rate * GUARANTEE_KEPT.as_secs_f64();
        let left = (left + rate * elapsed).min(most);
        let tokens = (req.tokens as f64).max(1.0);
        self.0 = Some(((left - tokens).max(0.0), now));
        further_chance(req.chance, 1) < left / tokens
    }
}

/// What a decision on a request rests on.
#[derive(Clone, Copy, Debug)]
struct View {
    share: QuotaShare,
    terms: QuotaPolicy,
    /// Tokens that other processes are assumed to have admitted since their last reports.
    assumed: f64,
    /// Tokens that the request leaves to more urgent ones.
    reserved: f64,
    /// What all processes are asked for, as a multiple of what this one is.
    scale: f64,
    /// Whether the customer is so far below its limit that nothing is assumed or reserved.
    is_undoubted: bool,
    /// Tokens a second that the request's rank gets after the more urgent ones.
    rank_rate: f64,
    now: Instant,
}

impl QuotaLimiter {
    /// Takes the tokens of a request from the customer's quota, urgent requests first.
    ///
    /// # Errors
    ///
    /// Fails if the quota is used up, or the rest is reserved for more urgent requests.
    pub fn take_ranked(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        req: RankedRequest,
        share: QuotaShare,
        now: Instant,
    ) -> Result<(), QuotaUsedUp> {
        let terms = self.terms;
        let bucket = self.bucket(customer, quota, now);
        bucket.refill(share, terms, now);
        bucket.limit_level_to_window(share, terms, now);
        let tokens = req.tokens as f64;
        bucket.demand.note(req.rank, tokens, now);
        let view = bucket.view(req, share, terms, now);
        let wait = bucket
            .ranked_wait(tokens, view)
            .or_else(|| bucket.thinned_wait(req, view))
            .or_else(|| bucket.own_part_wait(req, view));
        let is_guaranteed = bucket.draw_share(req, view);
        match wait {
            Some(wait) if !(is_guaranteed && bucket.has_room_for_guaranteed(req, view)) => {
                Err(QuotaUsedUp {
                    wait: spread(wait, further_chance(req.chance, 2)),
                    level: bucket.level,
                    in_window: bucket.admitted.total(terms.window, now),
                    assumed: view.assumed,
                    share,
                    reserved: view.reserved,
                })
            }
            _ => {
                bucket.charge(tokens, terms, now);
                Ok(())
            }
        }
    }
}

/// Returns a further random number, from the later digits of the first one.
fn further_chance(chance: f64, n: i32) -> f64 {
    (chance * f64::powi(4_096.0, n)).fract().abs()
}

/// Spreads a retry delay over half of its length again, so that callers that were refused together
/// do not return together.
fn spread(wait: Duration, chance: f64) -> Duration {
    let wait = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let chance = if chance.is_nan() { 0.0 } else { chance.clamp(0.0, 1.0) };
    wait.mul_f64(1.0 + 0.5 * chance).min(MAX_RETRY_DELAY)
}

impl PeerUsage {
    /// Returns the rate after a further report, as a mean over at least [`STEADY_RATE_PERIOD`].
    pub(super) fn next_steady_rate(&self, admitted: f64, now: Instant) -> f64 {
        let period = now.saturating_duration_since(self.heard_at).as_secs_f64();
        let weight = (-period / STEADY_RATE_PERIOD).exp();
        let rate = (admitted / period.max(STEADY_RATE_PERIOD)).max(0.0);
        match period >= STEADY_RATE_PERIOD {
            true => rate,
            false => (self.steady_rate * weight + admitted.max(0.0) / STEADY_RATE_PERIOD).max(0.0),
        }
    }

    fn silence(&self, now: Instant) -> Option<f64> {
        let silence = now.saturating_duration_since(self.heard_at);
        (silence <= MAX_ASSUMED_TIME).then_some(silence.as_secs_f64())
    }
}

impl Bucket {
    /// Records the interval between two reports of another process.
    pub(super) fn note_report_interval(&mut self, interval: Duration) {
        let seconds = interval.as_secs_f64();
        let weight = if self.report_interval > 0.0 { REPORT_WEIGHT } else { 1.0 };
        self.report_interval += (seconds - self.report_interval) * weight;
    }

    fn view(
        &mut self,
        req: RankedRequest,
        share: QuotaShare,
        terms: QuotaPolicy,
        now: Instant,
    ) -> View {
        let rate = self.quota.rate * share.fraction();
        let scale = self.processes_per_own_demand(share, terms, now);
        let urgent = (self.demand.more_urgent(req.rank) * scale).min(rate);
        let rank_rate = (rate - urgent).max(rate * GUARANTEED_SHARE).max(1.0);
        let limit = self.window_limit(share, terms);
        if self.admitted.total(terms.window, now) < limit * UNDOUBTED_PART {
            let (assumed, reserved, is_undoubted) = (0.0, 0.0, true);
            return View { share, terms, assumed, reserved, scale, is_undoubted, rank_rate, now };
        }
        let assumed = self.plausible_tokens(self.demand.total() * scale, now);
        let max_level = (self.quota.burst + terms.extra) * share.fraction();
        let needed = urgent * (req.tokens as f64 / rank_rate).max(MIN_RESERVED_TIME);
        let unseen = if urgent > 0.0 { max_level * RESERVED_FOR_UNSEEN } else { 0.0 };
        let reserved = (needed + unseen).min(max_level * MAX_RESERVED_LEVEL);
        let is_undoubted = false;
        View { share, terms, assumed, reserved, scale, is_undoubted, rank_rate, now }
    }

    /// Returns what all processes are asked for, as a multiple of what this one is: the inverse of
    /// its part in what they admitted, at most as if the others were asked for as much each.
    fn processes_per_own_demand(
        &mut self,
        share: QuotaShare,
        terms: QuotaPolicy,
        now: Instant,
    ) -> f64 {
        let heard = share.heard.max(1) as f64;
        let own = self.own_admitted.total(terms.window, now);
        if own <= 0.0 {
            return heard;
        }
        (self.admitted.total(terms.window, now) / own).clamp(1.0, heard)
    }

    /// Returns what the other processes have probably admitted since their last reports. Together
    /// they are not taken to admit faster than the quota's rate or than `demand`, whichever is more.
    fn plausible_tokens(&self, demand: f64, now: Instant) -> f64 {
        let heard = self.peers.values().filter_map(|p| Some((p.steady_rate, p.silence(now)?)));
        let (rates, tokens) = heard.fold((0.0, 0.0), |(rates, tokens), (rate, silence)| {
            (rates + rate, tokens + rate * silence)
        });
        let plausible = self.quota.rate.max(demand);
        tokens * (plausible / f64::max(rates, 1.0)).min(1.0)
    }

    /// Returns the time until the request may take its tokens; `None` if it may now.
    fn ranked_wait(&mut self, tokens: f64, view: View) -> Option<Duration> {
        let View { share, terms, assumed, reserved, now, .. } = view;
        let max_level = self.quota.burst + terms.extra;
        let unheard = max_level * (1.0 - share.fraction());
        let capacity = (max_level - unheard).max(1.0);
        let needed = (tokens + reserved).min(capacity);
        let level = self.level - assumed - unheard;
        let for_level = (level < needed).then(|| {
            let wait = (needed - level) / view.rank_rate;
            Duration::from_secs_f64(wait.min(MAX_RETRY_DELAY.as_secs_f64()))
        });
        let reserved = reserved.min(self.window_limit(share, terms) * MAX_RESERVED_WINDOW);
        let tokens = tokens + reserved + self.margin(view);
        for_level.max(self.wait_for_window(tokens, assumed, share, terms, now))
    }

    /// Returns the time after which a request is asked to return that is refused by chance, so that
    /// what is admitted of its rank matches the rate that the rank gets. Processes learn from each
    /// other after up to a second what they admitted; without this, each of them would admit all
    /// that the bucket holds until then. More is admitted the fuller the bucket is.
    fn thinned_wait(&mut self, req: RankedRequest, view: View) -> Option<Duration> {
        if req.rank == 0 || view.is_undoubted {
            return None;
        }
        let max_level = (self.quota.burst + view.terms.extra) * view.share.fraction();
        let unheard = self.quota.burst + view.terms.extra - max_level;
        let free = self.level - unheard - view.assumed - view.reserved;
        let own = req.tokens as f64 * OWN_DISCOUNT / DECAY.as_secs_f64();
        let asked = (self.demand.of(req.rank) - own) * view.scale;
        let free_part = (free / max_level.max(1.0)).clamp(0.0, 1.0);
        let factor = THINNING_GAIN * free_part / (1.0 - free_part).max(f64::EPSILON);
        let admitted_part = factor * view.rank_rate / asked.max(1.0);
        (req.chance >= admitted_part).then(|| {
            let wait = req.tokens as f64 / view.rank_rate * (asked / view.rank_rate).max(1.0);
            Duration::from_secs_f64(wait.min(MAX_RETRY_DELAY.as_secs_f64()))
        })
    }

    /// Returns the time after which a request is asked to return that this process's own part of the
    /// rate does not suffice for; only where reports arrive so late that they cannot limit what the
    /// processes admit in a window.
    fn own_part_wait(&mut self, req: RankedRequest, view: View) -> Option<Duration> {
        if view.is_undoubted || self.report_interval < LATE_REPORTS.as_secs_f64() {
            return None;
        }
        let rate = (self.quota.rate * view.share.fraction() * self.own_part(view)).max(1.0);
        let has_credit = self.shares.own.draw(req, rate, view.now);
        let wait = (req.tokens as f64 / rate).min(MAX_RETRY_DELAY.as_secs_f64());
        (!has_credit).then(|| Duration::from_secs_f64(wait))
    }

    /// Returns this process's part of what all processes admit, at least a small one.
    fn own_part(&mut self, view: View) -> f64 {
        let View { share, terms, now, .. } = view;
        let admitted = self.admitted.total(terms.window, now).max(1.0);
        let own_part = self.own_admitted.total(terms.window, now) / admitted;
        own_part.clamp(LEAST_OWN_PART / share.heard.max(1) as f64, 1.0)
    }

    /// Returns the tokens of the window that are left free since the other processes' reports come
    /// late: a customer whose demand rises is admitted at its new rate until they have come.
    fn margin(&self, view: View) -> f64 {
        let late = (self.report_interval - PROMPT_REPORTS.as_secs_f64()).max(0.0);
        let margin = MARGIN_RATE * self.quota.rate * view.share.fraction() * late;
        margin.min(self.window_limit(view.share, view.terms) * MAX_MARGIN)
    }

    /// Uses up the share that a request's rank is guaranteed, and returns whether it suffices. What
    /// the rank is admitted otherwise counts as well.
    fn draw_share(&mut self, req: RankedRequest, view: View) -> bool {
        let View { share, now, .. } = view;
        let own_part = self.own_part(view);
        let rate = self.quota.rate * share.fraction() * GUARANTEED_SHARE * own_part;
        req.rank > 0 && self.shares.shares[index(req.rank)].draw(req, rate, now)
    }

    /// Returns whether a request may run by the share that its rank is guaranteed. More urgent
    /// requests keep the bucket empty and the window full, and leave no room for a large request: it
    /// may overdraw the bucket, and the window by the tokens that the operators allow in addition.
    fn has_room_for_guaranteed(&mut self, req: RankedRequest, view: View) -> bool {
        let View { share, terms, assumed, now, .. } = view;
        let max_level = (self.quota.burst + terms.extra) * share.fraction();
        let needed = (req.tokens as f64 - terms.extra).max(0.0) + self.margin(view);
        let wait = self.wait_for_window(needed, assumed, share, terms, now);
        wait.is_none() && self.level >= -max_level * MAX_RESERVED_LEVEL
    }
}
