//! Exit codes and errors of the command line.

use super::client::ClientError;
use crate::admin::ErrorCode;
use crate::admin::messages::ErrorBody;

/// Exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Wrong use, unreadable file or any other failure.
    Failure = 1,
    /// The document would have faults.
    Invalid = 2,
    /// Somebody else changed a section first.
    Conflict = 3,
    /// The key is not known or may not do this.
    Forbidden = 4,
    /// The node or the log could not be reached; nothing was changed.
    Unavailable = 5,
    /// The change may have been made.
    OutcomeUnknown = 6,
    /// The revision is not in force on all nodes yet.
    TimedOut = 7,
    /// There are differences.
    Different = 8,
}

/// Error that ends a command.
#[derive(Debug)]
pub struct CliError {
    /// Exit code.
    pub status: ExitStatus,
    /// What went wrong.
    pub message: String,
    /// Error of the API, if one was received.
    pub body: Option<Box<ErrorBody>>,
}

impl CliError {
    /// Returns an error without a reply of the API.
    pub fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self { status, message: message.into(), body: None }
    }
}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        let body = match error {
            ClientError::Refused(body) => body,
            ClientError::Peer(error) => {
                return Self::new(ExitStatus::Unavailable, error.to_string());
            }
        };
        let status = body.code.parse().map_or(ExitStatus::Failure, status_of);
        Self { status, message: body.message.clone(), body: Some(body) }
    }
}

fn status_of(code: ErrorCode) -> ExitStatus {
    match code {
        ErrorCode::InvalidRequest
        | ErrorCode::UnknownPath
        | ErrorCode::UnknownMethod
        | ErrorCode::NotFound => ExitStatus::Failure,
        ErrorCode::InvalidKey | ErrorCode::Forbidden => ExitStatus::Forbidden,
        ErrorCode::Outdated
        | ErrorCode::Overtaken
        | ErrorCode::EditIdTaken
        | ErrorCode::NotExpired => ExitStatus::Conflict,
        ErrorCode::InvalidDocument => ExitStatus::Invalid,
        ErrorCode::NotReady | ErrorCode::LogUnavailable => ExitStatus::Unavailable,
        ErrorCode::OutcomeUnknown => ExitStatus::OutcomeUnknown,
    }
}
