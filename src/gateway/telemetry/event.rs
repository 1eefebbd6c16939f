//! Events of the structured log.

use serde::Serialize;

use crate::{gateway::net::Phase, platform::OrderOutcome};

/// Class of an event; each class has its own budget of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventClass {
    /// Refused and failed requests and failed attempts.
    Failure,
    /// Attempts and successful answers.
    Request,
    /// Changes in what the process knows of other components, and in its own state.
    Belief,
}

/// An event, written as one line of the log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has started to serve.
    Started {
        /// Version of the program.
        version: &'a str,
    },
    /// The settings were reloaded.
    Reloaded {
        /// Whether the new settings are valid.
        usable: bool,
    },
    /// The host was suspended and has resumed.
    Suspended {
        /// Length of the suspension, in milliseconds.
        for_ms: u64,
    },
    /// The graceful shutdown of the process entered a new phase.
    Leaving {
        /// The new phase.
        phase: Phase,
        /// Number of requests in progress.
        in_progress: usize,
    },
    /// A dependency answers again after an outage.
    DependencyRegained {
        /// Name of the dependency.
        dependency: &'a str,
        /// Length of the outage, in milliseconds.
        after_ms: u64,
    },
    /// A dependency has stopped answering.
    DependencyLost {
        /// Name of the dependency.
        dependency: &'a str,
        /// Reason, as text.
        error: &'a str,
    },
    /// A call to the platform's store returned no usable answer.
    StoreCallFailed {
        /// Name of the call.
        call: &'a str,
        /// Time since the call began, in milliseconds.
        after_ms: u64,
        /// Reason, as text.
        error: &'a str,
    },
    /// The store has returned from a copy: what it acknowledged since the copy is lost.
    StoreReturned {
        /// Era in which the store answers.
        era: u64,
        /// Era in which it answered before.
        before: u64,
    },
    /// The store has lost the counts of a usage window, which may have been reported already: they
    /// are not reported again.
    UsageLost {
        /// Number of the window.
        window: u64,
    },
    /// A table that was read from the store was discarded, because newer data is known.
    StoreReadDiscarded {
        /// Kind of data.
        of: &'a str,
        /// Revision of the store in the answer.
        revision: u64,
        /// Revision up to which the data is known.
        known: u64,
        /// Highest era in which the store has answered.
        era: Option<u64>,
    },
    /// The local copy of store data is stale: the store may have newer data.
    KnowledgeOld {
        /// Kind of data.
        of: &'a str,
        /// Age of the copy, in milliseconds.
        age_ms: u64,
        /// Revision up to which the copy is complete.
        position: u64,
    },
    /// The local copy of store data is up to date again.
    KnowledgeFresh {
        /// Kind of data.
        of: &'a str,
        /// Time for which the copy was stale, in milliseconds.
        after_ms: u64,
        /// Revision up to which the copy is complete.
        position: u64,
    },
    /// A configuration has taken effect.
    Configuration {
        /// Version of the new configuration.
        version: u64,
        /// Version of the previous configuration; 0 if there was none.
        before: u64,
        /// Source that it was received from.
        source: &'a str,
    },
    /// An upstream was added, has changed or is gone.
    Upstream {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Service of the upstream.
        service: &'a str,
        /// Data centre of the upstream.
        data_centre: &'a str,
        /// Whether the data centre may reclaim its host.
        reclaimable: bool,
        /// New state.
        state: &'a str,
        /// Revision of the store that the change is known from.
        revision: u64,
        /// Process that saw the store available without interruption, if the upstream is gone
        /// because of that; empty otherwise.
        #[serde(skip_serializing_if = "str::is_empty")]
        witness: &'a str,
    },
    /// The row of an upstream was removed, but the upstream may still be serving.
    RowMissing {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Revision of the store that the change is known from.
        revision: u64,
        /// Source of the information: the store or another gateway.
        source: &'a str,
        /// Time since the row was last known to exist, in milliseconds.
        last_seen_ms: u64,
        /// Remaining time in which the row may reappear, in milliseconds.
        for_ms: u64,
        /// Whether the row is taken to have lapsed, because other rows are missing as well.
        lapsed: bool,
    },
    /// A missing row is taken to have lapsed, because other rows are missing as well. Its
    /// upstream keeps receiving requests until it has had time to write the row again.
    RowLapsed {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Revision of the store that removed the row.
        revision: u64,
    },
    /// An upstream whose row lapsed was sent a health check.
    RowChecked {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Result of the check.
        result: &'a str,
    },
    /// An upstream was asked whether it lives, since a run there was interrupted or its end is unknown.
    UpstreamProbed {
        /// Id of the request.
        request: &'a str,
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Result of the probe.
        result: &'a str,
    },
    /// The rate limit of an upstream was set, changed or removed.
    RateLimit {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Limit for all gateways together, in requests per second; `null` if there is none.
        rate: Option<f64>,
        /// Request whose answer carried the signal; empty if another gateway reported it.
        request: &'a str,
    },
    /// A request with a long prompt was counted at an upstream, and announced to the other gateways
    /// or not.
    WorkNotice {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Prompt tokens that the upstream has yet to process.
        tokens: u32,
        /// Predicted time to process them, in milliseconds.
        work_ms: f64,
        /// Time from which requests are announced, after this decision, in milliseconds.
        threshold_ms: f64,
        /// Number of gateways that are heard, including this one.
        gateways: usize,
        /// `sent`, or `over_budget` if the budget is for longer prompts.
        outcome: &'a str,
    },
    /// An upstream announced that it falls over when it rejects too many requests, or no longer
    /// announces it.
    Brittle {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Rejections in a second that it bears; `null` if it is not brittle.
        max_rejections: Option<f64>,
        /// Request whose answer carried the signal.
        request: &'a str,
    },
    /// An upstream announced in an answer that it is leaving.
    SaidLeaving {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Request whose answer carried the signal; empty if another gateway reported it.
        request: &'a str,
    },
    /// An upstream refused a request and requested a back-off.
    Rest {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Time for which it wants no requests from this process, in milliseconds.
        for_ms: u64,
        /// Request that was refused.
        request: &'a str,
    },
    /// An answer of an upstream carried an invalid signal.
    SignalRejected {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Request that the answer belongs to.
        request: &'a str,
        /// Reason, as text.
        error: &'a str,
    },
    /// An upstream ended while it ran requests of this process.
    UpstreamEnded {
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Digests of the requests that it was running.
        under: &'a [String],
        /// Parts of their prompts that other requests may share.
        parts: &'a [String],
    },
    /// A request was quarantined because upstreams ended while running it, or released.
    Verdict {
        /// Digest of the request.
        digest: &'a str,
        /// Name of the customer; empty on an open route.
        customer: &'a str,
        /// Known number of upstreams that ended while running the request.
        ends: usize,
        /// New state.
        state: &'a str,
        /// Source of the verdict: this process, the store, another gateway or an operator.
        source: &'a str,
    },
    /// A part of prompts was quarantined because upstreams ended while running requests with it,
    /// or released.
    PartVerdict {
        /// Key of the part, see [`crate::gateway::model::PartKey`].
        part: &'a str,
        /// Customer that first sent it; empty on an open route.
        customer: &'a str,
        /// Known number of upstreams that ended while running requests with it.
        ends: usize,
        /// New state.
        state: &'a str,
        /// Source of the verdict: this process, the store, another gateway or an operator.
        source: &'a str,
    },
    /// An upstream row of the store could not be decoded.
    EntryRejected {
        /// Key of the row.
        entry: &'a str,
        /// Cause, as in the metric of rejected entries.
        cause: &'a str,
        /// Reason, as text.
        error: &'a str,
        /// Revision of the store at which the row was written.
        revision: u64,
    },
    /// Another gateway appeared or was lost.
    Peer {
        /// Identifier of that gateway.
        process: &'a str,
        /// New state.
        state: &'a str,
    },
    /// This process has lost its paths to all upstreams, or has one again.
    Paths {
        /// New state.
        state: &'a str,
        /// Time without a path, in milliseconds.
        after_ms: u64,
    },
    /// A connection to an upstream was opened through another gateway.
    Tunnel {
        /// Identifier of the request that it is for; empty for a probe.
        request: &'a str,
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Why the connection could not be opened from here.
        direct: &'a str,
    },
    /// A connection to an upstream was opened for another gateway.
    TunnelServed {
        /// Identifier of the request that it is for; empty for a probe.
        request: &'a str,
        /// Address of the upstream.
        upstream: &'a str,
    },
    /// The state of the lease on the duties changed.
    Lease {
        /// Fencing token; 0 if there is none.
        fence: u64,
        /// New state of the lease.
        state: &'a str,
        /// Why this process could acquire it; empty in other states.
        #[serde(skip_serializing_if = "str::is_empty")]
        basis: &'a str,
        /// Holder that the row named before it was acquired; empty if there was none.
        #[serde(skip_serializing_if = "str::is_empty")]
        previous: &'a str,
    },
    /// A usage report was sent.
    Usage {
        /// Number of the reported window.
        window: u64,
        /// Total number of requests in the report.
        total: u64,
        /// Fencing token.
        fence: u64,
        /// Outcome of the call.
        outcome: &'a str,
    },
    /// Engines were ordered.
    Engines {
        /// Name of the service.
        service: &'a str,
        /// Data centre that the engines run in.
        data_centre: &'a str,
        /// Whether the order is for reclaimable engines.
        reclaimable: bool,
        /// Desired number of engines.
        count: u32,
        /// Number of engines that the load requires.
        needed: f64,
        /// Measured prefill rate of an engine, in prompt tokens per second.
        tokens_per_second: Option<f64>,
        /// Fencing token.
        fence: u64,
        /// Outcome of the call.
        outcome: Option<OrderOutcome>,
        /// Why the call failed; empty if it did not.
        error: &'a str,
    },
    /// The clock of this process was corrected.
    Clock {
        /// Size of the correction, in milliseconds.
        correction_ms: f64,
    },
    /// A request was refused because it exceeds the quota of its customer.
    QuotaUsedUp {
        /// Identifier of the request.
        request: &'a str,
        /// Name of the customer.
        customer: &'a str,
        /// Tokens that the request is charged.
        tokens: u64,
        /// Refill rate of the quota, in tokens per second.
        rate: f64,
        /// Tokens in the bucket; negative if it is overdrawn.
        level: f64,
        /// Tokens admitted by all gateways in the operator's window.
        in_window: f64,
        /// Tokens that gateways without recent heartbeats are assumed to have admitted since.
        assumed: f64,
        /// Number of gateways with recent heartbeats, including this one.
        heard: usize,
        /// Number of gateways that may be serving.
        members: usize,
        /// Time after which the caller is asked to retry, in milliseconds.
        wait_ms: u64,
        /// Rank of the route; missing where ranks within quotas are not in use.
        #[serde(skip_serializing_if = "Option::is_none")]
        rank: Option<u8>,
        /// Tokens that the request had to leave for more urgent ones.
        #[serde(skip_serializing_if = "Option::is_none")]
        reserved: Option<f64>,
    },
    /// A request was refused because it exceeds the memory of the engines.
    TooLarge {
        /// Identifier of the request.
        request: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Predicted output tokens.
        output_tokens: f64,
        /// Group of requests that the prediction rests on.
        basis: &'static str,
        /// Memory of an engine, in tokens.
        cache_tokens: u64,
    },
    /// What a completely answered request was predicted to cost, and what it did cost.
    Cost {
        /// Identifier of the request.
        request: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Group of requests that the prediction rests on.
        basis: &'static str,
        /// Standard deviation of the logarithm of the predicted output or time.
        spread: f64,
        /// The caller's estimate of the output tokens.
        hint: Option<u32>,
        /// Predicted output tokens.
        predicted_output: f64,
        /// Output tokens; `None` if they were not counted.
        output: Option<f64>,
        /// Predicted time for which the request holds its slot, in milliseconds.
        predicted_slot_ms: f64,
        /// Time from sending the request to its end, in milliseconds.
        slot_ms: f64,
    },
    /// A request was refused on arrival, because its service is overloaded or it would be served too
    /// late.
    Admission {
        /// Identifier of the request.
        request: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Kind and priority of the route.
        class: &'a str,
        /// Decision.
        decision: &'a str,
        /// Predicted wait at the best upstream, in milliseconds.
        wait_ms: u64,
        /// Median of the predicted wait over all candidates, in milliseconds.
        median_wait_ms: u64,
        /// Predicted time from the end of the wait to the first event, in milliseconds.
        service_ms: u64,
        /// Age of the newest load report of another gateway, in milliseconds; `null` without one.
        age_ms: Option<u64>,
        /// Change of the median wait, in seconds per second.
        slope: f64,
        /// Share of such requests that are refused.
        share: f64,
        /// Time that the caller has used before, in milliseconds.
        used_ms: u64,
        /// Time that the caller has left, in milliseconds.
        left_ms: u64,
        /// Time after which the caller is asked to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// A request was not sent because upstreams ended while running the same request.
    NotSent {
        /// Identifier of the request.
        request: &'a str,
        /// Digest of the request, see [`crate::gateway::model::RequestDigest`].
        digest: &'a str,
        /// Name of the customer; empty on an open route.
        customer: &'a str,
        /// Known number of upstreams that ended while running the request.
        ends: usize,
        /// Quarantined or suspected part of its prompt that it is not sent for; empty if it is not
        /// sent for itself.
        part: &'a str,
        /// Known number of upstreams that ended while running requests with the part.
        part_ends: usize,
        /// Whether the request is quarantined or a copy of it is running.
        state: &'a str,
    },
    /// A request was sent to an upstream.
    Attempt {
        /// Identifier of the request.
        request: &'a str,
        /// Digest of the request, see [`crate::gateway::model::RequestDigest`].
        digest: &'a str,
        /// Parts of its prompt that other requests may share, see
        /// [`crate::gateway::model::PartKey`].
        parts: &'a [String],
        /// Name of the route.
        route: &'a str,
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Number of candidates that the upstream was chosen from.
        candidates: usize,
        /// Number of candidates estimated to have the shared prompt prefix in their cache.
        holders: usize,
        /// Predicted time to the first token, in milliseconds.
        predicted_ms: u64,
        /// Estimated number of requests at the upstream.
        running: f64,
        /// Estimated number of prompt tokens that the upstream has yet to process.
        pending_tokens: f64,
        /// Number of tokens of the prompt.
        prompt_tokens: u32,
        /// Estimated number of prompt tokens that are not in the cache of the upstream.
        missing_tokens: f64,
        /// Factor by which the upstream is slower than others; absent if it was not used.
        #[serde(skip_serializing_if = "Option::is_none")]
        speed_factor: Option<f64>,
        /// Slot time that the upstream has left, in milliseconds; absent if it was not used.
        #[serde(skip_serializing_if = "Option::is_none")]
        work_left_ms: Option<u64>,
        /// Cost of the choice, in milliseconds; absent if it was not used.
        #[serde(skip_serializing_if = "Option::is_none")]
        cost_ms: Option<u64>,
        /// Version of the configuration.
        configuration: u64,
        /// Revision of the upstream list that the choice was based on.
        upstreams: u64,
        /// Age of the upstream list, in milliseconds; `None` if it is unknown.
        upstreams_age_ms: Option<u64>,
        /// Whether the upstream is known to be leaving.
        leaving: bool,
        /// Whether the upstream's row is missing.
        row_missing: bool,
        /// Version of the upstream's software.
        version: &'a str,
        /// Attempt that began the stream which the caller takes up; `null` if it takes up none.
        resumes: Option<&'a str>,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Identifier of the request.
        request: &'a str,
        /// Digest of the request, see [`crate::gateway::model::RequestDigest`].
        digest: &'a str,
        /// Identifier of the upstream.
        upstream: &'a str,
        /// Time since the attempt began, in milliseconds.
        after_ms: u64,
        /// How the attempt failed.
        cause: &'a str,
        /// Why no connection could be opened; empty if one was.
        #[serde(skip_serializing_if = "str::is_empty")]
        connect_error: &'a str,
        /// Whether the upstream may have run the request.
        may_have_run: bool,
        /// Next step, such as a retry.
        next: &'a str,
    },
    /// The answer to a request, or its refusal, was completed.
    Answered {
        /// Identifier of the request.
        request: &'a str,
        /// Name of the route; empty if it is unknown.
        route: &'a str,
        /// Name of the customer; empty if it is unknown.
        customer: &'a str,
        /// HTTP status.
        status: u16,
        /// Outcome of the request.
        outcome: &'a str,
        /// Time since the request arrived, in milliseconds.
        took_ms: u64,
        /// Time to the first byte of the answer, in milliseconds.
        first_ms: u64,
        /// Version of the configuration that the request was handled with.
        configuration: u64,
        /// Age of that configuration at the end, in milliseconds; `None` if it is unknown.
        configuration_age_ms: Option<u64>,
        /// How the last upstream's answer showed where it ends; empty without an answer.
        framing: &'a str,
        /// Whether a stream ended inside an event.
        inside_event: bool,
    },
    /// The version was looked up at which a stream began that a caller takes up.
    StreamTakenUp {
        /// Request that takes it up.
        request: &'a str,
        /// Request that brought its first event.
        began_as: &'a str,
        /// Name of the service.
        service: &'a str,
        /// Version at which it began; `None` if nobody knows it, and the request is refused.
        version: Option<&'a str>,
        /// What the version, or the refusal, rests on.
        basis: &'a str,
        /// Number of other gateways that were asked.
        asked: usize,
        /// Number of them that answered in time.
        answers: usize,
        /// Time since the start of this process, in milliseconds.
        up_ms: u64,
    },
    /// This process has stored at which versions streams began.
    StreamsStored {
        /// Number of streams.
        streams: usize,
    },
    /// This process has read the versions of streams that its host's earlier process stored.
    StreamsRecalled {
        /// Number of streams that may still be taken up.
        streams: usize,
        /// Number of rows.
        rows: usize,
    },
    /// This process has recorded in the store that streams may begin at some versions.
    VersionsRecorded {
        /// Number of versions, over all services.
        count: usize,
        /// The first of them, each behind the name of its service.
        versions: &'a [(String, String)],
    },
    /// The state of a roll-out changed.
    Rollout {
        /// Name of the service.
        service: &'a str,
        /// Version that the traffic moves to.
        destination: &'a str,
        /// Revision of the store at which the order was written.
        revision: u64,
        /// New state.
        state: &'a str,
        /// Reason, as text.
        cause: &'a str,
        /// Known number of requests to the service since the order.
        arrived: u32,
        /// Number of these requests that were sent to the new version.
        exposed: u32,
    },
    /// A roll-out order could not be decoded.
    RolloutRejected {
        /// Name of the service.
        service: &'a str,
        /// Reason, as text.
        error: &'a str,
        /// Revision of the store at which the order was written.
        revision: u64,
    },
    /// Log lines were dropped because a budget was used up or the queue was full.
    LeftOut {
        /// Class of the dropped lines.
        class: EventClass,
        /// Number of dropped lines.
        lines: u64,
    },
}

impl Event<'_> {
    /// Returns the class whose budget the event counts against.
    pub fn class(&self) -> EventClass {
        match self {
            Self::Attempt { .. }
            | Self::Cost { .. }
            | Self::Tunnel { .. }
            | Self::TunnelServed { .. }
            | Self::WorkNotice { .. }
            | Self::StreamsStored { .. }
            | Self::StreamTakenUp { version: Some(_), .. } => EventClass::Request,
            Self::AttemptFailed { .. }
            | Self::QuotaUsedUp { .. }
            | Self::TooLarge { .. }
            | Self::Admission { .. }
            | Self::NotSent { .. }
            | Self::UpstreamProbed { .. }
            | Self::StreamTakenUp { version: None, .. } => EventClass::Failure,
            Self::Answered { status, .. } if *status < 400 => EventClass::Request,
            Self::Answered { .. } => EventClass::Failure,
            _ => EventClass::Belief,
        }
    }
}
