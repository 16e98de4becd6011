//! Messages of membership.

use crate::types::{AvailabilityZone, InstanceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};

/// Status of a member; of two records of the same version, the later status here holds.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberStatus {
    /// In service.
    Alive,
    /// A partner cannot reach it.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It stopped gracefully; this is final for the run.
    Left,
}

/// What is known about a run of a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct MemberRecord {
    /// Run of the node.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Partner listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Availability zone.
    #[serde(rename = "z")]
    pub availability_zone: AvailabilityZone,
    /// Start of the run by its own clock; orders runs at the same address.
    #[serde(rename = "t")]
    pub started_unix_ms: u64,
    /// Raised by the member alone, to refute a suspicion.
    #[serde(rename = "v")]
    pub version: u64,
    /// Status.
    #[serde(rename = "s")]
    pub status: MemberStatus,
}

/// Event that changes the membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Partner listeners of the live entry instances on the platform's list.
    SeedAddresses(Vec<SocketAddr>),
    /// A link was opened and its peer authenticated.
    LinkOpened {
        /// Record that the peer gave of itself.
        peer: MemberRecord,
        /// Whether this node dialed.
        dialed: bool,
    },
    /// The link to a peer closed.
    LinkClosed {
        /// Peer.
        peer: InstanceId,
        /// Whether the peer closed it in good order.
        graceful: bool,
    },
    /// A dial failed.
    DialFailed(SocketAddr),
    /// A peer sent any message.
    MessageReceived(InstanceId),
    /// A peer sent a ping with a digest of its member set.
    Ping {
        /// Peer.
        peer: InstanceId,
        /// Digest.
        digest: u64,
    },
    /// A peer sent member records.
    Records {
        /// Peer.
        peer: InstanceId,
        /// Records.
        records: Vec<MemberRecord>,
    },
    /// Time passed.
    Tick,
    /// The node stops gracefully.
    Leave,
}

/// Command of membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipCommand {
    /// Open a link.
    Dial(SocketAddr),
    /// Close the link to a peer in good order.
    Close(InstanceId),
    /// Send member records to a peer.
    SendRecords {
        /// Peer.
        to: InstanceId,
        /// Records.
        records: Vec<MemberRecord>,
    },
    /// Send a ping with a digest of the member set to a peer.
    SendPing {
        /// Peer.
        to: InstanceId,
        /// Digest.
        digest: u64,
    },
}
