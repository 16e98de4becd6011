//! Events and commands of the placement decision.

use crate::decision::leases::HeldLease;
use crate::document::Document;
use crate::ports::{EngineOrder, LoadReport, LoadedModel, OrderOutcome};
use crate::types::{ModelId, ServerId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use strum::{Display, IntoStaticStr};

/// Event that changes the placement state.
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// The document in force changed.
    Document(Arc<Document>),
    /// Servers that must get no new work.
    LeavingServers(BTreeSet<ServerId>),
    /// The number of live nodes, this one included, changed.
    LiveNodes(u32),
    /// This node relayed a complete answer.
    AnswerCompleted {
        /// Model.
        model: ModelId,
        /// Prompt tokens that the server computed.
        computed_tokens: u32,
        /// Milliseconds from the first token to the last.
        decode_ms: u64,
    },
    /// A server reported its load.
    Report {
        /// Server.
        server: ServerId,
        /// Report.
        report: LoadReport,
        /// When the node asked for the report.
        polled_at: Instant,
    },
    /// A server did not answer.
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
        /// Answer.
        outcome: OrderOutcome,
    },
    /// Time passed; the lease under which orders may be given, if this node holds it.
    Tick(Option<HeldLease>),
}

/// Command of the placement decision.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementCommand {
    /// Ask a server for its load report.
    Poll {
        /// Server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Give an order, after checking once more that the lease with the order's fencing number is
    /// held.
    Order {
        /// Server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
        /// Order.
        order: EngineOrder,
        /// Reason, for the log line.
        reason: PlacementReason,
    },
}

/// Reason of an order.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementReason {
    /// Fewer servers than the document asks for serve the model.
    LeastServers,
    /// The server serves another version of the weights or other adapters.
    WeightsVersion,
    /// The model's servers are busy.
    Demand,
    /// The document no longer names the model.
    Retired,
}

/// Order that the plan calls for.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// Server.
    pub server: ServerId,
    /// Models that it is to serve.
    pub models: Vec<LoadedModel>,
    /// Model for which the order is given.
    pub model: ModelId,
    /// Reason.
    pub reason: PlacementReason,
}
