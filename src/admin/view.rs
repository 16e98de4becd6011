//! What the control thread publishes for the administration API.

use super::messages::{LeaseReply, NodeReply, PowerReply};
use crate::decision::configuration::{
    ConfigurationAnnouncement, ConfigurationFollower, ConfigurationState, MalformedRecord,
    NewerRecord,
};
use crate::types::{Faults, LogOffset};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Immutable view of the control state for the administration API; a clone shares all parts.
#[derive(Clone, Debug, Default)]
pub struct AdminView {
    /// Configuration.
    pub configuration: Arc<ConfigurationView>,
    /// Nodes, this one included.
    pub nodes: Arc<Vec<NodeReply>>,
    /// Leases.
    pub leases: Arc<Vec<LeaseReply>>,
    /// Power of this node.
    pub power: PowerReply,
    /// Log streams by name.
    pub streams: BTreeMap<&'static str, StreamStatus>,
}

/// Where this node stands in a log stream.
#[derive(Clone, Debug, Default)]
pub struct StreamStatus {
    /// Offset of the next read.
    pub next_offset: LogOffset,
    /// When the stream was last read.
    pub last_read_at: Option<Instant>,
    /// Error of the last read, if it failed.
    pub last_error: Option<String>,
}

/// Configuration as a node has folded it.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
    /// State, none while no base has been found.
    pub state: Option<Arc<ConfigurationState>>,
    /// Offsets that partners are told.
    pub announcement: ConfigurationAnnouncement,
    /// Faults for which the accepted document is not in force.
    pub held_back: Option<Faults>,
    /// Last offset of a stream whose first records expired without a base in the rest.
    pub expired_to: Option<LogOffset>,
    /// Record that needs a later build.
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
