//! Port of the control calls of the relay: weight reports and weight orders of model engines, and
//! the state of the KV store.

use crate::decision::relay::register_lease::FencingNumber;
use crate::decision::relay::rollout::{RunPolicy, WeightsOrderOutcome, WeightsReport};
use crate::types::{Incarnation, InstanceId, ModelId, PeerResult, ServerId, WeightsRevision};
use async_trait::async_trait;
use std::net::SocketAddr;
use std::time::Instant;

/// Order to a server to load other weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsOrder {
    /// Server that must carry it out; any other has to reject the order.
    pub server: ServerId,
    /// Model whose weights to load.
    pub model: ModelId,
    /// Revision of the weights to load.
    pub revision: WeightsRevision,
    /// What happens to requests that run on the server.
    pub runs: RunPolicy,
    /// Node that holds the rollout lease and sends the order.
    pub holder: InstanceId,
    /// Fencing number of the lease.
    pub fencing_number: FencingNumber,
    /// Number of orders that the server must have accepted so far, or it rejects this one.
    pub accepted_orders: u64,
}

/// State of the KV store, the external store of saved KV cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KvStoreState {
    /// Incarnation of the store, `None` if it is busy; a new one means that its content was lost.
    pub incarnation: Option<u64>,
    /// Value of `since` for the next poll.
    pub next_event: u64,
}

/// Control calls to model engines and the KV store.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Returns the incarnation of the process that answers for a server, `None` if it does not tell.
    ///
    /// # Errors
    ///
    /// Nothing answers, or another server does.
    async fn incarnation(
        &self,
        server: &ServerId,
        address: SocketAddr,
        deadline: Instant,
    ) -> PeerResult<Option<Incarnation>>;

    /// Returns the weights that a server has loaded.
    async fn weights_report(
        &self,
        server: &ServerId,
        address: SocketAddr,
        deadline: Instant,
    ) -> PeerResult<WeightsReport>;

    /// Orders a server to load other weights.
    async fn order(
        &self,
        address: SocketAddr,
        order: &WeightsOrder,
        deadline: Instant,
    ) -> WeightsOrderOutcome;

    /// Returns the state of the KV store once it has an event after `since`, or after a period that
    /// the implementation chooses.
    async fn poll_kv_store(
        &self,
        address: SocketAddr,
        since: u64,
        deadline: Instant,
    ) -> PeerResult<KvStoreState>;
}
