//! Commands that apply a change and wait until it is in force on all nodes.

use super::client::{AdminClient, ClientError};
use super::config::{PlannedChange, plan};
use super::diff::{differences, format_difference};
use super::exit::{CliError, ExitStatus};
use super::options::{Change, Connection};
use super::output::{print_json, print_line};
use crate::admin::ErrorCode;
use crate::admin::messages::{EditReply, NodeState, NodesReply};
use crate::decision::configuration::EditRequest;
use crate::types::Revision;
use serde_json::json;
use smol::Timer;
use smol_str::format_smolstr;
use std::io::BufRead;
use std::time::{Duration, Instant};

/// Time between two polls of the nodes, and before an edit is sent again.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of times that a change is planned, including the plan shown to the user. It is
/// planned again if sections that its validation depends on have changed.
const MAX_PLANS: u32 = 5;
/// Maximum number of times that an edit is sent while no reply arrives or its outcome is unknown.
const MAX_SENDS: u32 = 5;

/// Options of `apply`.
#[derive(Clone, Copy, Debug)]
pub struct ApplyOptions {
    /// Apply without asking for confirmation.
    pub yes: bool,
    /// Return once the edit is accepted, without waiting for the nodes.
    pub no_wait: bool,
    /// Maximum time to wait for the nodes.
    pub timeout_s: u64,
}

/// Prints the differences that a file makes, applies them after confirmation and waits until they
/// are in force.
pub async fn apply(
    connection: &Connection,
    change: &Change,
    options: ApplyOptions,
) -> Result<ExitStatus, CliError> {
    let planned = plan(connection, change).await?;
    if planned.changes.is_empty() {
        print_line(if connection.json { "{}" } else { "nothing to change" });
        return Ok(ExitStatus::Success);
    }
    print_differences(connection, &planned);
    if !options.yes && !confirm()? {
        return Ok(ExitStatus::Different);
    }
    let reply = submit(connection, change, planned).await?;
    if connection.json {
        print_json(&reply);
    } else {
        print_line(&format!("accepted as revision {}", reply.revision));
    }
    if options.no_wait {
        return Ok(ExitStatus::Success);
    }
    wait(connection, reply.revision, options.timeout_s).await
}

/// Waits until `revision` is in force on all nodes except suspected ones.
pub async fn wait(
    connection: &Connection,
    revision: Revision,
    timeout_s: u64,
) -> Result<ExitStatus, CliError> {
    let client = connection.client();
    let deadline = Instant::now() + Duration::from_secs(timeout_s);
    let mut printed = String::new();
    loop {
        let reply: NodesReply = client.get("/admin/v1/nodes").await?;
        let responding = reply.nodes.iter().filter(|node| node.state != NodeState::Suspected);
        let (updated, outdated): (Vec<_>, Vec<_>) =
            responding.partition(|node| node.in_force.is_some_and(|in_force| in_force >= revision));
        let progress =
            format!("in force on {} of {} nodes", updated.len(), updated.len() + outdated.len());
        if progress != printed {
            eprintln!("{progress}");
            printed = progress;
        }
        if outdated.is_empty() {
            return Ok(ExitStatus::Success);
        }
        if Instant::now() >= deadline {
            let names: Vec<&str> = outdated.iter().map(|node| node.instance.as_str()).collect();
            let message = format!("revision {revision} is not in force on {}", names.join(", "));
            return Err(CliError::new(ExitStatus::TimedOut, message));
        }
        Timer::after(POLL_PERIOD).await;
    }
}

fn print_differences(connection: &Connection, planned: &PlannedChange) {
    let found = differences(&planned.accepted, &planned.changes);
    if connection.json {
        eprintln!("{}", json!(found));
    } else {
        found.iter().for_each(|difference| print_line(&format_difference(difference)));
    }
}

fn confirm() -> Result<bool, CliError> {
    eprint!("apply? [y/N] ");
    let mut answer = String::new();
    std::io::stdin()
        .lock()
        .read_line(&mut answer)
        .map_err(|error| CliError::new(ExitStatus::Failure, error.to_string()))?;
    Ok(matches!(answer.trim(), "y" | "Y" | "yes"))
}

/// Submits the planned changes as an edit. If another edit has overtaken their validation, plans
/// them again and retries, as long as the changes are the ones shown to the user.
async fn submit(
    connection: &Connection,
    change: &Change,
    planned: PlannedChange,
) -> Result<EditReply, CliError> {
    let client = connection.client();
    let changes = planned.changes;
    for _ in 1..MAX_PLANS {
        let edit_id = format_smolstr!("{:016x}", fastrand::u64(..));
        let request = EditRequest { edit_id, changes: changes.clone() };
        match send_edit(&client, &request).await {
            Err(ClientError::Refused(body)) if is_code(&body.code, ErrorCode::Overtaken) => {}
            other => return Ok(other?),
        }
        let replanned = plan(connection, change).await?;
        if replanned.changes != changes {
            let message = "the document has changed; review the differences and apply again";
            return Err(CliError::new(ExitStatus::Conflict, message));
        }
    }
    let message = "other sections of the document keep changing; try again later";
    Err(CliError::new(ExitStatus::Conflict, message))
}

/// Sends an edit, and again under the same id while no reply arrives or its outcome is unknown.
async fn send_edit(client: &AdminClient, request: &EditRequest) -> Result<EditReply, ClientError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let error = match client.post("/admin/v1/edits", request).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        let is_unknown = match &error {
            ClientError::Peer(_) => true,
            ClientError::Refused(body) => is_code(&body.code, ErrorCode::OutcomeUnknown),
        };
        if !is_unknown || attempts >= MAX_SENDS {
            return Err(error);
        }
        eprintln!("outcome of edit {} unknown; sending it again", request.edit_id);
        Timer::after(POLL_PERIOD).await;
    }
}

fn is_code(code: &str, expected: ErrorCode) -> bool {
    code.parse() == Ok(expected)
}
