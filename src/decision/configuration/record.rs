//! Records of the `configuration` stream and their JSON form.
//!
//! A record never holds typed sections: nodes of different builds must agree on which records are
//! sound, so nothing here depends on what a build knows of the document's fields.

use super::sections::split_document;
use super::state::{ConfigurationState, Section};
use crate::document::RawDocument;
use crate::types::{EditId, LogOffset, Revision, SectionPath};
use bytes::Bytes;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Highest record format that this build reads, and the one it writes.
pub const RECORD_FORMAT: u32 = 1;

/// Record on the `configuration` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigurationRecord {
    /// First document; counts only while no record has been accepted.
    Initial(InitialDocument),
    /// Change of sections; counts only if every named revision is current.
    Edit(Edit),
    /// Whole state, republished before older records expire.
    Snapshot(Snapshot),
}

/// First document, cut into sections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InitialDocument {
    /// Author.
    pub author: SmolStr,
    /// Version of the build that wrote the record.
    pub built_by: SmolStr,
    /// Values by section.
    pub sections: BTreeMap<SectionPath, Value>,
}

/// Change of one or more sections, accepted as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Id chosen by the author; a repeated record with the same id changes nothing.
    pub edit_id: EditId,
    /// Author: name of the owner whose key was used.
    pub author: SmolStr,
    /// Version of the build that validated the edit.
    pub built_by: SmolStr,
    /// Changes, each to a different section.
    pub changes: Vec<SectionChange>,
    /// Kinds of section that the validation looked at and that must not have changed since.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub requires: Vec<KindRevision>,
}

/// New value of a section.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct SectionChange {
    /// Section.
    pub section: SectionPath,
    /// Revision that the author started from, 0 for a section that never was.
    pub base_revision: Revision,
    /// New value; none removes the section.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// Highest revision among the sections of a kind.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct KindRevision {
    /// Kind: the part of a section path before the slash.
    pub kind: SmolStr,
    /// Highest revision, 0 if the kind has no section.
    pub revision: Revision,
}

/// Whole state up to an offset below the snapshot's own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// State after the record at `state.applied`.
    pub state: ConfigurationState,
}

/// Why a record cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The payload is not a record; it changes nothing on any node.
    Malformed(String),
    /// The record has a later format; this build cannot fold it or anything after it.
    NewerFormat(u32),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "malformed record: {reason}"),
            Self::NewerFormat(format) => {
                write!(f, "record format {format} is newer than {RECORD_FORMAT}")
            }
        }
    }
}

impl std::error::Error for RecordError {}

#[derive(Deserialize)]
struct Header {
    format: u32,
}

#[derive(Serialize)]
struct Envelope<'a> {
    format: u32,
    #[serde(flatten)]
    record: &'a ConfigurationRecord,
}

impl ConfigurationRecord {
    /// Returns the record that sets `raw` as the first document of an empty stream.
    pub fn initial(raw: RawDocument) -> Self {
        Self::Initial(InitialDocument {
            author: SmolStr::new_static("initial"),
            built_by: SmolStr::new_static(env!("CARGO_PKG_VERSION")),
            sections: split_document(&raw),
        })
    }

    /// Returns the record that sets `raw` as the document of a stream whose records up to `expired_to`
    /// have expired; only nodes that know of no document take it.
    pub fn restored_snapshot(raw: &RawDocument, expired_to: LogOffset) -> Self {
        let section = |value| Section {
            revision: expired_to,
            author: SmolStr::new_static("restored"),
            edit_id: None,
            value: Some(value),
        };
        let sections = split_document(raw).into_iter();
        Self::Snapshot(Snapshot {
            state: ConfigurationState {
                applied: expired_to,
                revision: expired_to,
                sections: sections.map(|(path, value)| (path, Arc::new(section(value)))).collect(),
                history: VecDeque::new(),
            },
        })
    }

    /// Returns the payload for the log.
    pub fn encode(&self) -> Bytes {
        let envelope = Envelope { format: RECORD_FORMAT, record: self };
        serde_json::to_vec(&envelope).expect("records hold only JSON values").into()
    }

    /// Reads a payload from the log.
    ///
    /// # Errors
    ///
    /// A payload that is not a record, or one of a later format.
    pub fn decode(payload: &[u8]) -> Result<Self, RecordError> {
        let malformed = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let header: Header = serde_json::from_slice(payload).map_err(malformed)?;
        if header.format > RECORD_FORMAT {
            return Err(RecordError::NewerFormat(header.format));
        }
        let record: Self = serde_json::from_slice(payload).map_err(malformed)?;
        record.check().map_err(|reason| RecordError::Malformed(reason.to_owned()))?;
        Ok(record)
    }

    fn check(&self) -> Result<(), &'static str> {
        let Self::Edit(edit) = self else {
            return Ok(());
        };
        if edit.edit_id.is_empty() {
            return Err("empty edit id");
        }
        if edit.changes.is_empty() {
            return Err("edit without a change");
        }
        let sections: BTreeSet<&SectionPath> =
            edit.changes.iter().map(|change| &change.section).collect();
        if sections.len() < edit.changes.len() {
            return Err("edit changes a section twice");
        }
        Ok(())
    }
}
