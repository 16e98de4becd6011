//! Refusals: answers that the relay itself gives to requests that it cannot serve.

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

/// Minimum delay after which a refused caller is told to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Retry delay while the node has no configuration or no list of servers.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum random increase of the retry delay, as a fraction of it, so that callers do not retry
/// all at once.
const MAX_RETRY_JITTER: f64 = 0.5;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No configuration or no list of servers is known yet.
    Unconfigured,
    /// The node lacks a newer configuration that it knows of.
    #[strum(serialize = "outdated_configuration")]
    Outdated,
    /// No route matches.
    NoRoute,
    /// The API key belongs to no workspace.
    UnknownKey,
    /// The request has no id.
    NoRequestId,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive completely.
    BodyIncomplete,
    /// The node has no memory for the body.
    NoRoom,
    /// Servers crashed while they ran the request, often enough to refuse it.
    Poison,
    /// Requests with the same keys, or with ones that may have caused the same crashes, run first.
    Suspect,
    /// The node is stopping, and could not serve the request before.
    Stopping,
    /// No server can accept the request.
    Unavailable(UnavailableReason),
    /// The expected wait at the servers is too long.
    Overloaded,
    /// The workspace is over its quota.
    OverQuota,
    /// The request is larger than what the quota of its workspace ever allows at one moment.
    QuotaTooSmall,
    /// No owner of the workspace's quota has answered.
    QuotaUnknown,
    /// The software version that began the stream is not certain.
    UnknownStream,
    /// No server ran the request.
    NotRun,
    /// A server may have run the request, but its answer was lost.
    OutcomeUnknown,
    /// The answer did not come from the server or does not fit the request.
    BadAnswer,
    /// The deadline of the request has passed.
    TimedOut,
}

impl RefusalReason {
    /// Returns the status code. 429 and 503 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRequestId | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverQuota | Self::QuotaTooSmall => StatusCode::TOO_MANY_REQUESTS,
            Self::Unconfigured
            | Self::Outdated
            | Self::NoRoom
            | Self::QuotaUnknown
            | Self::Poison
            | Self::Stopping
            | Self::Suspect
            | Self::Unavailable(_)
            | Self::Overloaded
            | Self::UnknownStream
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown | Self::BadAnswer => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the status promises that the request has not run and never will.
    pub fn promises_no_run(self) -> bool {
        matches!(self.status(), StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Returns the name used in logs and metrics.
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
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// When the caller should retry, `None` if retrying soon makes no difference.
    pub retry_at: Option<Instant>,
}

impl Refusal {
    /// Returns a refusal without a retry time.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_at: None }
    }

    /// Returns a refusal that tells the caller to retry at `retry_at`.
    pub fn with_retry(reason: RefusalReason, retry_at: Instant) -> Self {
        Self { reason, retry_at: Some(retry_at) }
    }

    /// Returns the refusal of a node without a configuration or a list of servers.
    pub fn unconfigured(now: Instant) -> Self {
        Self::with_retry(RefusalReason::Unconfigured, now + UNCONFIGURED_RETRY_DELAY)
    }

    /// Returns the refusal of a node that is stopping; other nodes take the request at once.
    pub fn stopping(now: Instant) -> Self {
        Self::with_retry(RefusalReason::Stopping, now)
    }

    /// Counts the refusal and returns the answer for the caller.
    pub fn reply(self, context: &RelayContext, request: Option<&RequestId>) -> Reply {
        let labels = ReasonLabels { reason: self.reason.name().to_owned() };
        context.metrics.refusals.get_or_create(&labels).inc();
        let mut reply = Response::new(full_body(Bytes::new()));
        *reply.status_mut() = self.reason.status();
        if let Some(request) = request {
            context.ports.dialect.write_request_id(reply.headers_mut(), request);
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
