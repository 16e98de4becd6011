//! Check of a document file without a node: faults, doubts, and what differs from another file.

use super::diff::{Difference, DocumentFile, compare, format_difference};
use super::exit::{CliError, ExitStatus};
use super::output::{print_json, print_line};
use crate::decision::configuration::validate_json;
use crate::document::review::review;
use crate::types::Faults;
use serde::Serialize;
use std::path::Path;
use strum::Display;

/// How a finding affects the document.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// Nodes reject the document.
    Error,
    /// Nodes accept it, but an entry has no effect, or limits contradict each other.
    Warning,
}

/// Finding about a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// How it affects the document.
    pub severity: Severity,
    /// Path of the value.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckReport {
    /// Findings, errors first.
    pub findings: Vec<Finding>,
    /// What differs from the document that the file is compared with, none without one.
    pub differences: Vec<Difference>,
}

impl CheckReport {
    /// Checks a document file; compares it with another one if given.
    pub fn new(file: &DocumentFile, against: Option<&DocumentFile>) -> Self {
        let findings = match validate_json(file.document.clone(), 0) {
            Ok(validated) => findings(Severity::Warning, review(&validated.document)),
            Err(faults) => findings(Severity::Error, faults),
        };
        let differences = against.map(|against| compare(against, file)).unwrap_or_default();
        Self { findings, differences }
    }

    /// Returns the exit code of the command.
    pub fn status(&self) -> ExitStatus {
        let has = |severity| self.findings.iter().any(|finding| finding.severity == severity);
        if has(Severity::Error) {
            ExitStatus::Invalid
        } else if has(Severity::Warning) {
            ExitStatus::Doubtful
        } else {
            ExitStatus::Success
        }
    }

    /// Returns the lines for people.
    pub fn lines(&self) -> Vec<String> {
        let findings = self.findings.iter().map(|finding| {
            let Finding { severity, path, message } = finding;
            format!("{severity} {path}: {message}")
        });
        findings.chain(self.differences.iter().map(format_difference)).collect()
    }
}

fn findings(severity: Severity, faults: Faults) -> Vec<Finding> {
    let faults = faults.0.into_iter();
    faults
        .map(|fault| Finding { severity, path: fault.path.to_string(), message: fault.message })
        .collect()
}

/// Checks a file and prints what was found.
pub fn check(file: &Path, against: Option<&Path>, json: bool) -> Result<ExitStatus, CliError> {
    let against = against.map(DocumentFile::read).transpose()?;
    let report = CheckReport::new(&DocumentFile::read(file)?, against.as_ref());
    if json {
        print_json(&report);
    } else if report.findings.is_empty() && report.differences.is_empty() {
        print_line("nothing found");
    } else {
        report.lines().iter().for_each(|line| print_line(line));
    }
    Ok(report.status())
}
