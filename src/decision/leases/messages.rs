//! Records, events and commands of the lease decision.

use super::table::LeaseStreamRecord;
use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use strum::{Display, EnumIter, IntoStaticStr};

/// Task that only the holder of the lease may do.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LeaseKind {
    /// Sending placement orders to model engines.
    Placement,
    /// Republishing the configuration document before its records expire.
    ConfigurationSnapshot,
}

/// Record that acquires, renews or releases a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Lease.
    pub kind: LeaseKind,
    /// Instance that appended the record.
    pub holder: InstanceId,
    /// Number of the append within the instance. An append that is repeated because it was not read
    /// back has the same number.
    pub attempt: u64,
    /// Offset of the record of this lease that this one replaces, 0 if none. The record is ignored
    /// unless that one is still in force.
    pub replaces: LogOffset,
    /// Effect of the record.
    pub action: LeaseAction,
}

/// Action of a lease record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum LeaseAction {
    /// Acquires or renews the lease.
    Hold {
        /// Duration of the lease in milliseconds.
        lease_ms: u64,
    },
    /// Releases the lease.
    Release,
}

/// Event that changes the lease state.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// A page of the stream `leases` was read.
    Page {
        /// Page.
        page: LogPage,
        /// Offset that the read started from.
        from_offset: LogOffset,
    },
    /// Sets the leases that this node tries to acquire and renew.
    Desired(BTreeSet<LeaseKind>),
    /// Time passed.
    Tick,
    /// The node shuts down; it releases its leases.
    Stop,
}

/// Command of the lease decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseCommand {
    /// Append the record to the stream `leases`.
    Append(LeaseStreamRecord),
    /// This node now holds the lease.
    Acquired {
        /// Lease.
        kind: LeaseKind,
        /// Fencing number to send with each order under the lease.
        fencing_number: LogOffset,
    },
    /// This node no longer holds the lease.
    Lost {
        /// Lease.
        kind: LeaseKind,
    },
}
