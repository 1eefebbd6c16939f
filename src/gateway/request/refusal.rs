//! Answers that the gateway itself generates: refusals, timeouts and gateway errors.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use thiserror::Error;

use crate::gateway::net::{AnswerBody, ReadBodyError, full_body};

/// Retry delay while this process has no configuration, shuts down or has no memory for a body; other
/// gateways can serve the request at once.
const OTHER_GATEWAY_DELAY: Duration = Duration::from_millis(200);
/// Retry delay while the configuration may be stale; it is likely to be refreshed by then if the
/// store answers.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(1_000);
/// Retry delay after which upstreams are likely to have free capacity.
const CAPACITY_DELAY: Duration = Duration::from_millis(600);

/// Why the gateway answers a request itself, instead of relaying an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// This process has no configuration yet, does not know yet which requests crash upstreams, or
    /// knows that a newer configuration exists.
    #[error("no configuration yet")]
    NoConfiguration,
    /// The configuration of this process does not allow the request, but may be stale.
    #[error("the configuration here may be old")]
    ConfigurationOld,
    /// No route matches the request's host and path.
    #[error("no such route")]
    NoRoute,
    /// The API key is missing or belongs to no customer.
    #[error("unknown key")]
    UnknownKey,
    /// The name of the key's customer fits into no header, and upstreams must not run requests without
    /// it. There is no retry delay, since a retry would be refused too.
    #[error("upstreams cannot be told the name of the customer; it has not run")]
    UnfitCustomer,
    /// The body exceeds the configured maximum.
    #[error("body too large")]
    BodyTooLarge,
    /// The body ended before it was complete.
    #[error("body incomplete")]
    BodyIncomplete,
    /// This process has no memory for the body; the request has not run.
    #[error("no memory for the body here; it has not run")]
    NoMemory,
    /// The customer's quota is exhausted; contains the time until it suffices again.
    #[error("quota used up")]
    QuotaUsedUp(Duration),
    /// The request crashes upstreams. There is no retry delay, since a retry would be refused too.
    #[error("upstreams end while they run this request; it was not sent to any")]
    CrashesUpstreams,
    /// Upstream ends were attributed to the request and a copy of it is running; contains the time
    /// that the copy is expected to take.
    #[error("a copy of this request runs, after upstreams ended under it")]
    CopyRuns(Duration),
    /// Nobody knows at which version the stream began that the caller takes up. A retry would be
    /// refused too.
    #[error("the software version that began this stream is not known; it has not run")]
    StreamVersionUnknown,
    /// No upstream has the version at which the stream began that the caller takes up.
    #[error("no upstream has the software version that began this stream; it has not run")]
    StreamVersionGone,
    /// No upstream has capacity; the request has not run.
    #[error("no upstream has room")]
    NoRoom,
    /// The request's prompt and output exceed the memory of every engine. There is no retry delay,
    /// since a retry would be refused too.
    #[error("the request is larger than the memory of the engines; it has not run")]
    TooLargeForEngines,
    /// The service is overloaded; the request has not run. Contains the time after which its backlog
    /// is expected to be served.
    #[error("the service is overloaded; it has not run")]
    Overloaded(Duration),
    /// The request cannot be served within the time that its caller waits; it has not run. Contains
    /// the retry delay.
    #[error("it cannot be served in time; it has not run")]
    TooLate(Duration),
    /// All upstreams are rate-limited or have asked for a pause; the request has not run. Contains
    /// the time until one accepts requests again.
    #[error("the upstreams take no more requests for now")]
    HeldOff(Duration),
    /// This process is shutting down; the request has not run.
    #[error("this process is leaving")]
    Leaving,
    /// The deadline passed and the request has not run.
    #[error("the time is over; it has not run")]
    TimeOverNotRun,
    /// The deadline passed and the request may have run.
    #[error("the time is over")]
    TimeOver,
    /// The upstream gave no complete answer, and the request may have run.
    #[error("the upstream broke off")]
    Broken,
}

impl From<ReadBodyError> for Refusal {
    fn from(error: ReadBodyError) -> Self {
        match error {
            ReadBodyError::TooLarge => Self::BodyTooLarge,
            ReadBodyError::Incomplete => Self::BodyIncomplete,
            ReadBodyError::NoMemory => Self::NoMemory,
        }
    }
}

impl Refusal {
    /// Returns the HTTP status. 429 and 503 guarantee that the request has not run and will not.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::ConfigurationOld
            | Self::UnfitCustomer
            | Self::CrashesUpstreams
            | Self::CopyRuns(_)
            | Self::StreamVersionUnknown
            | Self::StreamVersionGone
            | Self::NoMemory
            | Self::NoRoom
            | Self::TooLargeForEngines
            | Self::Overloaded(_)
            | Self::TooLate(_)
            | Self::HeldOff(_)
            | Self::Leaving
            | Self::TimeOverNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::QuotaUsedUp(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn cause(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::ConfigurationOld => "configuration_old",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::UnfitCustomer => "unfit_customer",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::NoMemory => "no_memory",
            Self::QuotaUsedUp(_) => "quota_used_up",
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::CopyRuns(_) => "copy_runs",
            Self::StreamVersionUnknown => "stream_version_unknown",
            Self::StreamVersionGone => "stream_version_gone",
            Self::NoRoom => "no_room",
            Self::TooLargeForEngines => "too_large_for_engines",
            Self::Overloaded(_) => "overloaded",
            Self::TooLate(_) => "too_late",
            Self::HeldOff(_) => "held_off",
            Self::Leaving => "leaving",
            Self::TimeOverNotRun => "time_over_not_run",
            Self::TimeOver => "time_over",
            Self::Broken => "broken",
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration | Self::NoMemory | Self::Leaving => Some(OTHER_GATEWAY_DELAY),
            Self::ConfigurationOld => Some(CONFIGURATION_DELAY),
            Self::NoRoom | Self::TimeOverNotRun => Some(CAPACITY_DELAY),
            Self::QuotaUsedUp(wait)
            | Self::CopyRuns(wait)
            | Self::Overloaded(wait)
            | Self::TooLate(wait)
            | Self::HeldOff(wait) => Some(wait),
            _ => None,
        }
    }

    /// Returns the answer, with a `Retry-After` header if there is a retry delay.
    pub fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(format!("{self}\n")));
        *response.status_mut() = self.status();
        if let Some(wait) = self.retry_after() {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
