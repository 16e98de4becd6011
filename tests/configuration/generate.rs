//! Generated streams of records.

use coriandertide::decision::configuration::{
    ConfigurationRecord, Edit, InitialDocument, KindRevision, SectionChange,
};
use coriandertide::ports::LogRecord;
use proptest::prelude::*;
use serde_json::json;
use std::time::{Duration, SystemTime};

const SECTIONS: [&str; 4] = ["workspaces/survey", "workspaces/manifest", "models/guide", "site"];
const KINDS: [&str; 3] = ["workspaces", "models", "owners"];

/// Returns the log record at `offset`.
pub fn log_record(offset: u64, payload: impl Into<bytes::Bytes>) -> LogRecord {
    let appended_at = SystemTime::UNIX_EPOCH + Duration::from_secs(offset);
    LogRecord { offset, appended_at, payload: payload.into() }
}

fn change(end_offset: u64) -> impl Strategy<Value = SectionChange> {
    let base = prop_oneof![2 => Just(0), 8 => 0..end_offset.max(1)];
    let value = prop_oneof![
        1 => Just(None),
        4 => (1..9_u32).prop_map(|rate| Some(json!({ "requests_per_s": rate }))),
    ];
    (prop::sample::select(&SECTIONS[..]), base, value).prop_map(
        |(section, base_revision, value)| SectionChange {
            section: section.into(),
            base_revision,
            value,
        },
    )
}

fn edit(stream_len: u64) -> impl Strategy<Value = Edit> {
    let requires = prop::option::weighted(0.2, (prop::sample::select(&KINDS[..]), 0..stream_len));
    (0..stream_len * 2, prop::collection::vec(change(stream_len), 1..3), requires).prop_map(
        |(id, mut changes, requires)| {
            changes.dedup_by(|a, b| a.section == b.section);
            Edit {
                edit_id: format!("edit-{id}").into(),
                author: "author".into(),
                built_by: "test".into(),
                changes,
                requires: requires
                    .map(|(kind, revision)| KindRevision { kind: kind.into(), revision })
                    .into_iter()
                    .collect(),
            }
        },
    )
}

/// Step from which one record of a stream is made.
#[derive(Clone, Debug)]
pub enum Step {
    /// Record to append unchanged.
    Record(ConfigurationRecord),
    /// Edit whose bases and requirements are set to the current revisions, so that it is accepted.
    CurrentEdit(Edit),
    /// Snapshot of the state before it.
    Snapshot,
    /// Arbitrary bytes.
    Malformed(Vec<u8>),
}

/// Generates streams of fewer than `max_steps` steps.
pub fn steps(max_steps: u64) -> impl Strategy<Value = Vec<Step>> {
    let initial = InitialDocument {
        author: "initial".into(),
        built_by: "test".into(),
        sections: [("site".into(), json!({ "budget_watts": 100 }))].into(),
    };
    let step = prop_oneof![
        1 => Just(Step::Record(ConfigurationRecord::Initial(initial))),
        4 => edit(max_steps).prop_map(|edit| Step::Record(ConfigurationRecord::Edit(edit))),
        6 => edit(max_steps).prop_map(Step::CurrentEdit),
        1 => Just(Step::Snapshot),
        1 => prop::collection::vec(any::<u8>(), 0..20).prop_map(Step::Malformed),
    ];
    prop::collection::vec(step, 1..usize::try_from(max_steps).unwrap())
}
