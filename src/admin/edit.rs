//! Handlers that validate and make edits.

use super::access::AdminCaller;
use super::error::{AdminError, ErrorCode, ErrorDetails, fault_replies};
use super::messages::{EditReply, ValidateReply, ValidateRequest};
use super::read::state;
use super::server::AdminContext;
use super::view::AdminView;
use crate::control::TrafficReport;
use crate::decision::configuration::prepare::validate_changes;
use crate::decision::configuration::{
    ConfigurationRecord, ConfigurationState, EditOutcome, EditRefusal, EditRequest, prepare_edit,
};
use crate::ports::LogStream;
use crate::types::{Delivery, LogOffset, Revision};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time that an edit may take to be appended and read back.
const EDIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two looks at the folded state.
const FOLD_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Time between two attempts to append.
const APPEND_RETRY_PERIOD: Duration = Duration::from_millis(200);

/// Validates changes without making them.
///
/// # Errors
///
/// A node that has not read the configuration yet.
pub fn validate(view: &AdminView, request: &ValidateRequest) -> Result<ValidateReply, AdminError> {
    let state = state(view)?;
    let faults = match validate_changes(state, &request.changes) {
        Ok(_) => Vec::new(),
        Err(faults) => fault_replies(&faults),
    };
    Ok(ValidateReply { revision: state.revision, faults })
}

/// What is known of an edit's record on the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Appended {
    /// No attempt can have reached the log.
    No,
    /// An attempt may have reached the log.
    Perhaps,
    /// The log gave this offset.
    At(LogOffset),
}

/// Makes an edit and waits until its outcome is known.
///
/// The record is appended again under the same id while no answer of the log has come; only the
/// first one counts.
///
/// # Errors
///
/// The reason why the edit was not made, or that its outcome is not known.
pub async fn submit(
    context: &AdminContext,
    caller: &AdminCaller,
    request: EditRequest,
) -> Result<EditReply, AdminError> {
    let deadline = Instant::now() + EDIT_TIMEOUT;
    let mut appended = Appended::No;
    let mut next_append_at = Instant::now();
    while Instant::now() < deadline {
        let view = context.view();
        let state = state(&view)?;
        if let Some(revision) = outcome(state, caller, &request)? {
            log_edit(caller, &request, "accepted");
            return Ok(EditReply { edit_id: request.edit_id, revision });
        }
        let must_append = match appended {
            Appended::No | Appended::Perhaps => Instant::now() >= next_append_at,
            Appended::At(_) => false,
        };
        if must_append {
            appended = append(context, caller, &request, state, appended).await?;
            next_append_at = Instant::now() + APPEND_RETRY_PERIOD;
        }
        Timer::after(FOLD_CHECK_PERIOD).await;
    }
    log_edit(caller, &request, "given_up");
    Err(given_up(appended))
}

/// Returns the revision if the edit was accepted, none while it has not been read back.
fn outcome(
    state: &ConfigurationState,
    caller: &AdminCaller,
    request: &EditRequest,
) -> Result<Option<Revision>, AdminError> {
    let Some(entry) = state.find_edit(&request.edit_id) else {
        return Ok(None);
    };
    if entry.author != caller.name {
        let message = format!("edit id `{}` was used by `{}`", request.edit_id, entry.author);
        return Err(AdminError::new(ErrorCode::EditIdTaken, message));
    }
    match &entry.outcome {
        EditOutcome::Accepted => Ok(Some(entry.offset)),
        outdated => Err(outdated_error(state, outdated)),
    }
}

async fn append(
    context: &AdminContext,
    caller: &AdminCaller,
    request: &EditRequest,
    state: &ConfigurationState,
    appended: Appended,
) -> Result<Appended, AdminError> {
    let edit = match prepare_edit(state, request.clone(), (&caller.name, &caller.owner)) {
        Ok(edit) => edit,
        Err(EditRefusal::Outdated(_)) if appended != Appended::No => return Ok(appended),
        Err(refusal) => return Err(refusal_error(state, refusal)),
    };
    let payload = ConfigurationRecord::Edit(edit).encode();
    match context.log.append(LogStream::Configuration, payload).await {
        Ok(offset) => {
            context.traffic.report(TrafficReport::ConfigurationAppended);
            Ok(Appended::At(offset))
        }
        Err(error) => {
            log::warn!("event=edit_append_failed edit_id={} {error}", request.edit_id);
            match error.delivery {
                Delivery::NotSent | Delivery::Refused => Ok(appended),
                Delivery::Unknown => Ok(Appended::Perhaps),
            }
        }
    }
}

fn refusal_error(state: &ConfigurationState, refusal: EditRefusal) -> AdminError {
    match refusal {
        EditRefusal::Malformed(message) => AdminError::new(ErrorCode::InvalidRequest, message),
        EditRefusal::NotOwner(section) => {
            let message = format!("the key may not edit section `{section}`");
            AdminError::new(ErrorCode::Forbidden, message)
        }
        EditRefusal::Outdated(outcome) => outdated_error(state, &outcome),
        EditRefusal::Invalid(faults) => AdminError::with_details(
            ErrorCode::InvalidDocument,
            "the document would have faults",
            ErrorDetails { faults, ..ErrorDetails::default() },
        ),
    }
}

fn outdated_error(state: &ConfigurationState, outcome: &EditOutcome) -> AdminError {
    match outcome {
        EditOutcome::Lost(winner) => {
            let message = format!(
                "section `{}` is at revision {} by `{}`",
                winner.section, winner.revision, winner.author
            );
            let current = state.sections.get(&winner.section).and_then(|s| s.value.clone());
            let winner = Some(winner.clone());
            let details = ErrorDetails { winner, current, ..ErrorDetails::default() };
            AdminError::with_details(ErrorCode::Outdated, message, details)
        }
        EditOutcome::Overtaken(kind) => {
            let message = format!("a section of `{}` changed meanwhile; try again", kind.kind);
            AdminError::new(ErrorCode::Overtaken, message)
        }
        EditOutcome::Accepted => {
            AdminError::new(ErrorCode::OutcomeUnknown, "the edit was accepted meanwhile")
        }
    }
}

fn given_up(appended: Appended) -> AdminError {
    match appended {
        Appended::No => AdminError::new(
            ErrorCode::LogUnavailable,
            "the log could not be reached; the edit was not made",
        ),
        Appended::Perhaps | Appended::At(_) => AdminError::new(
            ErrorCode::OutcomeUnknown,
            "the edit may have been made; send it again under the same id",
        ),
    }
}

fn log_edit(caller: &AdminCaller, request: &EditRequest, outcome: &str) {
    log::info!("event=edit edit_id={} author={} outcome={outcome}", request.edit_id, caller.name);
}
