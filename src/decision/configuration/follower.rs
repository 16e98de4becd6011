//! Follower of the `configuration` stream: finds a base, folds records in order, and keeps the
//! last document that this build could check in force.

use super::in_force::DocumentInForce;
use super::record::{ConfigurationRecord, RecordError};
use super::state::{ConfigurationState, RecordEffect};
use crate::document::{Document, RawDocument};
use crate::ports::{LogPage, LogRecord};
use crate::types::{Faults, LogOffset, Revision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::SystemTime;

/// Bad records that the status shows.
const SHOWN_BAD_RECORDS: usize = 16;
/// States before an unusable document that are tried in its place.
const EARLIER_STATES: usize = 64;
/// Records kept while no base is known; older ones are dropped, since a snapshot covers them.
const BUFFERED_RECORDS: usize = 16_384;

/// State of a node, sent to a partner that cannot read the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationCopy {
    /// Record format of the build that folded the state.
    pub format: u32,
    /// State.
    pub state: Arc<ConfigurationState>,
    /// State whose document the partner has in force, if it cannot check that of `state`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_good: Option<Arc<ConfigurationState>>,
}

/// What a node tells its partners about its configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationAnnouncement {
    /// Offset of the last record folded in.
    pub offset: LogOffset,
    /// Revision of the document in force.
    pub in_force: Revision,
}

/// Event for the follower.
#[derive(Clone, Debug)]
pub enum ConfigurationEvent {
    /// The log was read.
    LogRead(LogPage),
    /// A partner sent its state.
    PartnerCopy(ConfigurationCopy),
}

/// Record that changed nothing because it is malformed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MalformedRecord {
    /// Offset.
    pub offset: LogOffset,
    /// What is wrong with it.
    pub reason: String,
}

/// Command of the follower.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationCommand {
    /// Put this document in force.
    PutInForce(Arc<Document>),
    /// Tell the partners.
    Announce(ConfigurationAnnouncement),
    /// Report a malformed record.
    ReportMalformedRecord(MalformedRecord),
    /// Report that a snapshot at this offset differs from the state folded here.
    ReportSnapshotDiffers(LogOffset),
    /// Report that the accepted document cannot be checked; the last good one stays.
    ReportHeldBack(Revision, Faults),
    /// Report that this build cannot read the record at this offset or fold anything after it.
    ReportNewerFormat(LogOffset, u32),
}

/// Record that needs a later build.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerRecord {
    /// Offset.
    pub offset: LogOffset,
    /// Format.
    pub format: u32,
}

/// Follower of the stream on one node.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFollower {
    state: Option<Arc<ConfigurationState>>,
    buffered: BTreeMap<LogOffset, LogRecord>,
    folded: FoldedRecords,
    partner_good: Option<Arc<ConfigurationState>>,
    in_force: DocumentInForce,
    newer_record: Option<NewerRecord>,
    bad_records: VecDeque<MalformedRecord>,
    snapshot_at: Option<SystemTime>,
    stream_end: Option<LogOffset>,
}

impl ConfigurationFollower {
    /// Applies `event` and returns what to do.
    pub fn apply(&mut self, event: ConfigurationEvent) -> Vec<ConfigurationCommand> {
        let before = self.state.as_ref().map(|_| self.announcement());
        let mut commands = Vec::new();
        match event {
            ConfigurationEvent::LogRead(page) => self.read_page(page, &mut commands),
            ConfigurationEvent::PartnerCopy(copy) => self.adopt_copy(copy),
        }
        self.fold_buffered(&mut commands);
        self.check(&mut commands);
        let after = self.announcement();
        if self.state.is_some() && before != Some(after) {
            commands.push(ConfigurationCommand::Announce(after));
        }
        commands
    }

    /// Returns the state, or none while no base has been found.
    pub fn state(&self) -> Option<&Arc<ConfigurationState>> {
        self.state.as_ref()
    }

