//! Differential test of the follower against a naive fold, for each way in which a node can obtain
//! its state: the whole stream, arbitrary pages, a snapshot after retention, a partner's copy.

use super::generate::{Step, log_record, steps};
use super::naive::NaiveFold;
use super::proptest_config;
use coriandertide::decision::configuration::{
    ConfigurationCommand, ConfigurationEvent, ConfigurationFollower, ConfigurationRecord,
    KindRevision, Snapshot,
};
use coriandertide::document::RawDocument;
use coriandertide::ports::{LogPage, LogRecord};
use proptest::prelude::*;
use serde_json::Value;
use std::collections::BTreeMap;

type Sections = BTreeMap<String, (u64, Option<Value>)>;

fn page(records: &[LogRecord], first_offset: u64, from: u64, to: u64) -> ConfigurationEvent {
    let in_range = |record: &&LogRecord| (from.max(first_offset)..=to).contains(&record.offset);
    ConfigurationEvent::LogRead(LogPage {
        first_offset,
        next_offset: records.len() as u64 + 1,
        records: records.iter().filter(in_range).cloned().collect(),
    })
}

fn sections(follower: &ConfigurationFollower) -> Option<Sections> {
    let state = follower.state()?;
    let content = state.sections.iter();
    Some(content.map(|(path, s)| (path.to_string(), (s.revision, s.value.clone()))).collect())
}

/// Returns the stream made of `steps`, the sections of the naive fold after each record, and that
/// fold.
fn stream(steps: Vec<Step>) -> (Vec<LogRecord>, Vec<Sections>, NaiveFold) {
    let mut naive = NaiveFold::default();
    let mut follower = ConfigurationFollower::default();
    let mut records = Vec::new();
    let mut sections_after = vec![Sections::new()];
    for (offset, step) in (1..).zip(steps) {
        let payload = match step {
            Step::Record(record) => record.encode(),
            Step::CurrentEdit(mut edit) => {
                for change in &mut edit.changes {
                    change.base_revision = naive.section_revision(&change.section);
                }
                edit.requires = vec![KindRevision {
                    kind: "site".into(),
                    revision: naive.kind_revision("site"),
                }];
                ConfigurationRecord::Edit(edit).encode()
            }
            Step::Snapshot => match follower.partner_copy() {
                Some(copy) => {
                    let state = copy.state.as_ref().clone();
                    ConfigurationRecord::Snapshot(Snapshot { state }).encode()
                }
                None => "nothing yet".into(),
            },
            Step::Malformed(bytes) => bytes.into(),
        };
        records.push(log_record(offset, payload));
        naive.fold_record(offset, &records.last().unwrap().payload);
        follower.apply(page(&records, 1, offset, offset));
        sections_after.push(naive.sections());
    }
    (records, sections_after, naive)
}

proptest! {
    #![proptest_config(proptest_config(601))]

    #[test]
    fn follower_agrees_with_naive_fold(
        steps in steps(40),
        expired in 0..40_u64,
        page_len in 1..9_u64,
    ) {
        let (records, sections_after, naive) = stream(steps);
        let last = records.len() as u64;

        let mut whole = ConfigurationFollower::default();
        whole.apply(page(&records, 1, 1, last));
        prop_assert_eq!(sections(&whole), sections_after.last().cloned());
        let state = whole.state().unwrap();
        for (edit_id, offset) in &naive.accepted_ids {
            prop_assert_eq!(state.find_edit(edit_id).map(|entry| entry.offset), Some(*offset));
        }

        let mut overlapping = ConfigurationFollower::default();
        let mut applied = 0;
        for end in (1..=last).step_by(usize::try_from(page_len).unwrap()).chain([last]) {
            overlapping.apply(page(&records, 1, end.saturating_sub(page_len + 2), end));
            overlapping.apply(page(&records, 1, 1, end / 2));
            prop_assert!(overlapping.announcement().offset >= applied);
            applied = overlapping.announcement().offset;
            prop_assert_eq!(sections(&overlapping), sections_after.get(applied as usize).cloned());
        }
        prop_assert_eq!(overlapping.state(), whole.state());

        let mut late = ConfigurationFollower::default();
        late.apply(page(&records, expired + 1, 1, last));
        if let Some(found) = sections(&late) {
            let offset = late.announcement().offset as usize;
            prop_assert_eq!(Some(found), sections_after.get(offset).cloned());
        }
        late.apply(ConfigurationEvent::PartnerCopy(whole.partner_copy().unwrap()));
        prop_assert_eq!(late.state(), whole.state());
    }
}

