//! Exit codes and errors of the command line.

use super::client::ClientError;
use crate::admin::ErrorCode;
use crate::admin::messages::ErrorBody;

/// Exit code of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// Wrong usage, unreadable file or any other failure.
    Failure = 1,
    /// The document is invalid.
    Invalid = 2,
    /// The change conflicts with another edit or with the accepted document.
    Conflict = 3,
    /// The key is unknown or does not allow the command.
    Forbidden = 4,
    /// The node or the log could not be reached, or the node is not ready.
    Unavailable = 5,
    /// The change may have been applied.
    OutcomeUnknown = 6,
    /// The revision was not in force on all nodes before the timeout.
    TimedOut = 7,
    /// The file differs from the accepted document; nothing was changed.
    Different = 8,
    /// The document is valid, but parts of it are doubtful.
    Doubtful = 9,
}

/// Error that ends a command.
#[derive(Debug)]
pub struct CliError {
    /// Exit code of the command.
    pub status: ExitStatus,
    /// Message for people.
    pub message: String,
    /// Error reply of the API, if one was received.
    pub body: Option<Box<ErrorBody>>,
}

impl CliError {
    /// Returns an error without an error reply of the API.
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
        let status = body.code.parse().map_or(ExitStatus::Failure, exit_status);
        Self { status, message: body.message.clone(), body: Some(body) }
    }
}

fn exit_status(code: ErrorCode) -> ExitStatus {
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
