//! Naive fold: keeps every accepted change and answers each query by searching all of them.

use coriandertide::decision::configuration::state::MAX_HISTORY_EDITS;
use coriandertide::decision::configuration::{ConfigurationRecord, Edit};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Accepted change of a section.
#[derive(Clone, Debug)]
struct AcceptedChange {
    offset: u64,
    section: String,
    value: Option<Value>,
}

/// Naive fold of a stream.
#[derive(Default)]
pub struct NaiveFold {
    accepted: Vec<AcceptedChange>,
    /// Offsets of accepted edits by edit id.
    pub accepted_ids: BTreeMap<String, u64>,
    folded_ids: Vec<String>,
}

impl NaiveFold {
    /// Folds the next record of the stream.
    pub fn fold_record(&mut self, offset: u64, payload: &[u8]) {
        match ConfigurationRecord::decode(payload) {
            Ok(ConfigurationRecord::Initial(initial)) if self.accepted.is_empty() => {
                for (section, value) in initial.sections {
                    self.accept(offset, &section, Some(value));
                }
            }
            Ok(ConfigurationRecord::Edit(edit)) => self.fold_edit(offset, edit),
            _ => {}
        }
    }

    fn fold_edit(&mut self, offset: u64, edit: Edit) {
        let remembered_ids = self.folded_ids.iter().rev().take(MAX_HISTORY_EDITS);
        if remembered_ids.into_iter().any(|id| *id == edit.edit_id) {
            return;
        }
        self.folded_ids.push(edit.edit_id.to_string());
        let current = edit
            .changes
            .iter()
            .all(|change| self.section_revision(&change.section) == change.base_revision);
        let required = edit
            .requires
            .iter()
            .all(|required| self.kind_revision(&required.kind) == required.revision);
        if current && required {
            self.accepted_ids.insert(edit.edit_id.to_string(), offset);
            for change in edit.changes {
                self.accept(offset, &change.section, change.value);
            }
        }
    }

    fn accept(&mut self, offset: u64, section: &str, value: Option<Value>) {
        self.accepted.push(AcceptedChange { offset, section: section.to_owned(), value });
    }

    /// Returns the revision of a section, 0 if it never existed.
    pub fn section_revision(&self, section: &str) -> u64 {
        self.accepted.iter().rev().find(|entry| entry.section == section).map_or(0, |e| e.offset)
    }

    /// Returns the highest revision among the sections of a kind, 0 if it has none.
    pub fn kind_revision(&self, kind: &str) -> u64 {
        let of_kind = |entry: &&AcceptedChange| entry.section.split('/').next() == Some(kind);
        self.accepted.iter().rev().find(of_kind).map_or(0, |entry| entry.offset)
    }

    /// Returns the revisions and values of all sections by path.
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
