//! Follower of the `configuration` stream: finds a base, folds records in order, and keeps the
//! latest document that this build finds valid in force.
//!
//! A base is what a fold can start from: the start of the stream, a snapshot or a partner's state.

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

/// Maximum number of malformed records shown in the status.
const MAX_MALFORMED_RECORDS: usize = 16;
/// Maximum number of earlier states tried in place of a state with an invalid document.
const MAX_EARLIER_STATES: usize = 64;
/// Maximum number of records buffered while there is no base; the oldest are dropped, since a later
/// snapshot covers them.
const MAX_BUFFERED_RECORDS: usize = 16_384;

/// Configuration of a node, sent to a partner that cannot read the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationCopy {
    /// Record format of the build that folded the state.
    pub format: u32,
    /// State folded by the sender.
    pub state: Arc<ConfigurationState>,
    /// State whose document the sender has in force, if it finds the document of `state` invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_good: Option<Arc<ConfigurationState>>,
}

/// How far a node has read its configuration, sent to partners.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationAnnouncement {
    /// Offset of the last folded record.
    pub offset: LogOffset,
    /// Revision of the document in force.
    pub in_force: Revision,
}

/// Event for [`ConfigurationFollower`].
#[derive(Clone, Debug)]
pub enum ConfigurationEvent {
    /// A page of the stream was read.
    LogRead(LogPage),
    /// A copy of a partner's configuration was received.
    PartnerCopy(ConfigurationCopy),
}

/// Malformed record, skipped by the fold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MalformedRecord {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Decoding error.
    pub reason: String,
}

/// Command issued by [`ConfigurationFollower`].
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationCommand {
    /// Put this document in force.
    PutInForce(Arc<Document>),
    /// Send this announcement to the partners.
    Announce(ConfigurationAnnouncement),
    /// Report a malformed record.
    ReportMalformedRecord(MalformedRecord),
    /// Report that the snapshot at this offset differs from the state folded by this node.
    ReportSnapshotDiffers(LogOffset),
    /// Report that the accepted document at this revision is invalid; the last valid one stays in
    /// force.
    ReportHeldBack(Revision, Faults),
    /// Report a record of a later format, by offset and format: this build can fold neither it nor
    /// any later record.
    ReportNewerFormat(LogOffset, u32),
}

/// Record of a later format than this build reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerRecord {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Format of the record.
    pub format: u32,
}

/// Follower of the `configuration` stream on one node.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFollower {
    /// Folded state, none while there is no base.
    state: Option<Arc<ConfigurationState>>,
    /// Records read but not folded yet.
    buffered: BTreeMap<LogOffset, LogRecord>,
    folded_records: FoldedRecords,
    /// Last state with a valid document at the partner that sent the latest copy.
    partner_last_good: Option<Arc<ConfigurationState>>,
    in_force: DocumentInForce,
    newer_record: Option<NewerRecord>,
    malformed_records: VecDeque<MalformedRecord>,
    base_appended_at: Option<SystemTime>,
    /// Last offset of the stream at the latest read.
    last_stream_offset: Option<LogOffset>,
}

impl ConfigurationFollower {
    /// Applies `event` and returns the resulting commands.
    pub fn apply(&mut self, event: ConfigurationEvent) -> Vec<ConfigurationCommand> {
        let before = self.state.as_ref().map(|_| self.announcement());
        let mut commands = Vec::new();
        match event {
            ConfigurationEvent::LogRead(page) => self.buffer_page(page, &mut commands),
            ConfigurationEvent::PartnerCopy(copy) => self.adopt_copy(copy),
        }
        self.fold_buffered(&mut commands);
        self.update_in_force(&mut commands);
        let after = self.announcement();
        if self.state.is_some() && before != Some(after) {
            commands.push(ConfigurationCommand::Announce(after));
        }
        commands
    }

    /// Returns the folded state, or none while there is no base.
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

    /// Returns the faults that keep the latest accepted document from being in force, if any.
    pub fn held_back(&self) -> Option<&Faults> {
        self.in_force.held_back.as_ref()
    }

    /// Returns the record of a later format that stops the fold, if any.
    pub fn newer_record(&self) -> Option<NewerRecord> {
        self.newer_record
    }

    /// Returns the last offset of the stream if its first records have expired and the rest holds
    /// no base.
    pub fn expired_to(&self) -> Option<LogOffset> {
        self.last_stream_offset.filter(|_| self.state.is_none())
    }

    /// Returns when the latest record that is a base was appended, by the log's clock.
    pub fn base_appended_at(&self) -> Option<SystemTime> {
        self.base_appended_at
    }

    /// Returns the latest malformed records.
    pub fn malformed_records(&self) -> impl Iterator<Item = &MalformedRecord> {
        self.malformed_records.iter()
    }

