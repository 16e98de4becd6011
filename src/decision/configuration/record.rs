//! Records of the `configuration` stream and their JSON form.
//!
//! Sections are kept as untyped JSON: nodes of different builds must agree on which records are
//! well formed, so decoding must not depend on the document fields that a build knows.

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

/// Record format that this build writes, and the latest that it reads.
pub const RECORD_FORMAT: u32 = 1;

/// Record on the `configuration` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigurationRecord {
    /// Initial document; has an effect only while no record has been accepted.
    Initial(InitialDocument),
    /// Change of sections; accepted only if every base and required revision is current.
    Edit(Edit),
    /// Complete state, republished before older records expire.
    Snapshot(Snapshot),
}

/// Initial document, split into sections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InitialDocument {
    /// Author.
    pub author: SmolStr,
    /// Version of the build that wrote the record.
    pub built_by: SmolStr,
    /// Values by section path.
    pub sections: BTreeMap<SectionPath, Value>,
}

/// Changes of one or more sections, accepted atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Id chosen by the author; another record with the same id has no effect while the history of
    /// the state holds this one.
    pub edit_id: EditId,
    /// Name of the owner whose key was used.
    pub author: SmolStr,
    /// Version of the build that validated the edit.
    pub built_by: SmolStr,
    /// Changes, at most one per section.
    pub changes: Vec<SectionChange>,
    /// Kinds of section that the validation depended on, at the revisions they must still have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub requires: Vec<KindRevision>,
}

/// Change of one section.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct SectionChange {
    /// Path of the section.
    pub section: SectionPath,
    /// Revision that the change is based on, 0 for a section that never existed.
    pub base_revision: Revision,
    /// New value, none to remove the section.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// Kind of section and the highest revision among its sections.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct KindRevision {
    /// Kind: the part of a section path before the slash.
    pub kind: SmolStr,
    /// Highest revision, 0 if the kind has no section.
    pub revision: Revision,
}

/// Complete state up to an offset below that of the snapshot record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// State after folding the record at `state.applied`.
    pub state: ConfigurationState,
}

/// Error in decoding a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The payload is not a record; every node skips it.
    Malformed(String),
    /// The record has this later format; this build can fold neither it nor any later record.
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

/// Part of a payload that has the same form in all formats.
#[derive(Deserialize)]
struct FormatHeader {
    format: u32,
}

#[derive(Serialize)]
struct Envelope<'a> {
    format: u32,
    #[serde(flatten)]
    record: &'a ConfigurationRecord,
}

impl ConfigurationRecord {
    /// Returns the record that sets `raw` as the initial document of an empty stream.
    pub fn initial(raw: RawDocument) -> Self {
        Self::Initial(InitialDocument {
            author: SmolStr::new_static("initial"),
            built_by: SmolStr::new_static(env!("CARGO_PKG_VERSION")),
            sections: split_document(&raw),
        })
    }

    /// Returns the snapshot that sets `raw` as the document of a stream whose records up to
    /// `expired_to` have expired; only nodes without a state adopt it.
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

    /// Encodes the record as a log payload.
    pub fn encode(&self) -> Bytes {
        let envelope = Envelope { format: RECORD_FORMAT, record: self };
        serde_json::to_vec(&envelope).expect("records hold only JSON values").into()
    }

    /// Decodes a log payload.
    ///
    /// # Errors
    ///
    /// The payload is malformed or of a later format.
    pub fn decode(payload: &[u8]) -> Result<Self, RecordError> {
        let malformed = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let header: FormatHeader = serde_json::from_slice(payload).map_err(malformed)?;
        if header.format > RECORD_FORMAT {
            return Err(RecordError::NewerFormat(header.format));
        }
        let record: Self = serde_json::from_slice(payload).map_err(malformed)?;
        record.check_edit().map_err(|reason| RecordError::Malformed(reason.to_owned()))?;
        Ok(record)
    }

    fn check_edit(&self) -> Result<(), &'static str> {
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
