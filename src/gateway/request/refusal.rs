//! Answers of this system's own: refusals and failures.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use thiserror::Error;

use crate::gateway::net::{AnswerBody, full_body};

/// Time after which a caller is asked to come back to a process that has no
/// configuration yet or is leaving: others can serve it at once.
const SOON: Duration = Duration::from_millis(200);
/// Time after which a configuration that is old is likely to be renewed, if the store
/// answers by then.
const FRESH: Duration = Duration::from_millis(1_000);
/// Time after which room at upstreams is likely again.
const ROOM: Duration = Duration::from_millis(600);

/// Why a request got no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// This process knows no configuration yet, or knows that it has an old one.
    #[error("no configuration yet")]
    NoConfiguration,
    /// The configuration here allows it not, and may be older than the newest one.
    #[error("the configuration here may be old")]
    ConfigurationOld,
    /// No route matches.
    #[error("no such route")]
    NoRoute,
    /// The key is not known.
    #[error("unknown key")]
    UnknownKey,
    /// The body is too large.
    #[error("body too large")]
    BodyTooLarge,
    /// The body broke off.
    #[error("body incomplete")]
    BodyIncomplete,
    /// The customer's quota is used up for so long.
    #[error("quota used up")]
    QuotaUsedUp(Duration),
    /// Upstreams end under it. No time to come back is told: there is none.
    #[error("upstreams end while they run this request; it was not sent to any")]
    CrashesUpstreams,
    /// Upstreams ended under it, and a copy of it runs for so long.
    #[error("a copy of this request runs, after upstreams ended under it")]
    CopyRuns(Duration),
    /// No upstream takes it; it has not run.
    #[error("no upstream has room")]
    NoRoom,
    /// All upstreams have named limits or asked for rest, and take nothing for so long; it
    /// has not run.
    #[error("the upstreams take no more requests for now")]
    HeldOff(Duration),
    /// This process is leaving; it has not run.
    #[error("this process is leaving")]
    Leaving,
    /// The time is over and it has not run.
    #[error("the time is over; it has not run")]
    TimeOverNotRun,
    /// The time is over and it may have run.
    #[error("the time is over")]
    TimeOver,
    /// The upstream broke off and it may have run.
    #[error("the upstream broke off")]
    Broken,
}

impl Refusal {
    /// Returns the status. 429 and 503 promise that the request has not run
    /// and will not.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::ConfigurationOld
            | Self::CrashesUpstreams
            | Self::CopyRuns(_)
            | Self::NoRoom
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

    /// Returns a word for logs and metrics.
    pub fn cause(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::ConfigurationOld => "configuration_old",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::QuotaUsedUp(_) => "quota_used_up",
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::CopyRuns(_) => "copy_runs",
            Self::NoRoom => "no_room",
            Self::HeldOff(_) => "held_off",
            Self::Leaving => "leaving",
            Self::TimeOverNotRun => "time_over_not_run",
            Self::TimeOver => "time_over",
            Self::Broken => "broken",
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration | Self::Leaving => Some(SOON),
            Self::ConfigurationOld => Some(FRESH),
            Self::NoRoom | Self::TimeOverNotRun => Some(ROOM),
            Self::QuotaUsedUp(wait) | Self::CopyRuns(wait) | Self::HeldOff(wait) => Some(wait),
            _ => None,
        }
    }

    /// Returns the answer.
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
