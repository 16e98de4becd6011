//! Events and commands of placement.

use crate::decision::leases::HeldLease;
use crate::document::Document;
use crate::ports::{EngineOrder, LoadReport, LoadedModel, OrderOutcome};
use crate::types::{ModelId, ServerId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use strum::{Display, IntoStaticStr};

/// Input of [`PlacementState`](super::PlacementState).
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// The document in force changed.
    Document(Arc<Document>),
    /// The set of servers that are leaving and must get no new requests changed.
    LeavingServers(BTreeSet<ServerId>),
    /// The number of live nodes, this one included, changed.
    LiveNodes(u32),
    /// This node relayed a complete answer.
    AnswerCompleted {
        /// Model.
        model: ModelId,
        /// Prompt tokens that the server prefilled.
        prefilled_tokens: u32,
        /// Milliseconds from the first token to the last.
        decode_ms: u64,
    },
    /// A server reported its load.
    Report {
        /// Server.
        server: ServerId,
        /// Report.
        report: LoadReport,
        /// When the report was requested.
        polled_at: Instant,
    },
    /// A server did not answer a poll.
    PollFailed {
        /// Server.
        server: ServerId,
    },
    /// A server answered an order.
    OrderAnswered {
        /// Server.
        server: ServerId,
        /// Fencing number of the order.
        fencing_number: u64,
        /// Outcome that the server reported.
        outcome: OrderOutcome,
    },
    /// Periodic call, with the placement lease if this node holds it.
    Tick(Option<HeldLease>),
}

/// Output of [`PlacementState`](super::PlacementState) to be carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementCommand {
    /// Request the load report of a server.
    Poll {
        /// Server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Send an order to a server, after checking again that the lease with the order's fencing
    /// number is held.
    Order {
        /// Server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
        /// Order.
        order: EngineOrder,
        /// Reason, for logs and metrics.
        reason: PlacementReason,
    },
}

/// Reason of an order.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementReason {
    /// The model has fewer servers than the document requires.
    LeastServers,
    /// The server serves another version of the weights or other adapters.
    WeightsVersion,
    /// Demand calls for more servers of the model.
    Demand,
    /// The document no longer contains the model.
    Retired,
}

/// Order to be sent to a server, with the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// Server.
    pub server: ServerId,
    /// All models that it is to serve.
    pub models: Vec<LoadedModel>,
    /// Model that the order adds, updates or removes.
    pub model: ModelId,
    /// Reason.
    pub reason: PlacementReason,
}
