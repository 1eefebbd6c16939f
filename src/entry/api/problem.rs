//! Errors towards callers, as problem+json (RFC 9457).

use std::time::Duration;

use serde_json::{Map, Value, json};
use thiserror::Error;

use super::reply::Reply;
use crate::{
    entry::event::{BoardGone, Rejection},
    time::retry_after_seconds,
};

/// Time after which a caller may come back where the process is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(2);

/// Time after which a caller may come back with a new key.
const KEY_CLOSED_RETRY: Duration = Duration::from_secs(1);

/// Why a request gets no answer of its own.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Problem {
    /// The path is not served.
    #[error("nothing is served at {0}")]
    NotFound(String),
    /// The method does not fit the path.
    #[error("the method is not allowed here")]
    MethodNotAllowed,
    /// The body cannot be read as what the path expects.
    #[error("{0}")]
    BadRequest(String),
    /// The body is over the limit.
    #[error("the body is over the limit of {0} bytes")]
    TooLarge(u32),
    /// The caller stopped sending before the end of the body.
    #[error("the body did not come in time")]
    SlowBody,
    /// No key, or a key that belongs to nobody.
    #[error("the key is missing or unknown")]
    Unauthorized,
    /// The customer may not use the model or service.
    #[error("{0} is not offered to this customer")]
    UnknownModel(String),
    /// The request is not known here, or belongs to another customer.
    #[error("the request is not known")]
    UnknownRequest,
    /// The idempotency key was used for a different request.
    #[error("the idempotency key was used for a different request")]
    KeyReused,
    /// The request was not run.
    #[error("{reason}")]
    NotRun {
        /// Status: 429 for the customer's own limit, 503 otherwise.
        status: u16,
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: String,
    },
    /// The request may have run, and will not be run again.
    #[error("{reason}")]
    Unknown {
        /// Why.
        reason: String,
    },
    /// The key's home left before the request began, and handed over: it did
    /// not run and cannot run under this key.
    #[error("the key's entry host left before the request began; use a new key")]
    KeyClosed,
    /// The home of the key or request cannot be reached now.
    #[error("the entry host that holds this request cannot be reached; ask again")]
    HomeUnreachable,
    /// The key or request belongs to another incarnation.
    #[error("this entry host does not hold the request")]
    Misdirected,
    /// An operator's change conflicts with another.
    #[error("{message}")]
    Conflict {
        /// What conflicts.
        message: String,
        /// The item in force.
        current: Value,
    },
    /// An operator's change cannot be accepted.
    #[error("{0}")]
    Refused(String),
    /// The platform is away, so that it cannot be told what became of a job.
    #[error("the platform does not answer: {0}; the job is kept, ask again")]
    JobUnreachable(String),
    /// The platform is away, so that nothing can be accepted.
    #[error("the platform does not answer: {0}")]
    PlatformAway(String),
}

impl Problem {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::NotFound(_) | Self::UnknownRequest => 404,
            Self::MethodNotAllowed => 405,
            Self::BadRequest(_) => 400,
            Self::TooLarge(_) => 413,
            Self::SlowBody => 408,
            Self::Unauthorized => 401,
            Self::UnknownModel(_) => 404,
            Self::KeyReused | Self::Refused(_) => 422,
            Self::NotRun { status, .. } => *status,
            Self::Unknown { .. } => 502,
            Self::HomeUnreachable
            | Self::PlatformAway(_)
            | Self::JobUnreachable(_)
            | Self::KeyClosed => 503,
            Self::Misdirected => 421,
            Self::Conflict { .. } => 409,
        }
    }

    /// Returns the short name of the kind of problem.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotFound(_) => "not-found",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::BadRequest(_) => "bad-request",
            Self::TooLarge(_) => "too-large",
            Self::SlowBody => "slow-body",
            Self::Unauthorized => "unauthorized",
            Self::UnknownModel(_) => "unknown-model",
            Self::UnknownRequest => "unknown-request",
            Self::KeyReused => "key-reused",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "outcome-unknown",
            Self::KeyClosed => "key-closed",
            Self::HomeUnreachable => "home-unreachable",
            Self::Misdirected => "misdirected",
            Self::Conflict { .. } => "conflict",
            Self::Refused(_) => "refused",
            Self::PlatformAway(_) => "platform-away",
            Self::JobUnreachable(_) => "job-unreachable",
        }
    }

    /// Returns which of the three outcomes this is; `None` where the request
    /// was never one that could run.
    fn outcome(&self) -> Option<&'static str> {
        match self {
            Self::NotRun { .. } | Self::PlatformAway(_) | Self::KeyClosed => Some("not_run"),
            Self::Unknown { .. } => Some("unknown"),
            Self::HomeUnreachable | Self::JobUnreachable(_) => Some("pending"),
            _ => None,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => Some(*retry_after),
            Self::HomeUnreachable | Self::PlatformAway(_) | Self::JobUnreachable(_) => {
                Some(NOT_READY_RETRY)
            }
            Self::KeyClosed => Some(KEY_CLOSED_RETRY),
            _ => None,
        }
    }

    /// Returns the body.
    pub fn body(&self) -> Value {
        let mut body = Map::new();
        body.insert("type".into(), json!(format!("urn:tackhollow:{}", self.kind())));
        body.insert("title".into(), json!(self.kind()));
        body.insert("status".into(), json!(self.status()));
        body.insert("detail".into(), json!(self.to_string()));
        if let Some(outcome) = self.outcome() {
            body.insert("outcome".into(), json!(outcome));
        }
        if let Some(wait) = self.retry_after() {
            body.insert("retry_after_ms".into(), json!(wait.as_millis() as u64));
        }
        if let Self::Conflict { current, .. } = self {
            body.insert("current".into(), current.clone());
        }
        Value::Object(body)
    }

    /// Returns the answer.
    pub fn into_reply(self) -> Reply {
        let mut reply = Reply::json(self.status(), &self.body());
        reply.set_content_type("application/problem+json");
        if let Some(wait) = self.retry_after() {
            reply.set_header("Retry-After", &retry_after_seconds(wait).to_string());
        }
        reply
    }
}

impl From<BoardGone> for Problem {
    fn from(_: BoardGone) -> Self {
        Self::from(Rejection::Leaving)
    }
}

impl From<Rejection> for Problem {
    fn from(rejection: Rejection) -> Self {
        let not_run = |status, retry_after, reason: &str| Self::NotRun {
            status,
            retry_after,
            reason: reason.to_owned(),
        };
        match rejection {
            Rejection::UnknownKey => Self::Unauthorized,
            Rejection::UnknownModel(model) => Self::UnknownModel(model),
            Rejection::NotReady => not_run(503, NOT_READY_RETRY, "there is no configuration yet"),
            Rejection::Full { retry_after } => not_run(429, retry_after, "there is no room now"),
            Rejection::Leaving => {
                not_run(503, Duration::from_secs(1), "this entry host leaves; use another")
            }
        }
    }
}
