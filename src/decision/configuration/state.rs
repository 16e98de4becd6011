//! Fold of the `configuration` stream: every node computes the same state from the same records.

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

/// Edits whose outcome is remembered.
pub const MAX_HISTORY_EDITS: usize = 1_024;
/// Removed sections whose last revision is remembered.
pub const MAX_REMOVED_SECTIONS: usize = 4_096;

/// State after a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationState {
    /// Offset of the last record folded in.
    pub applied: LogOffset,
    /// Offset of the last record that changed a section.
    pub revision: Revision,
    /// Sections, removed ones included.
    pub sections: BTreeMap<SectionPath, Arc<Section>>,
    /// Outcomes of the last [`MAX_HISTORY_EDITS`] edits, oldest first.
    pub history: VecDeque<Arc<EditEntry>>,
}

/// Section of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// Offset of the record that set the value.
    pub revision: Revision,
    /// Author of that record.
    pub author: SmolStr,
    /// Id of the edit; none for the first document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
    /// Value; none if the section was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// Edit and what became of it.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct EditEntry {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub appended_at_unix_ms: u64,
    /// Id of the edit.
    pub edit_id: EditId,
    /// Author.
    pub author: SmolStr,
    /// Version of the build that validated the edit.
    pub built_by: SmolStr,
    /// Sections that the edit names.
    pub sections: Vec<SectionPath>,
    /// Outcome.
    pub outcome: EditOutcome,
}

/// Outcome of an edit, the same on every node.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum EditOutcome {
    /// All changes are made; their revision is the edit's offset.
    Accepted,
    /// Another edit changed a section first.
    Lost(Winner),
    /// A kind of section that the validation looked at has changed.
    Overtaken(KindRevision),
}

/// Edit that holds the revision another edit wanted to replace.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct Winner {
    /// Section.
    pub section: SectionPath,
    /// Revision of the section, 0 if it does not exist.
    pub revision: Revision,
    /// Author of that revision.
    pub author: SmolStr,
    /// Id of the edit that set it; none for the first document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
}

/// What a record did to the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordEffect {
    /// Sections changed.
    Changed,
    /// Nothing changed: a lost or repeated edit, a snapshot, a second first document.
    Unchanged,
    /// A snapshot differs from the state folded here.
    SnapshotDiffers,
}

impl ConfigurationState {
    /// Folds in `record`, read at `at`, which must be the next one of the stream.
    pub fn fold(&mut self, at: &LogRecord, record: &ConfigurationRecord) -> RecordEffect {
        let effect = match record {
            ConfigurationRecord::Initial(initial) => self.fold_initial(at.offset, initial),
            ConfigurationRecord::Edit(edit) => self.fold_edit(at, edit),
            ConfigurationRecord::Snapshot(snapshot) => self.compare(&snapshot.state),
        };
        self.applied = at.offset;
        effect
    }

    /// Passes over a malformed record at `offset`.
    pub fn skip(&mut self, offset: LogOffset) {
        self.applied = offset;
    }

    /// Returns the entry of the edit with this id, if it is remembered.
    pub fn find_edit(&self, edit_id: &str) -> Option<&Arc<EditEntry>> {
        self.history.iter().rev().find(|entry| entry.edit_id == edit_id)
    }

    /// Returns the revision of a section, 0 if it never was.
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

    /// Returns the sections that have a value.
    pub fn section_values(&self) -> impl Iterator<Item = (&SectionPath, &Value)> {
        self.sections
            .iter()
            .filter_map(|(section, content)| Some((section, content.value.as_ref()?)))
    }

    /// Returns what an edit with these changes and requirements would come to.
    pub fn evaluate(&self, changes: &[SectionChange], requires: &[KindRevision]) -> EditOutcome {
        if let Some(winner) = changes.iter().find_map(|change| self.winner_over(change)) {
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

    /// Returns a digest of the sections' revisions; equal states have equal digests.
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

    fn fold_edit(&mut self, at: &LogRecord, edit: &Edit) -> RecordEffect {
        if self.find_edit(&edit.edit_id).is_some() {
            return RecordEffect::Unchanged;
        }
        let outcome = self.evaluate(&edit.changes, &edit.requires);
        let accepted = outcome == EditOutcome::Accepted;
        if accepted {
            self.change(at.offset, edit);
        }
        self.remember(EditEntry {
            offset: at.offset,
            appended_at_unix_ms: unix_ms(at.appended_at),
            edit_id: edit.edit_id.clone(),
            author: edit.author.clone(),
            built_by: edit.built_by.clone(),
            sections: edit.changes.iter().map(|change| change.section.clone()).collect(),
            outcome,
        });
        if accepted { RecordEffect::Changed } else { RecordEffect::Unchanged }
    }

    fn change(&mut self, offset: LogOffset, edit: &Edit) {
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
        self.forget_removed();
    }

    /// Forgets the sections removed longest ago beyond [`MAX_REMOVED_SECTIONS`].
    fn forget_removed(&mut self) {
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

    fn remember(&mut self, entry: EditEntry) {
        self.history.push_back(Arc::new(entry));
        while self.history.len() > MAX_HISTORY_EDITS {
            self.history.pop_front();
        }
    }

    fn winner_over(&self, change: &SectionChange) -> Option<Winner> {
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

    fn compare(&self, snapshot: &Self) -> RecordEffect {
        let comparable = snapshot.revision == self.revision;
        if comparable && snapshot.digest() != self.digest() {
            return RecordEffect::SnapshotDiffers;
        }
        RecordEffect::Unchanged
    }
}

fn unix_ms(at: SystemTime) -> u64 {
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
