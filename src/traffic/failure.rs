//! Errors returned to callers, in the format of the model endpoints.

use super::RunState;
use http::StatusCode;
use std::time::Instant;
use strum::{Display, EnumIter, IntoStaticStr};

/// Code of an error.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum FailureCode {
    /// The bearer key is missing or unknown.
    InvalidApiKey,
    /// No endpoint has the path.
    UnknownPath,
    /// The endpoint does not accept the method.
    UnknownMethod,
    /// The model is not in the document.
    ModelNotFound,
    /// The plain service is not in the document.
    ServiceNotFound,
    /// The body is not valid JSON.
    InvalidJson,
    /// A field of the request is not valid.
    InvalidRequest,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The node has no memory for the body.
    NoRoom,
    /// The node has not received a document yet.
    NotReady,
    /// No backend server can take the request.
    NoServer,
    /// A limit of the workspace is reached.
    RateLimited,
    /// The system lacks the capacity to run the request in time.
    Overloaded,
    /// The request crashed more than one backend server.
    PoisonRequest,
    /// The request was stopped because the power budget no longer covers it.
    PowerWithdrawn,
    /// Attempts failed, and no retry is made.
    UpstreamFailed,
    /// The answer exceeds its limit.
    AnswerTooLarge,
    /// The idempotency key is in use or was used.
    KeyAlreadyUsed,
    /// The idempotency key is not valid or too old.
    InvalidKey,
    /// The idempotency key could not be claimed, for example because the platform's log is down.
    ClaimUnavailable,
}

impl FailureCode {
    /// Returns the HTTP status of a response with this code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::InvalidApiKey => StatusCode::UNAUTHORIZED,
            Self::UnknownPath | Self::ModelNotFound | Self::ServiceNotFound => {
                StatusCode::NOT_FOUND
            }
            Self::UnknownMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::InvalidJson | Self::InvalidRequest | Self::InvalidKey => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom
            | Self::NotReady
            | Self::NoServer
            | Self::PowerWithdrawn
            | Self::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::RateLimited | Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::PoisonRequest => StatusCode::UNPROCESSABLE_ENTITY,
            Self::UpstreamFailed | Self::AnswerTooLarge => StatusCode::BAD_GATEWAY,
            Self::KeyAlreadyUsed => StatusCode::CONFLICT,
        }
    }

    /// Returns the value of the field `type` in the error body.
    pub fn error_type(self) -> &'static str {
        match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_server_error() => "server_error",
            _ => "invalid_request_error",
        }
    }
}

/// Error returned to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Code.
    pub code: FailureCode,
    /// Human-readable message.
    pub message: String,
    /// Whether the request was run.
    pub run_state: RunState,
    /// When the caller may retry, if a retry can succeed.
    pub retry_at: Option<Instant>,
}

impl Failure {
    /// Returns the failure of a request that was not run.
    pub fn not_run(code: FailureCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run_state: RunState::NotRun, retry_at: None }
    }

    /// Returns the failure of a request that may have run.
    pub fn outcome_unknown(code: FailureCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run_state: RunState::OutcomeUnknown, retry_at: None }
    }

    /// Sets the time from which the caller may retry.
    pub fn retry_at(mut self, retry_at: Instant) -> Self {
        self.retry_at = Some(retry_at);
        self
    }
}
