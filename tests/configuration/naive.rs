//! Naive fold: keeps the whole stream and works out each question from its beginning.

use coriandertide::decision::configuration::state::MAX_HISTORY_EDITS;
use coriandertide::decision::configuration::{ConfigurationRecord, Edit};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Accepted value of a section.
#[derive(Clone, Debug)]
struct Accepted {
    offset: u64,
    section: String,
    value: Option<Value>,
}

/// Naive fold.
#[derive(Default)]
pub struct Naive {
    accepted: Vec<Accepted>,
    pub accepted_ids: BTreeMap<String, u64>,
    seen_ids: Vec<String>,
}

impl Naive {
    /// Reads the next record.
    pub fn read(&mut self, offset: u64, payload: &[u8]) {
        match ConfigurationRecord::decode(payload) {
            Ok(ConfigurationRecord::Initial(initial)) if self.accepted.is_empty() => {
                for (section, value) in initial.sections {
                    self.accept(offset, &section, Some(value));
                }
            }
            Ok(ConfigurationRecord::Edit(edit)) => self.read_edit(offset, edit),
            _ => {}
        }
    }

    fn read_edit(&mut self, offset: u64, edit: Edit) {
        let remembered = self.seen_ids.iter().rev().take(MAX_HISTORY_EDITS);
        if remembered.into_iter().any(|id| *id == edit.edit_id) {
            return;
        }
        self.seen_ids.push(edit.edit_id.to_string());
        let current = edit
            .changes
            .iter()
            .all(|change| self.revision(&change.section) == change.base_revision);
        let required =
            edit.requires.iter().all(|required| self.newest(&required.kind) == required.revision);
        if current && required {
            self.accepted_ids.insert(edit.edit_id.to_string(), offset);
            for change in edit.changes {
                self.accept(offset, &change.section, change.value);
            }
        }
    }

    fn accept(&mut self, offset: u64, section: &str, value: Option<Value>) {
        self.accepted.push(Accepted { offset, section: section.to_owned(), value });
    }

    /// Returns the revision of a section.
    pub fn revision(&self, section: &str) -> u64 {
        self.accepted.iter().rev().find(|entry| entry.section == section).map_or(0, |e| e.offset)
    }

    /// Returns the newest revision of a kind.
    pub fn newest(&self, kind: &str) -> u64 {
        let of_kind = |entry: &&Accepted| entry.section.split('/').next() == Some(kind);
        self.accepted.iter().rev().find(of_kind).map_or(0, |entry| entry.offset)
    }

    /// Returns all sections with their revisions and values, in JSON for comparison.
    pub fn sections(&self) -> BTreeMap<String, (u64, Option<Value>)> {
        let names: BTreeSet<&String> = self.accepted.iter().map(|entry| &entry.section).collect();
        names
            .into_iter()
            .filter_map(|name| {
                let last = self.accepted.iter().rev().find(|entry| entry.section == *name)?;
                Some((name.clone(), (last.offset, last.value.clone())))
            })
            .collect()
    }
}
