//! Commands that read, validate, compare and restore the configuration document.

use super::client::AdminClient;
use super::diff::{BASE_REVISION, DocumentFile, differences, format_difference};
use super::exit::{CliError, ExitStatus};
use super::options::{Change, Connection};
use super::output::{print_faults, print_json, print_line};
use crate::admin::messages::{
    DocumentReply, EditReply, HistoryReply, RestoreRequest, ValidateReply, ValidateRequest,
};
use crate::decision::configuration::sections::join_sections;
use crate::decision::configuration::{EditEntry, EditOutcome, SectionChange};
use jiff::Timestamp;
use serde_json::json;
use std::path::Path;

/// Changes that a file makes to the accepted document.
pub struct PlannedChange {
    /// Accepted document that the changes are based on.
    pub accepted: DocumentReply,
    /// Changes to its sections.
    pub changes: Vec<SectionChange>,
}

impl Connection {
    /// Returns a client of the node's administration API.
    pub fn client(&self) -> AdminClient {
        AdminClient::new(self.node, self.key.clone())
    }
}

/// Prints the accepted document with its revision, or one section.
pub async fn get(connection: &Connection, section: Option<&str>) -> Result<ExitStatus, CliError> {
    let reply: DocumentReply = connection.client().get("/admin/v1/document").await?;
    let Some(section) = section else {
        let sections = reply.sections.iter().map(|(path, section)| (path, &section.value));
        let joined = join_sections(sections);
        let mut document =
            joined.map_err(|faults| CliError::new(ExitStatus::Invalid, faults.to_string()))?;
        document[BASE_REVISION] = json!(reply.revision);
        print_json(&document);
        return Ok(ExitStatus::Success);
    };
    let found = reply.sections.get(section).ok_or_else(|| {
        CliError::new(ExitStatus::Failure, format!("there is no section `{section}`"))
    })?;
    if connection.json {
        print_json(found);
    } else {
        print_json(&found.value);
    }
    Ok(ExitStatus::Success)
}

/// Prints the faults of the document that would result from a file.
pub async fn validate(connection: &Connection, change: &Change) -> Result<ExitStatus, CliError> {
    let planned = plan(connection, change).await?;
    let request = ValidateRequest { changes: planned.changes };
    let reply: ValidateReply = connection.client().post("/admin/v1/validate", &request).await?;
    if connection.json {
        print_json(&reply);
    } else if reply.faults.is_empty() {
        print_line("valid");
    } else {
        print_faults(&reply.faults);
    }
    Ok(if reply.faults.is_empty() { ExitStatus::Success } else { ExitStatus::Invalid })
}

/// Prints the differences between the accepted document and a file.
pub async fn diff(connection: &Connection, change: &Change) -> Result<ExitStatus, CliError> {
    let planned = plan(connection, change).await?;
    let found = differences(&planned.accepted, &planned.changes);
    if connection.json {
        print_json(&found);
    } else {
        found.iter().for_each(|difference| print_line(&format_difference(difference)));
    }
    Ok(if found.is_empty() { ExitStatus::Success } else { ExitStatus::Different })
}

/// Restores a document whose records expired from the log while no node was running.
pub async fn restore(connection: &Connection, file: &Path) -> Result<ExitStatus, CliError> {
    let request = RestoreRequest { document: DocumentFile::read(file)?.document };
    let reply: EditReply = connection.client().post("/admin/v1/restore", &request).await?;
    print_json(&reply);
    Ok(ExitStatus::Success)
}

/// Prints recent edits and their outcomes.
pub async fn history(
    connection: &Connection,
    section: Option<&str>,
) -> Result<ExitStatus, CliError> {
    let path = match section {
        Some(section) => format!("/admin/v1/history?section={section}"),
        None => String::from("/admin/v1/history"),
    };
    let reply: HistoryReply = connection.client().get(&path).await?;
    if connection.json {
        print_json(&reply);
        return Ok(ExitStatus::Success);
    }
    for entry in &reply.edits {
        print_line(&format_entry(entry));
    }
    Ok(ExitStatus::Success)
}

/// Computes the changes that a file makes. Fails if a changed section was edited after the file's
/// base revision, unless `change.force` is set.
pub async fn plan(connection: &Connection, change: &Change) -> Result<PlannedChange, CliError> {
    let file = DocumentFile::read(&change.file)?;
    let accepted: DocumentReply = connection.client().get("/admin/v1/document").await?;
    let changes = file.changes(&accepted, change.prune);
    let outdated = file.outdated(&changes);
    if change.force || outdated.is_empty() {
        return Ok(PlannedChange { accepted, changes });
    }
    let lines: Vec<String> =
        outdated.iter().map(|change| format_outdated(&accepted, change)).collect();
    Err(CliError::new(ExitStatus::Conflict, lines.join("\n")))
}

fn format_outdated(accepted: &DocumentReply, change: &SectionChange) -> String {
    let author = accepted.sections.get(&change.section).map_or("", |section| &section.author);
    format!(
        "section `{}` was changed at revision {} by `{author}`, after the file's {BASE_REVISION}",
        change.section, change.base_revision
    )
}

fn format_entry(entry: &EditEntry) -> String {
    let outcome = match &entry.outcome {
        EditOutcome::Accepted => String::from("accepted"),
        EditOutcome::Lost(winner) => {
            format!("lost to {} at revision {}", winner.author, winner.revision)
        }
        EditOutcome::Overtaken(kind) => format!("overtaken by revision {}", kind.revision),
    };
    let unix_ms = i64::try_from(entry.appended_at_unix_ms).unwrap_or(i64::MAX);
    let at = Timestamp::from_millisecond(unix_ms).unwrap_or(Timestamp::MAX);
    format!(
        "{} at={at} author={} edit_id={} sections={} {outcome}",
        entry.offset,
        entry.author,
        entry.edit_id,
        entry.sections.join(",")
    )
}