    /// Returns the document in force.
    pub fn document_in_force(&self) -> &Arc<Document> {
        &self.in_force.document
    }

    /// Returns the raw form of the document in force.
    pub fn raw_in_force(&self) -> &Arc<RawDocument> {
        &self.in_force.raw
    }

    /// Returns the faults for which the accepted document is not in force, if any.
    pub fn held_back(&self) -> Option<&Faults> {
        self.in_force.held_back.as_ref()
    }

    /// Returns the record that needs a later build, if one was met.
    pub fn newer_record(&self) -> Option<NewerRecord> {
        self.newer_record
    }

    /// Returns the last offset of the stream if its first records have expired and no base has been
    /// found in what is left.
    pub fn expired_to(&self) -> Option<LogOffset> {
        self.stream_end.filter(|_| self.state.is_none())
    }

    /// Returns when the last record that a new node can start from was appended, by the log's clock.
    pub fn base_appended_at(&self) -> Option<SystemTime> {
        self.snapshot_at
    }

    /// Returns the latest malformed records.
    pub fn malformed_records(&self) -> impl Iterator<Item = &MalformedRecord> {
        self.bad_records.iter()
    }

    /// Returns what partners should know.
    pub fn announcement(&self) -> ConfigurationAnnouncement {
        ConfigurationAnnouncement {
            offset: self.applied(),
            in_force: self.in_force.document.offset,
        }
    }

    /// Returns the offset from which to read the log next.
    pub fn next_read_offset(&self) -> LogOffset {
        let last_buffered = self.buffered.keys().next_back().copied().unwrap_or(0);
        last_buffered.max(self.applied()) + 1
    }

    /// Returns a copy for partners, or none while no base has been found.
    pub fn partner_copy(&self) -> Option<ConfigurationCopy> {
        let state = Arc::clone(self.state.as_ref()?);
        let last_good = self.held_back().and(self.in_force.state.clone());
        Some(ConfigurationCopy { format: super::RECORD_FORMAT, state, last_good })
    }

    fn applied(&self) -> LogOffset {
        self.state.as_ref().map_or(0, |state| state.applied)
    }

    fn read_page(&mut self, page: LogPage, commands: &mut Vec<ConfigurationCommand>) {
        let complete_from_start = page.first_offset <= 1;
        if self.state.is_none() && complete_from_start {
            self.state = Some(Arc::default());
        }
        self.stream_end = Some(page.next_offset.saturating_sub(1));
        let applied = self.applied();
        for record in page.records {
            if record.offset > applied {
                self.adopt_snapshot(&record, commands);
                self.buffered.insert(record.offset, record);
            }
        }
        while self.buffered.len() > BUFFERED_RECORDS {
            self.buffered.pop_first();
        }
    }

    /// Adopts the state of a snapshot if records before it are missing here.
    fn adopt_snapshot(&mut self, record: &LogRecord, commands: &mut Vec<ConfigurationCommand>) {
        self.fold_buffered(commands);
        if record.offset == self.applied() + 1 && self.state.is_some() {
            return;
        }
        let Ok(ConfigurationRecord::Snapshot(snapshot)) =
            ConfigurationRecord::decode(&record.payload)
        else {
            return;
        };
        if snapshot.state.applied < record.offset {
            self.adopt(Arc::new(snapshot.state));
        }
    }

    fn adopt_copy(&mut self, copy: ConfigurationCopy) {
        if copy.format <= super::RECORD_FORMAT {
            self.partner_good = copy.last_good;
            self.adopt(copy.state);
        }
    }

    fn adopt(&mut self, state: Arc<ConfigurationState>) {
        let is_later = match &self.state {
            None => true,
            Some(current) => state.applied > current.applied,
        };
        if !is_later {
            return;
        }
        self.buffered = self.buffered.split_off(&(state.applied + 1));
        self.newer_record = self.newer_record.filter(|newer| newer.offset > state.applied);
        self.state = Some(state);
        self.folded = FoldedRecords::default();
    }

