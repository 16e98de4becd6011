//! Answers of the relay's own, given at once when a request cannot be served.

use super::RelayContext;
use crate::adapters::http_server::Reply;
use crate::decision::relay::UnavailableReason;
use crate::metrics::labels::ReasonLabels;
use crate::traffic::reply::full_body;
use crate::types::RequestId;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Least time before a caller comes back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Wait before a caller comes back while the node knows no configuration.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Part of the wait by which callers are spread, so that they do not come back together.
const MAX_RETRY_JITTER: f64 = 0.5;

/// Why the relay answers itself.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No configuration or no list of servers is known yet.
    Unconfigured,
    /// No route matches.
    NoRoute,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The request has no id.
    NoRequestId,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive whole.
    BodyIncomplete,
    /// The request crashed servers before.
    Poison,
    /// No server can take the request.
    Unavailable(UnavailableReason),
    /// The servers have more work than the caller's patience.
    Overloaded,
    /// The servers that had the request did not run it.
    NotRun,
    /// The outcome of the request is unknown.
    OutcomeUnknown,
    /// The answer was not a server's own.
    BadAnswer,
    /// The request's time is over.
    TimedOut,
}

impl RefusalReason {
    /// Returns the status. 429 and 503 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRequestId | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unconfigured
            | Self::Poison
            | Self::Unavailable(_)
            | Self::Overloaded
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown | Self::BadAnswer => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unavailable(reason) => reason.into(),
            reason => reason.into(),
        }
    }
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_at: Option<Instant>,
}

impl Refusal {
    /// Returns a refusal after which coming back soon makes no difference.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_at: None }
    }

    /// Returns a refusal that asks the caller to come back.
    pub fn with_retry(reason: RefusalReason, retry_at: Instant) -> Self {
        Self { reason, retry_at: Some(retry_at) }
    }

    /// Returns the refusal of a node that knows too little to serve yet.
    pub fn unconfigured(now: Instant) -> Self {
        Self::with_retry(RefusalReason::Unconfigured, now + UNCONFIGURED_RETRY_DELAY)
    }

    /// Counts the refusal and returns the answer.
    pub fn reply(self, context: &RelayContext, request: Option<&RequestId>) -> Reply {
        let labels = ReasonLabels { reason: self.reason.name().to_owned() };
        context.metrics.refusals.get_or_create(&labels).inc();
        let mut reply = Response::new(full_body(Bytes::new()));
        *reply.status_mut() = self.reason.status();
        if let Some(request) = request {
            context.ports.dialect.write_answer(reply.headers_mut(), request);
        }
        if let Some(retry_at) = self.retry_at {
            let delay = retry_at.saturating_duration_since(Instant::now()).max(MIN_RETRY_DELAY);
            let jitter = 1.0 + MAX_RETRY_JITTER * fastrand::f64();
            let seconds = format!("{:.3}", delay.as_secs_f64() * jitter);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        reply
    }
}
