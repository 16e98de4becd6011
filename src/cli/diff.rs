//! Differences between a document file and the accepted document.

use super::exit::{CliError, ExitStatus};
use crate::admin::messages::DocumentReply;
use crate::decision::configuration::SectionChange;
use crate::decision::configuration::sections::split_json;
use crate::types::{Revision, SectionPath};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// Field of a document file with the revision that the file is based on.
pub const BASE_REVISION: &str = "base_revision";

/// Contents of a document file: a document or part of one.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentFile {
    /// Revision that the file is based on, if given.
    pub base_revision: Option<Revision>,
    /// Document, without the base revision.
    pub document: Value,
}

/// Difference of one value between the accepted document and a file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the section.
    pub section: SectionPath,
    /// Path of the value within the section, empty for the whole section.
    pub path: String,
    /// Value in the accepted document, if any.
    pub before: Option<Value>,
    /// Value in the file, if any.
    pub after: Option<Value>,
}

impl DocumentFile {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or is no document.
    pub fn read(path: &Path) -> Result<Self, CliError> {
        let file_error = |message: String| {
            CliError::new(ExitStatus::Failure, format!("{}: {message}", path.display()))
        };
        let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
        Self::parse(&text).map_err(file_error)
    }

    /// Parses the text of a file; the error is a message for people.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut document: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let Some(fields) = document.as_object_mut() else {
            return Err(String::from("the document must be an object"));
        };
        let base_revision = match fields.remove(BASE_REVISION) {
            None => None,
            Some(value) => {
                let revision = value.as_u64();
                Some(revision.ok_or_else(|| format!("{BASE_REVISION} must be a revision"))?)
            }
        };
        Ok(Self { base_revision, document })
    }

    /// Returns the changes that turn the accepted document into the file. Sections missing in the
    /// file are removed if `prune`, otherwise they stay as they are.
    pub fn changes(&self, accepted: &DocumentReply, prune: bool) -> Vec<SectionChange> {
        let file_sections = split_json(&self.document);
        let mut changes = Vec::new();
        for (section, value) in &file_sections {
            let current = accepted.sections.get(section);
            if current.is_some_and(|current| current.value == *value) {
                continue;
            }
            changes.push(SectionChange {
                section: section.clone(),
                base_revision: section_revision(accepted, section),
                value: Some(value.clone()),
            });
        }
        if prune {
            let missing =
                accepted.sections.iter().filter(|(name, _)| !file_sections.contains_key(*name));
            changes.extend(missing.map(|(section, current)| SectionChange {
                section: section.clone(),
                base_revision: current.revision,
                value: None,
            }));
        }
        changes
    }

    /// Returns those of `changes` whose sections were edited after the file's base revision.
    pub fn outdated<'a>(&self, changes: &'a [SectionChange]) -> Vec<&'a SectionChange> {
        let Some(base_revision) = self.base_revision else {
            return Vec::new();
        };
        changes.iter().filter(|change| change.base_revision > base_revision).collect()
    }
}

/// Returns the values that `changes` change in the accepted document.
pub fn differences(accepted: &DocumentReply, changes: &[SectionChange]) -> Vec<Difference> {
    let mut found = Vec::new();
    for change in changes {
        let before = accepted.sections.get(&change.section).map(|current| &current.value);
        add_differences(&change.section, String::new(), before, change.value.as_ref(), &mut found);
    }
    found
}

/// Returns the values that differ between two files.
pub fn compare(before: &DocumentFile, after: &DocumentFile) -> Vec<Difference> {
    let (before, after) = (split_json(&before.document), split_json(&after.document));
    let sections: BTreeSet<&SectionPath> = before.keys().chain(after.keys()).collect();
    let mut found = Vec::new();
    for section in sections {
        let (old, new) = (before.get(section), after.get(section));
        add_differences(section, String::new(), old, new, &mut found);
    }
    found
}

/// Formats a difference as one line for people.
pub fn format_difference(difference: &Difference) -> String {
    let Difference { section, path, before, after } = difference;
    let full_path = if path.is_empty() { section.to_string() } else { format!("{section}.{path}") };
    match (before, after) {
        (None, Some(after)) => format!("+ {full_path}: {after}"),
        (Some(before), None) => format!("- {full_path}: {before}"),
        (Some(before), Some(after)) => format!("~ {full_path}: {before} -> {after}"),
        (None, None) => full_path,
    }
}

/// Returns the revision of a section in the accepted document, 0 if it neither exists nor was
/// removed recently.
fn section_revision(accepted: &DocumentReply, section: &SectionPath) -> Revision {
    match accepted.sections.get(section) {
        Some(current) => current.revision,
        None => accepted.removed.get(section).copied().unwrap_or(0),
    }
}

/// Adds the differences between two values to `found`, field by field for objects.
fn add_differences(
    section: &SectionPath,
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for name in names {
            let field_path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            add_differences(section, field_path, old.get(name), new.get(name), found);
        }
        return;
    }
    found.push(Difference {
        section: section.clone(),
        path,
        before: before.cloned(),
        after: after.cloned(),
    });
}