    fn fold_buffered(&mut self, commands: &mut Vec<ConfigurationCommand>) {
        let Some(state) = &mut self.state else {
            return;
        };
        let next_offset = state.applied + 1;
        if self.buffered.first_key_value().is_none_or(|(offset, _)| *offset != next_offset) {
            return;
        }
        if self.folded.start.is_none() {
            self.folded.start = Some(Arc::clone(state));
        }
        let state = Arc::make_mut(state);
        while let Some(entry) = self.buffered.first_entry() {
            if *entry.key() != state.applied + 1 {
                return;
            }
            let record = entry.get();
            match ConfigurationRecord::decode(&record.payload) {
                Ok(decoded) => {
                    let effect = state.fold(record, &decoded);
                    if effect == RecordEffect::SnapshotDiffers {
                        commands.push(ConfigurationCommand::ReportSnapshotDiffers(record.offset));
                    }
                    if is_base(&decoded, effect) {
                        self.snapshot_at = Some(record.appended_at);
                    }
                }
                Err(RecordError::Malformed(reason)) => {
                    state.skip(record.offset);
                    let bad = MalformedRecord { offset: record.offset, reason };
                    remember(&mut self.bad_records, bad.clone());
                    commands.push(ConfigurationCommand::ReportMalformedRecord(bad));
                }
                Err(RecordError::NewerFormat(format)) => {
                    let newer = NewerRecord { offset: record.offset, format };
                    if self.newer_record.replace(newer) != Some(newer) {
                        commands
                            .push(ConfigurationCommand::ReportNewerFormat(record.offset, format));
                    }
                    return;
                }
            }
            self.folded.records.push(entry.remove());
        }
    }

    /// Puts the folded document in force if this build can check it, or else the latest earlier one
    /// that it can.
    fn check(&mut self, commands: &mut Vec<ConfigurationCommand>) {
        let Some(state) = &self.state else {
            return;
        };
        let folded = std::mem::take(&mut self.folded);
        if !self.in_force.is_behind(state) {
            return;
        }
        let fallback = self.partner_good.take();
        let earlier = std::iter::once_with(|| folded.earlier_states()).flatten().chain(fallback);
        self.in_force.advance(state, earlier, commands);
    }
}

/// Records folded since the last check, from which earlier states can be computed again.
#[derive(Clone, Debug, Default)]
struct FoldedRecords {
    start: Option<Arc<ConfigurationState>>,
    records: Vec<LogRecord>,
}

impl FoldedRecords {
    /// Returns the states before the last one, the latest first, at most [`EARLIER_STATES`].
    fn earlier_states(&self) -> Vec<Arc<ConfigurationState>> {
        let Some(start) = &self.start else {
            return Vec::new();
        };
        let mut state = start.as_ref().clone();
        let mut states = VecDeque::from([Arc::clone(start)]);
        for record in &self.records {
            let effect = match ConfigurationRecord::decode(&record.payload) {
                Ok(decoded) => state.fold(record, &decoded),
                Err(_) => continue,
            };
            if effect == RecordEffect::Changed {
                states.push_back(Arc::new(state.clone()));
            }
            if states.len() > EARLIER_STATES {
                states.pop_front();
            }
        }
        states.into_iter().rev().collect()
    }
}

/// Whether a new node can start from the record.
fn is_base(record: &ConfigurationRecord, effect: RecordEffect) -> bool {
    match record {
        ConfigurationRecord::Initial(_) => effect == RecordEffect::Changed,
        ConfigurationRecord::Edit(_) => false,
        ConfigurationRecord::Snapshot(_) => effect == RecordEffect::Unchanged,
    }
}

fn remember(bad_records: &mut VecDeque<MalformedRecord>, bad: MalformedRecord) {
    bad_records.push_back(bad);
    if bad_records.len() > SHOWN_BAD_RECORDS {
        bad_records.pop_front();
    }
}
