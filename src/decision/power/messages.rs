//! Records, messages, events and commands of the power decision.

use super::ledger::ShareStreamRecord;
use crate::document::Document;
use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset, Priority, RequestId, ServerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Instant;
use strum::{Display, IntoStaticStr};

/// Parts into which the site's power above idle is divided.
pub const TOTAL_PARTS: u64 = 1_000_000_000;

/// Change on the stream `power`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareRecord {
    /// Instance whose share the record sets.
    pub instance: InstanceId,
    /// Number of the attempt within its author; a repeated append has the same number.
    pub attempt: u64,
    /// Offset of the record of this instance that this one replaces, 0 if none; the record counts
    /// only if that is still the last one in force.
    pub replaces: LogOffset,
    /// What the record does.
    pub action: ShareAction,
}

/// Action of a share record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum ShareAction {
    /// Takes, renews or changes the share; counts only if all shares together fit.
    Hold {
        /// Parts held.
        parts: u64,
        /// Milliseconds that the share lasts.
        lease_ms: u64,
        /// Longest time in milliseconds for which work or grants of the instance can go on after it
        /// has ended.
        outlast_ms: u64,
        /// Address that the instance listens on for as long as it runs.
        address: SmolStr,
    },
    /// Gives the share up; appended by its holder, or by anyone once its deadline is past.
    Release,
}

/// Message between partners.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PowerMessage {
    /// The sender lacks power.
    Ask {
        /// Number of the ask within the sender.
        ask: u64,
        /// Parts wanted.
        parts: u64,
        /// Milliseconds from the sending of the ask for which they are needed.
        needed_ms: u64,
        /// Grants of the receiver, for earlier asks, that the sender still holds. It will never
        /// use another one: a grant that was lost comes back by this.
        held_grants: Vec<u64>,
    },
    /// The sender has given up parts in favour of the receiver.
    Grant {
        /// Instance that asked.
        asker: InstanceId,
        /// Number of the ask that is answered.
        ask: u64,
        /// Number of the grant within the sender.
        grant: u64,
        /// Parts granted.
        parts: u64,
        /// Milliseconds, counted by the receiver from the sending of its ask.
        valid_ms: u64,
    },
    /// The sender has given a grant back.
    Return {
        /// Number of the grant within the receiver.
        grant: u64,
    },
}

/// Event that changes the power state.
#[derive(Clone, Debug)]
pub enum PowerEvent {
    /// The document in force changed.
    Document(Arc<Document>),
    /// A page of the stream `power` was read.
    Page {
        /// Page.
        page: LogPage,
        /// Offset that was asked for.
        from: LogOffset,
    },
    /// A partner sent a message.
    Message {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: PowerMessage,
    },
    /// Partners with which a link is open, and the estimate of live nodes, this one included.
    Membership {
        /// Partners.
        partners: Vec<InstanceId>,
        /// Live nodes.
        live_nodes: u32,
    },
    /// A partner gave a sign of life.
    PartnerContact(InstanceId),
    /// The address of an instance refuses connections: its process has ended.
    InstanceEnded(InstanceId),
    /// A server reported that it runs no request and none waits.
    ServerIdle {
        /// Server.
        server: ServerId,
        /// When the report was asked for.
        polled_at: Instant,
    },
    /// Time passed.
    Tick,
    /// The node stops gracefully: no work runs any more, the share is released.
    Stop,
}

/// Command of the power decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PowerCommand {
    /// Append the record to the stream `power`.
    Append(ShareStreamRecord),
    /// Send a message to a partner.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: PowerMessage,
    },
    /// Find out whether the address of an instance refuses connections.
    Probe {
        /// Instance.
        instance: InstanceId,
        /// Address that it listens on for as long as it runs.
        address: SmolStr,
    },
    /// Cancel running requests on their backend servers, lowest priority first.
    Shed(Vec<RequestId>),
}

/// Start of a request on a backend server.
#[derive(Clone, Debug)]
pub struct PowerRequest {
    /// Request.
    pub request: RequestId,
    /// Server that will run it.
    pub server: ServerId,
    /// Priority.
    pub priority: Priority,
    /// When the server will stop the request at the latest.
    pub work_deadline: Instant,
}

/// Answer to the start of a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PowerAnswer {
    /// The watts are committed until the request is finished.
    Started,
    /// The node's allowance does not cover the request now.
    Lacking,
    /// The whole site's budget does not cover the request, or the server is unknown.
    Impossible,
}

/// Power figures of a node, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PowerStats {
    /// Watts that the node may commit.
    pub allowed_watts: u64,
    /// Watts committed to running requests.
    pub committed_watts: u64,
    /// Watts given to partners.
    pub given_watts: u64,
    /// Watts received from partners.
    pub received_watts: u64,
    /// Parts held on the log.
    pub held_parts: u64,
}
