//! Prompt tokens that other gateways have announced at upstreams and not yet reported in heartbeats.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use thiserror::Error;

use crate::{gateway::model::Lifetime, ids::Incarnation};

/// Longest time for which a notice counts. The heartbeat that replaces it arrives within 1.2 s in a
/// fleet of 90 gateways, and an upstream seldom takes longer for a prompt.
const MAX_NOTICE_AGE: Duration = Duration::from_secs(2);
/// Most notices kept: what arrives within [`MAX_NOTICE_AGE`] at the rate that
/// [`super::MAX_NOTICES_PER_SECOND`] allows.
const MAX_NOTICES: usize = 400;

/// A request with a long prompt that another gateway has sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticedRequest {
    /// Incarnation of the gateway that sent it.
    pub sender: Incarnation,
    /// Uptime of that gateway when it sent the request, in milliseconds.
    pub up_ms: u64,
    /// The upstream, in one lifetime.
    pub upstream: Lifetime,
    /// Prompt tokens that the upstream has yet to process.
    pub tokens: u32,
}

/// Reason why a notice has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IgnoredNotice {
    /// No heartbeat of its sender has arrived.
    #[error("its sender is unknown")]
    UnknownSender,
    /// The upstream is unknown, or has restarted.
    #[error("its upstream is in no known lifetime")]
    UnknownUpstream,
    /// Its sender has reported its load since.
    #[error("its sender has reported its load since")]
    Reported,
    /// The notice has arrived before.
    #[error("it has arrived before")]
    Duplicate,
    /// The upstream must have processed the prompt by now.
    #[error("its prompt has been processed by now")]
    Processed,
    /// Too many other notices count.
    #[error("too many other notices count")]
    Full,
}

/// The newest heartbeat of a gateway.
#[derive(Clone, Copy, Debug)]
struct Reported {
    /// Uptime of the gateway when it sent the heartbeat, in milliseconds.
    up_ms: u64,
    /// When the heartbeat was sent, by this gateway's clock.
    at: Instant,
}

/// A notice that counts.
#[derive(Clone, Copy, Debug)]
struct Noticed {
    sender: Incarnation,
    up_ms: u64,
    tokens: u32,
    /// When the upstream is expected to begin with the prompt.
    begins: Instant,
    /// When it is expected to have processed the prompt.
    ends: Instant,
}

impl Noticed {
    /// Returns the tokens that are left to process at `now`.
    fn tokens_left(&self, now: Instant) -> f64 {
        let whole = self.ends.saturating_duration_since(self.begins);
        let left = self.ends.saturating_duration_since(now);
        if left >= whole {
            return if left.is_zero() { 0.0 } else { f64::from(self.tokens) };
        }
        f64::from(self.tokens) * left.as_secs_f64() / whole.as_secs_f64()
    }
}

/// Work that other gateways have announced, by upstream.
#[derive(Clone, Debug, Default)]
pub struct NoticedWork {
    /// Notices by upstream, in the order in which the upstream is expected to process them.
    upstreams: HashMap<Lifetime, Vec<Noticed>>,
    senders: HashMap<Incarnation, Reported>,
    len: usize,
}

impl NoticedWork {
    /// Counts a notice until its sender reports its load, or the upstream must have processed the
    /// prompt at `seconds_per_token`.
    ///
    /// # Errors
    ///
    /// Fails if the notice must not count.
    pub fn note(
        &mut self,
        notice: NoticedRequest,
        seconds_per_token: f64,
        now: Instant,
    ) -> Result<(), IgnoredNotice> {
        let reported = *self.senders.get(&notice.sender).ok_or(IgnoredNotice::UnknownSender)?;
        if notice.up_ms < reported.up_ms {
            return Err(IgnoredNotice::Reported);
        }
        if self.len >= MAX_NOTICES {
            self.remove_processed(now);
        }
        if self.len >= MAX_NOTICES {
            return Err(IgnoredNotice::Full);
        }
        let since = Duration::from_millis(notice.up_ms - reported.up_ms);
        // An absurd uptime counts as now.
        let sent = reported.at.checked_add(since).map_or(now, |sent| sent.min(now));
        let queue = self.upstreams.entry(notice.upstream).or_default();
        let NoticedRequest { sender, up_ms, tokens, .. } = notice;
        if queue.iter().any(|n| (n.sender, n.up_ms, n.tokens) == (sender, up_ms, tokens)) {
            return Err(IgnoredNotice::Duplicate);
        }
        let begins = queue.iter().map(|n| n.ends).fold(sent, Instant::max);
        let seconds = (f64::from(tokens) * seconds_per_token).max(0.0);
        let takes = Duration::from_secs_f64(seconds.min(MAX_NOTICE_AGE.as_secs_f64()));
        let ends = (begins + takes).min(sent + MAX_NOTICE_AGE);
        if ends <= now {
            return Err(IgnoredNotice::Processed);
        }
        queue.push(Noticed { sender, up_ms, tokens, begins, ends });
        self.len += 1;
        Ok(())
    }

    /// Returns the noticed tokens that an upstream has yet to process.
    pub fn pending_tokens(&self, upstream: Lifetime, now: Instant) -> f64 {
        let queue = self.upstreams.get(&upstream);
        queue.map_or(0.0, |queue| queue.iter().map(|n| n.tokens_left(now)).sum())
    }

    /// Notes that a heartbeat of `sender` arrived that was sent at `at` with the uptime `up_ms`. The
    /// loads in it hold what the sender announced before.
    pub fn sender_reported(&mut self, sender: Incarnation, up_ms: u64, at: Instant) {
        let reported = self.senders.entry(sender).or_insert(Reported { up_ms, at });
        if up_ms < reported.up_ms {
            return;
        }
        *reported = Reported { up_ms, at };
        self.remove(|_, n| n.sender == sender && n.up_ms < up_ms);
    }

    /// Drops the notices of a gateway that has ended.
    pub fn sender_ended(&mut self, sender: Incarnation) {
        self.senders.remove(&sender);
        self.remove(|_, n| n.sender == sender);
    }

    /// Drops notices of upstreams whose lifetime has ended.
    pub fn retain(&mut self, is_known: impl Fn(Lifetime) -> bool) {
        self.remove(|upstream, _| !is_known(upstream));
    }

    /// Drops notices of prompts that have been processed.
    pub fn remove_processed(&mut self, now: Instant) {
        self.remove(|_, n| n.ends <= now);
    }

    /// Drops all notices.
    pub fn clear(&mut self) {
        self.remove(|_, _| true);
    }

    /// Returns the number of notices kept.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no notice is kept.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn remove(&mut self, ended: impl Fn(Lifetime, &Noticed) -> bool) {
        if self.upstreams.is_empty() {
            return;
        }
        self.upstreams.retain(|upstream, queue| {
            queue.retain(|n| !ended(*upstream, n));
            !queue.is_empty()
        });
        self.len = self.upstreams.values().map(Vec::len).sum();
    }
}
