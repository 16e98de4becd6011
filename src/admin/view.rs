//! View of the control state that the control thread publishes for the administration API.

use super::messages::{LeaseReply, NodeReply, PowerReply};
use crate::decision::configuration::{
    ConfigurationAnnouncement, ConfigurationFollower, ConfigurationState, MalformedRecord,
    NewerRecord,
};
use crate::types::{Faults, LogOffset};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Immutable view of the control state; clones share its large parts.
#[derive(Clone, Debug, Default)]
pub struct AdminView {
    /// State of the configuration.
    pub configuration: Arc<ConfigurationView>,
    /// Known nodes, including this one.
    pub nodes: Arc<Vec<NodeReply>>,
    /// Leases and their holders.
    pub leases: Arc<Vec<LeaseReply>>,
    /// Power budget of this node.
    pub power: PowerReply,
    /// Read status of the log streams, by name.
    pub streams: BTreeMap<&'static str, StreamStatus>,
}

/// How far this node has read a log stream.
#[derive(Clone, Debug, Default)]
pub struct StreamStatus {
    /// Offset of the next read.
    pub next_offset: LogOffset,
    /// Time of the last successful read, none before the first.
    pub last_read_at: Option<Instant>,
    /// Error of the last read, none if it succeeded.
    pub last_error: Option<String>,
}

/// Configuration as this node has folded it.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
    /// Folded state, none while the stream has given no base to start from.
    pub state: Option<Arc<ConfigurationState>>,
    /// Offset and revision announced to partners.
    pub announcement: ConfigurationAnnouncement,
    /// Faults that keep the latest accepted document from being in force, if any.
    pub held_back: Option<Faults>,
    /// Last offset of the stream if its first records have expired and the rest holds no base.
    pub expired_to: Option<LogOffset>,
    /// Record of a later format, which stops the fold until a later build reads it, if any.
    pub newer_record: Option<NewerRecord>,
    /// Latest malformed records.
    pub malformed_records: Vec<MalformedRecord>,
}

impl From<&ConfigurationFollower> for ConfigurationView {
    fn from(follower: &ConfigurationFollower) -> Self {
        Self {
            state: follower.state().cloned(),
            announcement: follower.announcement(),
            held_back: follower.held_back().cloned(),
            expired_to: follower.expired_to(),
            newer_record: follower.newer_record(),
            malformed_records: follower.malformed_records().cloned().collect(),
        }
    }
}
