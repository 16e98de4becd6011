//! Records, events and commands of the membership protocol.

use crate::types::{AvailabilityZone, InstanceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};

/// Status of a member. Of two records with the same version, the later variant wins.
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
    /// A partner could not reach it.
    Suspect,
    /// It did not refute the suspicion in time, or a later run replaced it.
    Dead,
    /// It stopped gracefully; final for the run, whatever the version.
    Left,
}

/// Record about one run (process lifetime) of a node, exchanged between partners.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct MemberRecord {
    /// Instance id of the run.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Address of the partner listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Availability zone.
    #[serde(rename = "z")]
    pub availability_zone: AvailabilityZone,
    /// Start of the run in Unix milliseconds by the node's own clock; orders runs at one address.
    #[serde(rename = "t")]
    pub started_unix_ms: u64,
    /// Version, raised only by the member itself to refute a suspicion.
    #[serde(rename = "v")]
    pub version: u64,
    /// Status.
    #[serde(rename = "s")]
    pub status: MemberStatus,
    /// Percent of a core that the node may use, 0 if not stated. The nodes with the most forward for
    /// the others.
    #[serde(rename = "c", default, skip_serializing_if = "is_unstated")]
    pub processor_percent: u32,
    /// Address that takes requests and datagrams of other nodes, `None` for a node that takes none.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Whether the node is stopping: it answers queries, but takes no duties any more. Earlier builds
    /// do not know the field.
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub is_stopping: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Whether a member does not state its processor. Earlier builds do not know the field.
fn is_unstated(processor_percent: &u32) -> bool {
    *processor_percent == 0
}

/// Event for [`MembershipState`](super::MembershipState).
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Partner listeners of the live entry instances on the platform's instance list.
    SeedAddresses(Vec<SocketAddr>),
    /// A link to an authenticated peer was opened.
    LinkOpened {
        /// The peer's record of itself.
        peer: MemberRecord,
        /// Whether this node dialed the peer.
        dialed: bool,
    },
    /// The link to a peer was closed.
    LinkClosed {
        /// Peer.
        peer: InstanceId,
        /// Whether it was closed gracefully rather than broken.
        graceful: bool,
    },
    /// A dial failed.
    DialFailed(SocketAddr),
    /// A message of any kind was received from a peer.
    MessageReceived(InstanceId),
    /// A ping was received from a peer.
    Ping {
        /// Peer.
        peer: InstanceId,
        /// Digest of the member set.
        digest: u64,
    },
    /// Member records were received from a peer.
    Records {
        /// Peer.
        peer: InstanceId,
        /// Records.
        records: Vec<MemberRecord>,
    },
    /// Timer tick.
    Tick,
    /// This node is stopping: it takes no duties any more, and keeps its links.
    Stop,
    /// This node has stopped gracefully, and closes its links.
    Leave,
}

/// Command issued by [`MembershipState`](super::MembershipState).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipCommand {
    /// Open a link to the partner listener at this address.
    Dial(SocketAddr),
    /// Close the link to a peer gracefully.
    Close(InstanceId),
    /// Send member records to a peer.
    SendRecords {
        /// Peer.
        to: InstanceId,
        /// Records.
        records: Vec<MemberRecord>,
    },
    /// Send a ping to a peer.
    SendPing {
        /// Peer.
        to: InstanceId,
        /// Digest of the member set.
        digest: u64,
    },
}
