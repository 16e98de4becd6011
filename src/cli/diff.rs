//! Differences between a document file and the accepted document.

use crate::admin::messages::DocumentReply;
use crate::decision::configuration::SectionChange;
use crate::decision::configuration::sections::split_json;
use crate::types::{Revision, SectionPath};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// Field of a document file that names the revision it was made from.
pub const BASE_REVISION: &str = "base_revision";

/// Document file: a document or a part of it.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentFile {
    /// Revision that the file was made from, if it names one.
    pub base_revision: Option<Revision>,
    /// Document.
    pub document: Value,
}

/// Difference of one value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Difference {
    /// Section.
    pub section: SectionPath,
    /// Path within the section, empty for the whole section.
    pub path: String,
    /// Value in the accepted document.
    pub before: Option<Value>,
    /// Value in the file.
    pub after: Option<Value>,
}

impl DocumentFile {
    /// Reads a file's content; the error says what is wrong with it.
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

    /// Returns the changes that lead from the accepted document to the file; sections that only
    /// the accepted document has are removed if `prune`.
    pub fn changes(&self, accepted: &DocumentReply, prune: bool) -> Vec<SectionChange> {
        let wanted = split_json(&self.document);
        let mut changes = Vec::new();
        for (section, value) in &wanted {
            let current = accepted.sections.get(section);
            if current.is_some_and(|current| current.value == *value) {
                continue;
            }
            changes.push(SectionChange {
                section: section.clone(),
                base_revision: revision_of(accepted, section),
                value: Some(value.clone()),
            });
        }
        if prune {
            let missing = accepted.sections.iter().filter(|(name, _)| !wanted.contains_key(*name));
            changes.extend(missing.map(|(section, current)| SectionChange {
                section: section.clone(),
                base_revision: current.revision,
                value: None,
            }));
        }
        changes
    }

    /// Returns the changes to sections that were edited after the file's base revision.
    pub fn outdated<'a>(&self, changes: &'a [SectionChange]) -> Vec<&'a SectionChange> {
        let Some(base_revision) = self.base_revision else {
            return Vec::new();
        };
        changes.iter().filter(|change| change.base_revision > base_revision).collect()
    }
}

/// Returns the differences that `changes` make, value by value.
pub fn differences(accepted: &DocumentReply, changes: &[SectionChange]) -> Vec<Difference> {
    let mut found = Vec::new();
    for change in changes {
        let before = accepted.sections.get(&change.section).map(|current| &current.value);
        compare(&change.section, String::new(), before, change.value.as_ref(), &mut found);
    }
    found
}

/// Returns a difference as lines for people.
pub fn format_difference(difference: &Difference) -> String {
    let Difference { section, path, before, after } = difference;
    let place = if path.is_empty() { section.to_string() } else { format!("{section}.{path}") };
    match (before, after) {
        (None, Some(after)) => format!("+ {place}: {after}"),
        (Some(before), None) => format!("- {place}: {before}"),
        (Some(before), Some(after)) => format!("~ {place}: {before} -> {after}"),
        (None, None) => place,
    }
}

fn revision_of(accepted: &DocumentReply, section: &SectionPath) -> Revision {
    match accepted.sections.get(section) {
        Some(current) => current.revision,
        None => accepted.removed.get(section).copied().unwrap_or(0),
    }
}

fn compare(
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
            let inner = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            compare(section, inner, old.get(name), new.get(name), found);
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
