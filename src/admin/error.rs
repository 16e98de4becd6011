//! Errors of the administration API in their one form.

use super::messages::{ErrorBody, ErrorReply, FaultReply};
use crate::decision::configuration::Winner;
use crate::types::Faults;
use http::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Code of an error.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// The request cannot be read.
    InvalidRequest,
    /// The bearer key is missing or not known.
    InvalidKey,
    /// The owner's role or sections do not allow the request.
    Forbidden,
    /// Nothing is served at the path.
    UnknownPath,
    /// The path takes another method.
    UnknownMethod,
    /// The thing asked for does not exist.
    NotFound,
    /// Another edit changed a section first.
    Outdated,
    /// A section that the validation looked at changed meanwhile; validate again.
    Overtaken,
    /// A node knows the document; it needs no restoring.
    NotExpired,
    /// Another author used the edit id.
    EditIdTaken,
    /// The document that would result has faults.
    InvalidDocument,
    /// The node has no configuration yet.
    NotReady,
    /// The log did not take the edit; it was not made.
    LogUnavailable,
    /// The edit may have been made; ask again under the same id.
    OutcomeUnknown,
}

impl ErrorCode {
    /// Returns the HTTP status.
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
    /// Code.
    pub code: ErrorCode,
    /// What went wrong.
    pub message: String,
    /// Details.
    pub details: Box<ErrorDetails>,
}

/// Details of an error.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ErrorDetails {
    /// Faults of the document that would result.
    pub faults: Faults,
    /// Edit that won over a lost one.
    pub winner: Option<Winner>,
    /// Value that the winner left.
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

    /// Returns the reply.
    pub fn reply(self) -> ErrorReply {
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

/// Returns faults in the form of the API.
pub fn fault_replies(faults: &Faults) -> Vec<FaultReply> {
    let replies = faults
        .0
        .iter()
        .map(|fault| FaultReply { path: fault.path.clone(), message: fault.message.clone() });
    replies.collect()
}
