//! Records, messages, events and commands of power allocation.

use super::ledger::ShareStreamRecord;
use crate::document::Document;
use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset, Priority, RequestId, ServerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Instant;
use strum::{Display, IntoStaticStr};

/// Number of parts into which the site's power above idle is divided.
pub const TOTAL_PARTS: u64 = 1_000_000_000;

/// Record on the stream `power` that changes the share of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareRecord {
    /// Instance whose share the record changes.
    pub instance: InstanceId,
    /// Number of the change, unique within its author; a repeated append has the same number.
    pub attempt: u64,
    /// Offset of the accepted record of this instance that this one replaces, 0 if none; the
    /// record is rejected if another one has been accepted since.
    pub replaces: LogOffset,
    /// Change to the share.
    pub action: ShareAction,
}

/// Change to a share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum ShareAction {
    /// Creates, renews or resizes the share; rejected if all shares would exceed [`TOTAL_PARTS`].
    Hold {
        /// Size of the share in parts.
        parts: u64,
        /// Milliseconds after which the share expires unless it is renewed.
        lease_ms: u64,
        /// Maximum time in milliseconds for which requests or grants of the instance can outlast
        /// its process.
        outlast_ms: u64,
        /// Address that the instance listens on for as long as it runs.
        address: SmolStr,
    },
    /// Removes the share; appended by its holder, or by any node once the share has expired or
    /// nothing can use it any more.
    Release,
}

/// Message between partners that transfers power.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PowerMessage {
    /// The sender requests power.
    Ask {
        /// Number of the ask, unique within the sender.
        ask: u64,
        /// Parts requested.
        parts: u64,
        /// Milliseconds for which they are needed, counted from when the ask was sent.
        needed_ms: u64,
        /// Grants of the receiver, for earlier asks, that the sender still holds. The receiver can
        /// reclaim any other, such as a grant whose message was lost: the sender never uses it.
        held_grants: Vec<u64>,
    },
    /// The sender lends parts of its share to the receiver.
    Grant {
        /// Instance that sent the ask.
        asker: InstanceId,
        /// Number of the ask that this answers.
        ask: u64,
        /// Number of the grant, unique within the sender.
        grant: u64,
        /// Parts granted.
        parts: u64,
        /// Milliseconds for which the grant is valid, counted from when the ask was sent.
        valid_ms: u64,
    },
    /// The sender returns a grant before it expires.
    Return {
        /// Number of the grant, unique within the receiver.
        grant: u64,
    },
}

/// Input of [`PowerState`](super::PowerState).
#[derive(Clone, Debug)]
pub enum PowerEvent {
    /// The document in force changed.
    Document(Arc<Document>),
    /// A page of the stream `power` was read.
    Page {
        /// Page.
        page: LogPage,
        /// Offset that the read started from.
        from_offset: LogOffset,
    },
    /// A partner sent a message.
    Message {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: PowerMessage,
    },
    /// The set of partners with an open link or the number of live nodes changed.
    Membership {
        /// Partners.
        partners: Vec<InstanceId>,
        /// Estimated number of live nodes, this one included.
        live_nodes: u32,
    },
    /// A message of any kind was received from a partner.
    PartnerContact(InstanceId),
    /// The address of an instance refuses connections, so its process has ended.
    InstanceEnded(InstanceId),
    /// A server reported no running and no waiting requests.
    ServerIdle {
        /// Server.
        server: ServerId,
        /// When the report was requested.
        polled_at: Instant,
    },
    /// Periodic call.
    Tick,
    /// The node stops gracefully and releases what it does not use of its share.
    Stop,
}

/// Output of [`PowerState`](super::PowerState) to be carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PowerCommand {
    /// Append the record to the stream `power`.
    Append(ShareStreamRecord),
    /// Send the message to a partner.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: PowerMessage,
    },
    /// Check whether the address of an instance refuses connections.
    Probe {
        /// Instance.
        instance: InstanceId,
        /// Address that it listens on for as long as it runs.
        address: SmolStr,
    },
    /// Cancel the running requests on their backend servers; ordered by priority, lowest first.
    Shed(Vec<RequestId>),
}

/// Power needed to start a request on a backend server.
#[derive(Clone, Debug)]
pub struct PowerRequest {
    /// Request to start.
    pub request: RequestId,
    /// Server that will run it.
    pub server: ServerId,
    /// Priority.
    pub priority: Priority,
    /// Deadline that the server enforces on the request.
    pub work_deadline: Instant,
}

/// Answer to a [`PowerRequest`].
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PowerAnswer {
    /// The watts are committed until [`PowerAccount::finish`](super::PowerAccount::finish).
    Started,
    /// The power available to the node does not cover the request now.
    Lacking,
    /// The request exceeds the whole site's budget or already runs, or the server is unknown.
    Impossible,
}

/// Allocation and usage of a node's power, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PowerStats {
    /// Watts that the node may commit.
    pub allowed_watts: u64,
    /// Watts committed to running requests.
    pub committed_watts: u64,
    /// Watts granted to partners.
    pub given_watts: u64,
    /// Watts granted by partners.
    pub received_watts: u64,
    /// Parts of the node's share, including those granted to partners.
    pub held_parts: u64,
}
