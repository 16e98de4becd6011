//! Hundreds of editors race for the same sections while answers of the log get lost: no accepted
//! edit is lost or applied twice.

use super::generate::log_record;
use super::proptest_config;
use coriandertide::decision::configuration::{
    ConfigurationEvent, ConfigurationFollower, ConfigurationRecord, EditOutcome, EditRefusal,
    EditRequest, SectionChange, prepare_edit,
};
use coriandertide::document::{Owner, OwnerRole, RawDocument, hash_key};
use coriandertide::ports::{LogPage, LogRecord};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::Config;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

const EDITORS: usize = 200;
const NODES: usize = 5;
const SECTIONS: usize = 6;

struct Site {
    log: Vec<LogRecord>,
    nodes: Vec<ConfigurationFollower>,
    rng: Rng,
    /// Accepted edits by section.
    accepted: BTreeMap<String, u32>,
    /// Editors whose edit was appended at least once.
    appended: BTreeSet<usize>,
    /// Edits refused before any append.
    rejected: u32,
}

impl Site {
    fn new(seed: u64) -> Self {
        let first = ConfigurationRecord::initial(RawDocument::default()).encode();
        let mut site = Self {
            log: vec![log_record(1, first)],
            nodes: vec![ConfigurationFollower::default(); NODES],
            rng: Rng::with_seed(seed),
            accepted: BTreeMap::new(),
            appended: BTreeSet::new(),
            rejected: 0,
        };
        (0..NODES).for_each(|node| site.read_log(node));
        site
    }

    fn append(&mut self, payload: bytes::Bytes) {
        let offset = self.log.len() as u64 + 1;
        self.log.push(log_record(offset, payload));
    }

    /// Lets a node read a random part of the log that it has not read yet.
    fn read_log(&mut self, node: usize) {
        let from = usize::try_from(self.nodes[node].next_read_offset()).unwrap() - 1;
        let to = self.rng.usize(from..=self.log.len()).max(from);
        let next_offset = self.log.len() as u64 + 1;
        let records = self.log[from..to].to_vec();
        let page = LogPage { first_offset: 1, next_offset, records };
        self.nodes[node].apply(ConfigurationEvent::LogRead(page));
    }

    /// Lets an editor add 1 to the rate of a section through a node that may lag. The request or
    /// its answer may get lost; the editor then retries, possibly through another node.
    fn edit(&mut self, editor: usize, owner: &Owner) {
        let section = format!("workspaces/w{}", self.rng.usize(..SECTIONS));
        let mut node = self.rng.usize(..NODES);
        let state = self.nodes[node].state().unwrap();
        let rate = state.sections.get(section.as_str()).map_or(0, |section| {
            section.value.as_ref().unwrap()["requests_per_s"].as_u64().unwrap()
        });
        let request = EditRequest {
            edit_id: format!("edit-{editor}").into(),
            changes: vec![SectionChange {
                base_revision: state.section_revision(&section),
                section: section.clone().into(),
                value: Some(json!({ "requests_per_s": rate + 1 })),
            }],
        };
        loop {
            let state = self.nodes[node].state().unwrap();
            if let Some(entry) = state.find_edit(&request.edit_id) {
                match &entry.outcome {
                    EditOutcome::Accepted => *self.accepted.entry(section).or_default() += 1,
                    EditOutcome::Lost(winner) => assert!(winner.revision < entry.offset),
                    EditOutcome::Overtaken(kind) => panic!("{kind:?}"),
                }
                return;
            }
            match prepare_edit(state, request.clone(), (&"team".into(), owner)) {
                Ok(edit) if self.rng.u8(..) < 200 => {
                    self.append(ConfigurationRecord::Edit(edit).encode());
                    self.appended.insert(editor);
                }
                Ok(_) => {}
                Err(EditRefusal::Outdated(EditOutcome::Lost(_))) => {
                    // An earlier attempt may have appended this edit; only its entry in the
                    // history shows the outcome.
                    if !self.appended.contains(&editor) {
                        self.rejected += 1;
                        return;
                    }
                }
                Err(refusal) => panic!("{refusal:?}"),
            }
            if self.rng.bool() {
                node = self.rng.usize(..NODES);
            }
            self.read_log(node);
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 32, ..proptest_config(603) })]

    #[test]
    fn no_update_is_lost_or_applied_twice(seed in any::<u64>()) {
        let owner = Owner {
            key_hashes: vec![hash_key("key")],
            role: OwnerRole::Administrator,
            sections: Vec::new(),
        };
        let mut site = Site::new(seed);
        for editor in 0..EDITORS {
            site.edit(editor, &owner);
            let node = site.rng.usize(..NODES);
            site.read_log(node);
        }
        let next_offset = site.log.len() as u64 + 1;
        for node in &mut site.nodes {
            let from = usize::try_from(node.next_read_offset()).unwrap() - 1;
            let records = site.log[from..].to_vec();
            node.apply(ConfigurationEvent::LogRead(LogPage { first_offset: 1, next_offset, records }));
        }
        for node in &site.nodes {
            prop_assert_eq!(node.partner_copy(), site.nodes[0].partner_copy());
            let rates: BTreeMap<String, u32> = node.raw_in_force().workspaces.iter()
                .map(|(name, workspace)| (format!("workspaces/{name}"), workspace.requests_per_s))
                .collect();
            prop_assert_eq!(&rates, &site.accepted);
        }
        prop_assert!(site.accepted.values().sum::<u32>() + site.rejected <= EDITORS as u32);
    }
}
