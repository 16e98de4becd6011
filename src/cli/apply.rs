//! Makes a change and waits until it is in force on all nodes.

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

/// Time between two looks at the nodes.
const WAIT_PERIOD: Duration = Duration::from_millis(200);
/// Times that a change is planned anew after sections it does not touch changed meanwhile.
const PLAN_ATTEMPTS: u32 = 5;
/// Times that an edit whose answer was lost is sent again.
const SEND_ATTEMPTS: u32 = 5;

/// Options of `apply`.
#[derive(Clone, Copy, Debug)]
pub struct ApplyOptions {
    /// Do not ask.
    pub yes: bool,
    /// Do not wait for the nodes.
    pub no_wait: bool,
    /// Seconds to wait for the nodes.
    pub timeout_s: u64,
}

/// Shows what a file would change, makes the change and waits for the nodes.
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
    show(connection, &planned);
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

/// Waits until `revision` is in force on all nodes that are not suspected to be gone.
pub async fn wait(
    connection: &Connection,
    revision: Revision,
    timeout_s: u64,
) -> Result<ExitStatus, CliError> {
    let client = connection.client();
    let deadline = Instant::now() + Duration::from_secs(timeout_s);
    let mut shown = String::new();
    loop {
        let reply: NodesReply = client.get("/admin/v1/nodes").await?;
        let waited_for = reply.nodes.iter().filter(|node| node.state != NodeState::Suspected);
        let (done, open): (Vec<_>, Vec<_>) =
            waited_for.partition(|node| node.in_force.is_some_and(|in_force| in_force >= revision));
        let progress = format!("in force on {} of {} nodes", done.len(), done.len() + open.len());
        if progress != shown {
            eprintln!("{progress}");
            shown = progress;
        }
        if open.is_empty() {
            return Ok(ExitStatus::Success);
        }
        if Instant::now() >= deadline {
            let names: Vec<&str> = open.iter().map(|node| node.instance.as_str()).collect();
            let message = format!("revision {revision} is not in force on {}", names.join(", "));
            return Err(CliError::new(ExitStatus::TimedOut, message));
        }
        Timer::after(WAIT_PERIOD).await;
    }
}

fn show(connection: &Connection, planned: &PlannedChange) {
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

/// Sends the edit. A change that was overtaken by other sections is planned anew, as long as it
/// stays the change that was shown.
async fn submit(
    connection: &Connection,
    change: &Change,
    planned: PlannedChange,
) -> Result<EditReply, CliError> {
    let client = connection.client();
    let changes = planned.changes;
    for _ in 1..PLAN_ATTEMPTS {
        let edit_id = format_smolstr!("{:016x}", fastrand::u64(..));
        let request = EditRequest { edit_id, changes: changes.clone() };
        match send(&client, &request).await {
            Err(ClientError::Refused(body)) if is_code(&body.code, ErrorCode::Overtaken) => {}
            other => return Ok(other?),
        }
        let again = plan(connection, change).await?;
        if again.changes != changes {
            let message = "the document changed meanwhile; look at the difference again";
            return Err(CliError::new(ExitStatus::Conflict, message));
        }
    }
    let message = "other sections keep changing; try again later";
    Err(CliError::new(ExitStatus::Conflict, message))
}

/// Sends the edit again under the same id while its answer is lost.
async fn send(client: &AdminClient, request: &EditRequest) -> Result<EditReply, ClientError> {
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
        if !is_unknown || attempts >= SEND_ATTEMPTS {
            return Err(error);
        }
        eprintln!("no answer; asking again for edit {}", request.edit_id);
        Timer::after(WAIT_PERIOD).await;
    }
}

fn is_code(code: &str, expected: ErrorCode) -> bool {
    code.parse() == Ok(expected)
}
