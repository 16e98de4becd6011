//! Restores a document whose records expired on the log while no node ran.

use super::error::{AdminError, ErrorCode, ErrorDetails};
use super::messages::{EditReply, RestoreRequest};
use super::server::AdminContext;
use super::view::AdminView;
use crate::decision::configuration::{ConfigurationRecord, validate_json};
use crate::ports::LogStream;
use crate::types::{Delivery, EditId, LogOffset};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time that the record may take to be read back.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two looks at the folded state.
const FOLD_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Appends the document as the base of the stream and waits until this node has it.
///
/// # Errors
///
/// A document that some node still knows or that has faults, or a log that does not answer.
pub async fn restore(
    context: &AdminContext,
    request: RestoreRequest,
) -> Result<EditReply, AdminError> {
    let expired_to = find_expired(&context.view())?;
    let checked = validate_json(request.document, expired_to).map_err(|faults| {
        let details = ErrorDetails { faults, ..ErrorDetails::default() };
        AdminError::with_details(ErrorCode::InvalidDocument, "the document has faults", details)
    })?;
    let payload = ConfigurationRecord::restored_snapshot(&checked.raw, expired_to).encode();
    log::warn!("event=configuration_restore expired_to={expired_to}");
    context.log.append(LogStream::Configuration, payload).await.map_err(|error| {
        let code = match error.delivery {
            Delivery::NotSent | Delivery::Refused => ErrorCode::LogUnavailable,
            Delivery::Unknown => ErrorCode::OutcomeUnknown,
        };
        AdminError::new(code, error.to_string())
    })?;
    let deadline = Instant::now() + RESTORE_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(state) = &context.view().configuration.state {
            return Ok(EditReply { edit_id: EditId::default(), revision: state.revision });
        }
        Timer::after(FOLD_CHECK_PERIOD).await;
    }
    Err(AdminError::new(ErrorCode::OutcomeUnknown, "the record was not read back in time"))
}

fn find_expired(view: &AdminView) -> Result<LogOffset, AdminError> {
    let knows = view.nodes.iter().find(|node| node.configuration_offset.is_some_and(|at| at > 0));
    if let Some(node) = knows {
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
