//! State folded from the `configuration` stream; the same records give the same state on each node.

use super::record::{ConfigurationRecord, Edit, InitialDocument, KindRevision, SectionChange};
use super::sections::section_kind;
use crate::ports::LogRecord;
use crate::types::{EditId, LogOffset, Revision, SectionPath};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::Xxh3Default;

/// Maximum number of edits in the history.
pub const MAX_HISTORY_EDITS: usize = 1_024;
/// Maximum number of removed sections whose last revision is kept.
pub const MAX_REMOVED_SECTIONS: usize = 4_096;

/// Configuration state after a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationState {
    /// Offset of the last folded record.
    pub applied: LogOffset,
    /// Offset of the last record that changed a section.
    pub revision: Revision,
    /// Sections by path, including removed ones.
    pub sections: BTreeMap<SectionPath, Arc<Section>>,
    /// Outcomes of the last [`MAX_HISTORY_EDITS`] edits, oldest first.
    pub history: VecDeque<Arc<EditEntry>>,
}

/// Section of the document with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// Offset of the record that set the value.
    pub revision: Revision,
    /// Author of that record.
    pub author: SmolStr,
    /// Id of the edit, none for the initial document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
    /// Value, none if the section was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// Entry of the history: an edit and its outcome.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct EditEntry {
    /// Offset of the edit's record.
    pub offset: LogOffset,
    /// Time of the append by the log's clock, in Unix milliseconds.
    pub appended_at_unix_ms: u64,
    /// Id of the edit.
    pub edit_id: EditId,
    /// Name of the author.
    pub author: SmolStr,
    /// Version of the build that validated the edit.
    pub built_by: SmolStr,
    /// Sections that the edit changes.
    pub sections: Vec<SectionPath>,
    /// Outcome.
    pub outcome: EditOutcome,
}

/// Outcome of an edit, the same on every node.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum EditOutcome {
    /// All changes were applied; their revision is the offset of the edit.
    Accepted,
    /// Another edit changed one of the sections first.
    Lost(Winner),
    /// A kind of section that the validation depended on has changed.
    Overtaken(KindRevision),
}

/// Section revision that an edit conflicted with, and the edit that set it.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct Winner {
    /// Path of the section.
    pub section: SectionPath,
    /// Revision of the section, 0 if it does not exist.
    pub revision: Revision,
    /// Author of that revision.
    pub author: SmolStr,
    /// Id of the edit that set it, none for the initial document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
}

/// Effect of a record on the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordEffect {
    /// Sections changed.
    Changed,
    /// Nothing changed: a rejected or repeated edit, a snapshot, or a second initial document.
    Unchanged,
    /// A snapshot differs from the state folded by this node.
    SnapshotDiffers,
}

impl ConfigurationState {
    /// Folds `record`, decoded from `log_record`, which must be the next one of the stream.
    pub fn fold(&mut self, log_record: &LogRecord, record: &ConfigurationRecord) -> RecordEffect {
        let effect = match record {
            ConfigurationRecord::Initial(initial) => self.fold_initial(log_record.offset, initial),
            ConfigurationRecord::Edit(edit) => self.fold_edit(log_record, edit),
            ConfigurationRecord::Snapshot(snapshot) => self.compare_snapshot(&snapshot.state),
        };
        self.applied = log_record.offset;
        effect
    }

    /// Skips the malformed record at `offset`.
    pub fn skip(&mut self, offset: LogOffset) {
        self.applied = offset;
    }

    /// Returns the entry of the edit with this id, if the history still holds it.
    pub fn find_edit(&self, edit_id: &str) -> Option<&Arc<EditEntry>> {
        self.history.iter().rev().find(|entry| entry.edit_id == edit_id)
    }

    /// Returns the revision of a section, 0 if it never existed.
    pub fn section_revision(&self, section: &str) -> Revision {
        self.sections.get(section).map_or(0, |section| section.revision)
    }

    /// Returns the highest revision among the sections of a kind, 0 if it has none.
    pub fn kind_revision(&self, kind: &str) -> Revision {
        self.sections
            .iter()
            .filter(|(section, _)| section_kind(section) == kind)
            .map(|(_, section)| section.revision)
            .max()
            .unwrap_or(0)
    }

    /// Returns the paths and values of the sections that are not removed.
    pub fn section_values(&self) -> impl Iterator<Item = (&SectionPath, &Value)> {
        self.sections
            .iter()
            .filter_map(|(section, content)| Some((section, content.value.as_ref()?)))
    }

