//! Everything that the log can say: one variant a kind of line.

use serde::Serialize;

use crate::{gateway::net::Phase, platform::OrderOutcome};

/// Classes of lines, each with a budget of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventClass {
    /// Refusals and failures of requests.
    Failure,
    /// Decisions on requests that go well.
    Request,
    /// Changes of what the process believes, and its own life.
    Belief,
}

/// A line of the log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process serves.
    Started {
        /// Version of the program.
        version: &'a str,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether they could be used.
        usable: bool,
    },
    /// The host was suspended: nothing ran meanwhile.
    Suspended {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// The process goes on with leaving.
    Leaving {
        /// How far it has got.
        phase: Phase,
        /// Requests in progress.
        in_progress: usize,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// Which.
        dependency: &'a str,
        /// For how long it did not answer, in milliseconds.
        after_ms: u64,
    },
    /// A dependency does not answer.
    DependencyLost {
        /// Which.
        dependency: &'a str,
        /// Why.
        error: &'a str,
    },
    /// A call to the platform's store brought no answer that can be used.
    StoreCallFailed {
        /// What was called.
        call: &'a str,
        /// Time since the call began, in milliseconds.
        after_ms: u64,
        /// Why.
        error: &'a str,
    },
    /// What is known of the store has grown old: there may be something newer.
    KnowledgeOld {
        /// What it is knowledge of.
        of: &'a str,
        /// Its age, in milliseconds.
        age_ms: u64,
        /// Revision up to which it is known.
        position: u64,
    },
    /// What is known of the store is new again.
    KnowledgeFresh {
        /// What it is knowledge of.
        of: &'a str,
        /// For how long it was old, in milliseconds.
        after_ms: u64,
        /// Revision up to which it is known.
        position: u64,
    },
    /// A configuration is in force.
    Configuration {
        /// Its version.
        version: u64,
        /// Version before; 0 for none.
        before: u64,
        /// Where it came from.
        source: &'a str,
    },
    /// An upstream is known, changed or gone.
    Upstream {
        /// The upstream.
        upstream: &'a str,
        /// Its service.
        service: &'a str,
        /// Its data centre.
        data_centre: &'a str,
        /// Whether it may be reclaimed.
        reclaimable: bool,
        /// What it is now.
        state: &'a str,
        /// Revision of the store that says so.
        revision: u64,
    },
    /// The row of an upstream was removed, and the upstream may serve on.
    RowMissing {
        /// The upstream.
        upstream: &'a str,
        /// Revision of the store that says so.
        revision: u64,
        /// Who said so: the store, or another gateway.
        source: &'a str,
        /// Time since its row was last known to be there, in milliseconds.
        last_seen_ms: u64,
        /// How much longer its row may come back, in milliseconds.
        for_ms: u64,
        /// Whether it has lapsed, as others that are missing show.
        lapsed: bool,
    },
    /// A row that is missing has lapsed, as others that are missing show: its upstream takes
    /// work until it has had time to write it again.
    RowLapsed {
        /// The upstream.
        upstream: &'a str,
        /// Revision of the store that removed the row.
        revision: u64,
    },
    /// The rate limit of an upstream has begun, changed or ended.
    RateLimit {
        /// The upstream.
        upstream: &'a str,
        /// Requests a second that it takes from all gateways together; `null` for no limit.
        rate: Option<f64>,
        /// The request whose answer said so; empty if another gateway told it.
        request: &'a str,
    },
    /// An upstream said in an answer that it leaves.
    SaidLeaving {
        /// The upstream.
        upstream: &'a str,
        /// The request whose answer said so; empty if another gateway told it.
        request: &'a str,
    },
    /// An upstream turned a request away and asked for rest.
    Rest {
        /// The upstream.
        upstream: &'a str,
        /// For how long it wants no requests from this process, in milliseconds.
        for_ms: u64,
        /// The request whose answer said so.
        request: &'a str,
    },
    /// An upstream says something of itself in an answer that cannot be used.
    SignalRejected {
        /// The upstream.
        upstream: &'a str,
        /// The request whose answer it was.
        request: &'a str,
        /// Why.
        error: &'a str,
    },
    /// An upstream ended while it ran requests of this process.
    UpstreamEnded {
        /// The upstream.
        upstream: &'a str,
        /// Digests of what it ran.
        under: &'a [String],
    },
    /// A request was quarantined, since upstreams end under it, or released.
    Verdict {
        /// Digest of the request.
        digest: &'a str,
        /// Customer; empty for an open route.
        customer: &'a str,
        /// Ends under it that are known here.
        ends: usize,
        /// What it is now.
        state: &'a str,
        /// Who found it: this process, the store, another gateway, an operator.
        source: &'a str,
    },
    /// A row of the store names no upstream.
    EntryRejected {
        /// Key of the row.
        entry: &'a str,
        /// Why, in a word.
        cause: &'a str,
        /// Why.
        error: &'a str,
        /// Revision of the store at which it was written.
        revision: u64,
    },
    /// A gateway is heard of, or no longer.
    Peer {
        /// The process.
        process: &'a str,
        /// What it is now.
        state: &'a str,
    },
    /// The lease on the duties changed.
    Lease {
        /// Fencing number; 0 for none.
        fence: u64,
        /// What happened.
        state: &'a str,
    },
    /// A usage report was sent.
    Usage {
        /// Window.
        window: u64,
        /// Requests in all.
        total: u64,
        /// Fencing number.
        fence: u64,
        /// What became of it.
        outcome: &'a str,
    },
    /// Engines were ordered.
    Engines {
        /// Service.
        service: &'a str,
        /// Data centre.
        data_centre: &'a str,
        /// Whether they may be reclaimed.
        reclaimable: bool,
        /// How many are wished for.
        count: u32,
        /// Engines that the load needs.
        needed: f64,
        /// Prompt tokens that an engine reads in a second, as learnt.
        tokens_per_second: Option<f64>,
        /// Fencing number.
        fence: u64,
        /// What became of it.
        outcome: Option<OrderOutcome>,
        /// Why it failed.
        error: &'a str,
    },
    /// The clock of this process was wrong.
    Clock {
        /// Correction in milliseconds.
        correction_ms: f64,
    },
    /// A request lies beyond its customer's quota.
    QuotaUsedUp {
        /// Request.
        request: &'a str,
        /// Customer.
        customer: &'a str,
        /// Tokens that it asks for.
        tokens: u64,
        /// Tokens a second that the customer may use.
        rate: f64,
        /// Tokens in the bucket; a debt if negative.
        level: f64,
        /// Tokens admitted in the operator's window, by all processes.
        in_window: f64,
        /// Tokens that silent processes are taken to have admitted since.
        assumed: f64,
        /// Processes heard, this one included.
        heard: usize,
        /// Processes that may be serving.
        members: usize,
        /// After which time the caller is asked to come back, in milliseconds.
        wait_ms: u64,
    },
    /// A request is not sent, since upstreams ended under it.
    NotSent {
        /// Request.
        request: &'a str,
        /// Digest, the same whenever the same is asked for.
        digest: &'a str,
        /// Customer; empty for an open route.
        customer: &'a str,
        /// Ends under it that are known here.
        ends: usize,
        /// Whether it is quarantined, or a copy of it runs.
        state: &'a str,
    },
    /// A request is sent to an upstream.
    Attempt {
        /// Request.
        request: &'a str,
        /// Digest, the same whenever the same is asked for.
        digest: &'a str,
        /// Route.
        route: &'a str,
        /// Upstream.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Candidates that it was chosen from.
        candidates: usize,
        /// Those among them that hold the shared part of the prompt, as believed.
        holders: usize,
        /// Predicted time to the first token, in milliseconds.
        predicted_ms: u64,
        /// Requests there, as believed.
        running: f64,
        /// Tokens there to be read, as believed.
        pending_tokens: f64,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Those that it has to read, as believed.
        missing_tokens: f64,
        /// Version of the configuration.
        configuration: u64,
        /// Revision of the list of upstreams.
        upstreams: u64,
        /// Age of the list, in milliseconds.
        upstreams_age_ms: Option<u64>,
        /// Whether the upstream is known to leave.
        leaving: bool,
        /// Whether the upstream's row is missing.
        row_missing: bool,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Request.
        request: &'a str,
        /// Digest, the same whenever the same is asked for.
        digest: &'a str,
        /// Upstream.
        upstream: &'a str,
        /// Time since the attempt began, in milliseconds.
        after_ms: u64,
        /// How.
        cause: &'a str,
        /// Whether the request may have run.
        may_have_run: bool,
        /// What follows.
        next: &'a str,
    },
    /// A request was answered or refused.
    Answered {
        /// Request.
        request: &'a str,
        /// Route; empty if none is known.
        route: &'a str,
        /// Customer; empty if none is known.
        customer: &'a str,
        /// Status.
        status: u16,
        /// How it ended.
        outcome: &'a str,
        /// Time since it came, in milliseconds.
        took_ms: u64,
        /// Time to the first byte, in milliseconds.
        first_ms: u64,
        /// Version of the configuration that decided.
        configuration: u64,
        /// Its age at the end, in milliseconds.
        configuration_age_ms: Option<u64>,
    },
    /// A roll-out has got to another state.
    Rollout {
        /// Service.
        service: &'a str,
        /// Version that is to get the traffic.
        destination: &'a str,
        /// Revision of the order.
        revision: u64,
        /// State.
        state: &'a str,
        /// Why.
        cause: &'a str,
        /// Requests to the service since the order, as far as they are known.
        arrived: u32,
        /// Those among them that the new version got.
        exposed: u32,
    },
    /// An order to roll out a version cannot be read.
    RolloutRejected {
        /// Service.
        service: &'a str,
        /// Why.
        error: &'a str,
        /// Revision of the order.
        revision: u64,
    },
    /// Lines that were left out to keep the volume bounded.
    LeftOut {
        /// Class of the lines.
        class: EventClass,
        /// How many.
        lines: u64,
    },
}

impl Event<'_> {
    /// Returns the class of the line.
    pub fn class(&self) -> EventClass {
        match self {
            Self::Attempt { .. } => EventClass::Request,
            Self::AttemptFailed { .. } | Self::QuotaUsedUp { .. } | Self::NotSent { .. } => {
                EventClass::Failure
            }
            Self::Answered { status, .. } if *status < 400 => EventClass::Request,
            Self::Answered { .. } => EventClass::Failure,
            _ => EventClass::Belief,
        }
    }
}