    /// Returns the announcement to send to partners.
    pub fn announcement(&self) -> ConfigurationAnnouncement {
        ConfigurationAnnouncement {
            offset: self.applied_offset(),
            in_force: self.in_force.document.offset,
        }
    }

    /// Returns the offset from which to read the log next.
    pub fn next_read_offset(&self) -> LogOffset {
        let last_buffered = self.buffered.keys().next_back().copied().unwrap_or(0);
        last_buffered.max(self.applied_offset()) + 1
    }

    /// Returns the copy to send to partners, or none while there is no base.
    pub fn partner_copy(&self) -> Option<ConfigurationCopy> {
        let state = Arc::clone(self.state.as_ref()?);
        let last_good = self.held_back().and(self.in_force.state.clone());
        Some(ConfigurationCopy { format: super::RECORD_FORMAT, state, last_good })
    }

    fn applied_offset(&self) -> LogOffset {
        self.state.as_ref().map_or(0, |state| state.applied)
    }

    /// Buffers the records of a page that are not folded yet. A stream that still has its first
    /// record starts from the empty state.
    fn buffer_page(&mut self, page: LogPage, commands: &mut Vec<ConfigurationCommand>) {
        let has_stream_start = page.first_offset <= 1;
        if self.state.is_none() && has_stream_start {
            self.state = Some(Arc::default());
        }
        self.last_stream_offset = Some(page.next_offset.saturating_sub(1));
        let applied = self.applied_offset();
        for record in page.records {
            if record.offset > applied {
                self.adopt_snapshot(&record, commands);
                self.buffered.insert(record.offset, record);
            }
        }
        while self.buffered.len() > MAX_BUFFERED_RECORDS {
            self.buffered.pop_first();
        }
    }

    /// Adopts the state of a snapshot if records before it have not been read.
    fn adopt_snapshot(&mut self, record: &LogRecord, commands: &mut Vec<ConfigurationCommand>) {
        self.fold_buffered(commands);
        if record.offset == self.applied_offset() + 1 && self.state.is_some() {
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
            self.partner_last_good = copy.last_good;
            self.adopt(copy.state);
        }
    }

    /// Replaces the state by `state` if that is later.
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
        self.folded_records = FoldedRecords::default();
    }

    /// Folds the buffered records that follow the state, up to a gap or a record of a later format.
    fn fold_buffered(&mut self, commands: &mut Vec<ConfigurationCommand>) {
        let Some(state) = &mut self.state else {
            return;
        };
        let next_offset = state.applied + 1;
        if self.buffered.first_key_value().is_none_or(|(offset, _)| *offset != next_offset) {
            return;
        }
        if self.folded_records.start.is_none() {
            self.folded_records.start = Some(Arc::clone(state));
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
                        self.base_appended_at = Some(record.appended_at);
                    }
                }
                Err(RecordError::Malformed(reason)) => {
                    state.skip(record.offset);
                    let malformed = MalformedRecord { offset: record.offset, reason };
                    push_malformed(&mut self.malformed_records, malformed.clone());
                    commands.push(ConfigurationCommand::ReportMalformedRecord(malformed));
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
            self.folded_records.records.push(entry.remove());
        }
    }

    /// Puts the document of the folded state in force if it is valid, otherwise the latest earlier
    /// valid one.
    fn update_in_force(&mut self, commands: &mut Vec<ConfigurationCommand>) {
        let Some(state) = &self.state else {
            return;
        };
        let folded_records = std::mem::take(&mut self.folded_records);
        if !self.in_force.needs_validation(state) {
            return;
        }
        let last_good = self.partner_last_good.take();
        let fallbacks =
            std::iter::once_with(|| folded_records.earlier_states()).flatten().chain(last_good);
        self.in_force.update(state, fallbacks, commands);
    }
}

/// Records folded since the last validation, from which the states in between can be recomputed.
#[derive(Clone, Debug, Default)]
struct FoldedRecords {
    /// State before the first of the records.
    start: Option<Arc<ConfigurationState>>,
    records: Vec<LogRecord>,
}

impl FoldedRecords {
    /// Returns the start and the states after each change, the latest first, at most
    /// [`MAX_EARLIER_STATES`].
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
            if states.len() > MAX_EARLIER_STATES {
                states.pop_front();
            }
        }
        states.into_iter().rev().collect()
    }
}

/// Whether a fold can start from the record.
fn is_base(record: &ConfigurationRecord, effect: RecordEffect) -> bool {
    match record {
        ConfigurationRecord::Initial(_) => effect == RecordEffect::Changed,
        ConfigurationRecord::Edit(_) => false,
        ConfigurationRecord::Snapshot(_) => effect == RecordEffect::Unchanged,
    }
}

fn push_malformed(malformed_records: &mut VecDeque<MalformedRecord>, malformed: MalformedRecord) {
    malformed_records.push_back(malformed);
    if malformed_records.len() > MAX_MALFORMED_RECORDS {
        malformed_records.pop_front();
    }
}
