//! Port of what the relay asks of engines beside requests: reports, orders and the state of the
//! store of kept KV cache.

use crate::decision::relay::register_lease::FencingNumber;
use crate::decision::relay::rollout::{RunPolicy, WeightsOrderOutcome, WeightsReport};
use crate::types::{InstanceId, ModelId, PeerResult, ServerId, WeightsRevision};
use async_trait::async_trait;
use std::net::SocketAddr;
use std::time::Instant;

/// Order to change weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsOrder {
    /// Server that must be the one that carries it out.
    pub server: ServerId,
    /// Model.
    pub model: ModelId,
    /// Revision.
    pub revision: WeightsRevision,
    /// What happens to the server's runs.
    pub runs: RunPolicy,
    /// Node that orders.
    pub holder: InstanceId,
    /// Fencing number of its lease.
    pub fencing_number: FencingNumber,
    /// Orders that the server must have accepted so far.
    pub accepted_orders: u64,
}

/// What a look at the store of kept KV cache shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KvStoreState {
    /// Run of the store, none if it is busy; another run means that it lost what it kept.
    pub incarnation: Option<u64>,
    /// Change after which the next look waits.
    pub next_event: u64,
}

/// Engines as the relay controls them.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Returns a server's report about its weights.
    async fn weights_report(
        &self,
        server: &ServerId,
        address: SocketAddr,
        deadline: Instant,
    ) -> PeerResult<WeightsReport>;

    /// Orders a server to change its weights.
    async fn order(
        &self,
        address: SocketAddr,
        order: &WeightsOrder,
        deadline: Instant,
    ) -> WeightsOrderOutcome;

    /// Looks at the store of kept KV cache; returns once it has changed beyond `since`, or after a
    /// while.
    async fn poll_kv_store(
        &self,
        address: SocketAddr,
        since: u64,
        deadline: Instant,
    ) -> PeerResult<KvStoreState>;
}