    /// Returns the outcome of an edit with these changes and required revisions.
    pub fn evaluate(&self, changes: &[SectionChange], requires: &[KindRevision]) -> EditOutcome {
        if let Some(winner) = changes.iter().find_map(|change| self.find_winner(change)) {
            return EditOutcome::Lost(winner);
        }
        for required in requires {
            let revision = self.kind_revision(&required.kind);
            if revision != required.revision {
                return EditOutcome::Overtaken(KindRevision {
                    kind: required.kind.clone(),
                    revision,
                });
            }
        }
        EditOutcome::Accepted
    }

    /// Returns a digest of the section paths and revisions; equal states have equal digests.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3Default::new();
        for (path, section) in &self.sections {
            hasher.update(path.as_bytes());
            hasher.update(&section.revision.to_le_bytes());
        }
        hasher.digest()
    }

    fn fold_initial(&mut self, offset: LogOffset, initial: &InitialDocument) -> RecordEffect {
        if self.revision > 0 {
            return RecordEffect::Unchanged;
        }
        for (path, value) in &initial.sections {
            let section = Section {
                revision: offset,
                author: initial.author.clone(),
                edit_id: None,
                value: Some(value.clone()),
            };
            self.sections.insert(path.clone(), Arc::new(section));
        }
        self.revision = offset;
        RecordEffect::Changed
    }

    fn fold_edit(&mut self, log_record: &LogRecord, edit: &Edit) -> RecordEffect {
        if self.find_edit(&edit.edit_id).is_some() {
            return RecordEffect::Unchanged;
        }
        let outcome = self.evaluate(&edit.changes, &edit.requires);
        let is_accepted = outcome == EditOutcome::Accepted;
        if is_accepted {
            self.apply_edit(log_record.offset, edit);
        }
        self.push_history(EditEntry {
            offset: log_record.offset,
            appended_at_unix_ms: unix_ms(log_record.appended_at),
            edit_id: edit.edit_id.clone(),
            author: edit.author.clone(),
            built_by: edit.built_by.clone(),
            sections: edit.changes.iter().map(|change| change.section.clone()).collect(),
            outcome,
        });
        if is_accepted { RecordEffect::Changed } else { RecordEffect::Unchanged }
    }

    fn apply_edit(&mut self, offset: LogOffset, edit: &Edit) {
        for change in &edit.changes {
            let section = Section {
                revision: offset,
                author: edit.author.clone(),
                edit_id: Some(edit.edit_id.clone()),
                value: change.value.clone(),
            };
            self.sections.insert(change.section.clone(), Arc::new(section));
        }
        self.revision = offset;
        self.trim_removed_sections();
    }

    /// Drops the sections removed longest ago beyond [`MAX_REMOVED_SECTIONS`].
    fn trim_removed_sections(&mut self) {
        let mut removed: Vec<(Revision, SectionPath)> = self
            .sections
            .iter()
            .filter(|(_, section)| section.value.is_none())
            .map(|(path, section)| (section.revision, path.clone()))
            .collect();
        let Some(excess) = removed.len().checked_sub(MAX_REMOVED_SECTIONS) else {
            return;
        };
        removed.sort();
        for (_, path) in removed.into_iter().take(excess) {
            self.sections.remove(&path);
        }
    }

    fn push_history(&mut self, entry: EditEntry) {
        self.history.push_back(Arc::new(entry));
        while self.history.len() > MAX_HISTORY_EDITS {
            self.history.pop_front();
        }
    }

    fn find_winner(&self, change: &SectionChange) -> Option<Winner> {
        let current = self.sections.get(&change.section);
        let revision = current.map_or(0, |section| section.revision);
        if revision == change.base_revision {
            return None;
        }
        Some(Winner {
            section: change.section.clone(),
            revision,
            author: current.map(|section| section.author.clone()).unwrap_or_default(),
            edit_id: current.and_then(|section| section.edit_id.clone()),
        })
    }

    /// Compares a snapshot with this state if both are at the same revision.
    fn compare_snapshot(&self, snapshot: &Self) -> RecordEffect {
        let is_comparable = snapshot.revision == self.revision;
        if is_comparable && snapshot.digest() != self.digest() {
            return RecordEffect::SnapshotDiffers;
        }
        RecordEffect::Unchanged
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
