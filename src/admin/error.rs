//! Errors of the administration API; every endpoint replies with the same form.

use super::messages::{ErrorBody, ErrorReply, FaultReply};
use crate::decision::configuration::Winner;
use crate::types::Faults;
use http::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Error code for programs; each maps to one HTTP status.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    InvalidRequest,
    /// The bearer key is missing or unknown.
    InvalidKey,
    /// The caller's role or sections do not allow the request.
    Forbidden,
    /// The path does not exist.
    UnknownPath,
    /// The path exists but not with this method.
    UnknownMethod,
    /// The requested edit does not exist or is no longer in the history.
    NotFound,
    /// Another edit changed a section first.
    Outdated,
    /// A section that the validation depended on has changed; the edit must be validated again.
    Overtaken,
    /// The document has not expired or a node still has it, so it cannot be restored.
    NotExpired,
    /// Another author has used the edit id.
    EditIdTaken,
    /// The resulting document would be invalid.
    InvalidDocument,
    /// The node has no configuration yet.
    NotReady,
    /// The record could not be appended to the log; nothing was changed.
    LogUnavailable,
    /// The record may have been appended. An edit may be retried under the same id.
    OutcomeUnknown,
}

impl ErrorCode {
    /// Returns the HTTP status of a reply with this code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::InvalidRequest => StatusCode::BAD_REQUEST,
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::UnknownPath | Self::NotFound => StatusCode::NOT_FOUND,
            Self::UnknownMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::Outdated | Self::Overtaken | Self::EditIdTaken | Self::NotExpired => {
                StatusCode::CONFLICT
            }
            Self::InvalidDocument => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NotReady | Self::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Error of the administration API.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminError {
    /// Code for programs.
    pub code: ErrorCode,
    /// Message for people.
    pub message: String,
    /// Details for the reply body.
    pub details: Box<ErrorDetails>,
}

/// Details of an error; each is empty where it does not apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ErrorDetails {
    /// Faults of the resulting document.
    pub faults: Faults,
    /// Edit that the rejected edit conflicted with.
    pub winner: Option<Winner>,
    /// Current value of the section in conflict, none if it is removed.
    pub current: Option<Value>,
}

impl AdminError {
    /// Returns an error without details.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::with_details(code, message, ErrorDetails::default())
    }

    /// Returns an error with details.
    pub fn with_details(
        code: ErrorCode,
        message: impl Into<String>,
        details: ErrorDetails,
    ) -> Self {
        Self { code, message: message.into(), details: Box::new(details) }
    }

    /// Converts the error into the reply body.
    pub fn into_reply(self) -> ErrorReply {
        let code: &'static str = self.code.into();
        let ErrorDetails { faults, winner, current } = *self.details;
        ErrorReply {
            error: ErrorBody {
                message: self.message,
                code: SmolStr::new_static(code),
                faults: fault_replies(&faults),
                winner,
                current,
            },
        }
    }
}

/// Converts faults of a document into their form in the API.
pub fn fault_replies(faults: &Faults) -> Vec<FaultReply> {
    let replies = faults
        .0
        .iter()
        .map(|fault| FaultReply { path: fault.path.clone(), message: fault.message.clone() });
    replies.collect()
}