#[test]
fn late_node_starts_from_a_snapshot_after_retention() {
    let first = ConfigurationRecord::initial(RawDocument::default()).encode();
    let mut early = ConfigurationFollower::default();
    let mut records = vec![log_record(1, first), log_record(2, "bad")];
    early.apply(page(&records, 1, 1, 2));
    let state = early.partner_copy().unwrap().state.as_ref().clone();
    let snapshot = ConfigurationRecord::Snapshot(Snapshot { state });
    records.push(log_record(3, snapshot.encode()));
    records.push(log_record(4, "bad too"));

    let mut late = ConfigurationFollower::default();
    late.apply(page(&records, 3, 1, 3));
    late.apply(page(&records, 3, 4, 4));
    early.apply(page(&records, 1, 3, 4));
    assert_eq!(late.partner_copy(), early.partner_copy());
    assert_eq!(late.document_in_force().offset, 1);
    assert_eq!(late.next_read_offset(), 5);
}

#[test]
fn older_copies_and_repeated_pages_never_revert() {
    let first = ConfigurationRecord::initial(RawDocument::default()).encode();
    let records = vec![log_record(1, first), log_record(2, "bad")];
    let mut follower = ConfigurationFollower::default();
    follower.apply(page(&records, 1, 1, 1));
    let older = follower.partner_copy().unwrap();
    follower.apply(page(&records, 1, 2, 2));
    assert_eq!(follower.apply(ConfigurationEvent::PartnerCopy(older)), vec![]);
    assert_eq!(follower.apply(page(&records, 1, 1, 2)), vec![]);
    assert_eq!(follower.announcement().offset, 2);
}

#[test]
fn record_of_a_later_format_stops_the_fold_until_a_copy_passes_it() {
    let first = ConfigurationRecord::initial(RawDocument::default()).encode();
    let records =
        vec![log_record(1, first), log_record(2, r#"{"format":2}"#), log_record(3, "bad")];
    let mut follower = ConfigurationFollower::default();
    let commands = follower.apply(page(&records, 1, 1, 3));
    assert!(commands.contains(&ConfigurationCommand::ReportNewerFormat(2, 2)));
    assert_eq!(follower.announcement().offset, 1);
    assert!(follower.newer_record().is_some());
    let mut copy = follower.partner_copy().unwrap();
    let state = std::sync::Arc::make_mut(&mut copy.state);
    state.applied = 2;
    follower.apply(ConfigurationEvent::PartnerCopy(copy));
    assert_eq!(follower.announcement().offset, 3);
    assert_eq!(follower.newer_record(), None);
}

#[test]
fn accepted_document_that_is_invalid_is_held_back() {
    let first = ConfigurationRecord::initial(RawDocument::default()).encode();
    let later = r#"{"format":1,"kind":"edit","edit_id":"a","author":"a","built_by":"9.0.0",
        "changes":[{"section":"quotas/new","base_revision":0,"value":{}}]}"#;
    let repair = r#"{"format":1,"kind":"edit","edit_id":"b","author":"a","built_by":"9.0.0",
        "changes":[{"section":"quotas/new","base_revision":2}]}"#;
    let records = vec![log_record(1, first), log_record(2, later), log_record(3, repair)];
    let mut follower = ConfigurationFollower::default();
    follower.apply(page(&records, 1, 1, 2));
    assert_eq!(follower.document_in_force().offset, 1);
    insta::assert_snapshot!(follower.held_back().unwrap(), @"quotas.new: unknown field `quotas`, expected one of `workspaces`, `models`, `servers`, `services`, `site`, `owners`");
    let mut restarted = ConfigurationFollower::default();
    restarted.apply(ConfigurationEvent::PartnerCopy(follower.partner_copy().unwrap()));
    assert_eq!(restarted.announcement(), follower.announcement());
    follower.apply(page(&records, 1, 3, 3));
    assert_eq!(follower.document_in_force().offset, 3);
    assert_eq!(follower.held_back(), None);
}
