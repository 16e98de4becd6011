//! Records, events and commands of the lease decision.

use super::table::LeaseStreamRecord;
use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use strum::{Display, EnumIter, IntoStaticStr};

/// What a lease entitles its holder to.
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
    /// Giving placement orders to model engines.
    Placement,
    /// Republishing the configuration document before its records expire.
    ConfigurationSnapshot,
}

/// Change on the stream `leases`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Lease.
    pub kind: LeaseKind,
    /// Instance that appended the record.
    pub holder: InstanceId,
    /// Number of the attempt within the instance; an append whose answer is lost is repeated under
    /// the same number.
    pub attempt: u64,
    /// Offset of the record of this lease that this one replaces, 0 if none; the record counts
    /// only if that is still the last one in force.
    pub replaces: LogOffset,
    /// What the record does.
    pub action: LeaseAction,
}

/// Action of a lease record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum LeaseAction {
    /// Acquires or renews the lease.
    Hold {
        /// Milliseconds that the lease lasts.
        lease_ms: u64,
    },
    /// Gives the lease up.
    Release,
}

/// Event that changes the lease state.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// A page of the stream `leases` was read.
    Page {
        /// Page.
        page: LogPage,
        /// Offset that was asked for.
        from_offset: LogOffset,
    },
    /// The leases that this node should try to hold.
    Desired(BTreeSet<LeaseKind>),
    /// Time passed.
    Tick,
    /// The node stops gracefully; held leases are released.
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
        /// Fencing number of orders under the lease.
        fencing_number: LogOffset,
    },
    /// This node no longer holds the lease.
    Lost {
        /// Lease.
        kind: LeaseKind,
    },
}
