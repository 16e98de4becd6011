//! Handler that restores a document whose records expired from the log while no node was running.

use super::error::{AdminError, ErrorCode, ErrorDetails};
use super::messages::{EditReply, RestoreRequest};
use super::server::AdminContext;
use super::view::AdminView;
use crate::decision::configuration::{ConfigurationRecord, validate_json};
use crate::ports::LogStream;
use crate::types::{Delivery, EditId, LogOffset};
use smol::Timer;
use std::time::{Duration, Instant};

/// Timeout for reading the appended record back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two polls of the folded state.
const FOLD_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Appends the document as a new base of the configuration stream and waits until this node has
/// folded it.
///
/// # Errors
///
/// [`ErrorCode::NotExpired`] if a node still has a configuration, [`ErrorCode::NotReady`] if this
/// node has not read the stream yet, [`ErrorCode::InvalidDocument`] if the document has faults,
/// [`ErrorCode::LogUnavailable`] if the record was not appended, and [`ErrorCode::OutcomeUnknown`]
/// if it may have been or is not read back in time.
pub async fn restore(
    context: &AdminContext,
    request: RestoreRequest,
) -> Result<EditReply, AdminError> {
    let expired_to = require_expired(&context.view())?;
    let validated = validate_json(request.document, expired_to).map_err(|faults| {
        let details = ErrorDetails { faults, ..ErrorDetails::default() };
        AdminError::with_details(ErrorCode::InvalidDocument, "the document has faults", details)
    })?;
    let payload = ConfigurationRecord::restored_snapshot(&validated.raw, expired_to).encode();
    log::warn!("event=configuration_restore expired_to={expired_to}");
    context.log.append(LogStream::Configuration, payload).await.map_err(|error| {
        let code = match error.delivery {
            Delivery::NotSent | Delivery::Refused => ErrorCode::LogUnavailable,
            Delivery::Unknown => ErrorCode::OutcomeUnknown,
        };
        AdminError::new(code, error.to_string())
    })?;
    let deadline = Instant::now() + READ_BACK_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(state) = &context.view().configuration.state {
            return Ok(EditReply { edit_id: EditId::default(), revision: state.revision });
        }
        Timer::after(FOLD_POLL_PERIOD).await;
    }
    Err(AdminError::new(ErrorCode::OutcomeUnknown, "the record was not read back in time"))
}

/// Checks that no known node has a configuration; returns the last offset of the expired stream.
fn require_expired(view: &AdminView) -> Result<LogOffset, AdminError> {
    let configured =
        view.nodes.iter().find(|node| node.configuration_offset.is_some_and(|offset| offset > 0));
    if let Some(node) = configured {
        let message = format!("node `{}` knows the configuration", node.instance);
        return Err(AdminError::new(ErrorCode::NotExpired, message));
    }
    if view.configuration.state.is_some() {
        return Err(AdminError::new(ErrorCode::NotExpired, "the stream has not expired"));
    }
    view.configuration
        .expired_to
        .ok_or_else(|| AdminError::new(ErrorCode::NotReady, "the node has not read the stream yet"))
}
