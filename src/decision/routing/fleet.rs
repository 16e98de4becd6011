//! Backend servers and models of the document, indexed for routing decisions.

use crate::document::{Document, ScoreWeights};
use crate::types::{
    AvailabilityZone, Incarnation, LogOffset, ModelId, ServerId, WeightsVersion, WorkspaceId,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Index of a server in the routing state; constant while the process runs.
pub type ServerIndex = u32;

/// Counters of this node's requests in progress on a server, shared by all views.
#[derive(Debug, Default)]
pub struct ServerCounters {
    outstanding_requests: AtomicU32,
    /// Expected prefill tokens of the requests that await their first token.
    pending_prefill_tokens: AtomicU64,
}

impl ServerCounters {
    /// Returns the number of requests in progress.
    pub fn outstanding_requests(&self) -> u32 {
        self.outstanding_requests.load(Ordering::Relaxed)
    }

    /// Returns the expected prefill tokens of the requests that await their first token.
    pub fn pending_prefill_tokens(&self) -> u64 {
        self.pending_prefill_tokens.load(Ordering::Relaxed)
    }

    /// Counts a request that is about to be sent.
    pub fn begin_request(&self, pending_prefill_tokens: u32) {
        self.outstanding_requests.fetch_add(1, Ordering::Relaxed);
        self.pending_prefill_tokens.fetch_add(u64::from(pending_prefill_tokens), Ordering::Relaxed);
    }

    /// Subtracts the prefill tokens of a request whose first token was received.
    pub fn finish_prefill(&self, pending_prefill_tokens: u32) {
        self.pending_prefill_tokens.fetch_sub(u64::from(pending_prefill_tokens), Ordering::Relaxed);
    }

    /// Subtracts a request that ended.
    pub fn end_request(&self) {
        self.outstanding_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Settings of a server in the document.
#[derive(Clone, Debug)]
pub struct ServerInfo {
    /// Name of the server.
    pub id: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// One-way delay from this node.
    pub link_delay: Duration,
    /// Requests that the server runs concurrently, at least 1.
    pub concurrent_requests: u32,
    /// Hash of the name, for rendezvous hashing.
    pub name_hash: u64,
    /// Requests of this node in progress.
    pub counters: Arc<ServerCounters>,
}

/// Settings of a model in the document.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelInfo {
    /// Version of the weights in force.
    pub weights_version: WeightsVersion,
    /// Prompt tokens that a server prefills per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens that a server imports from the KV store per second.
    pub import_tokens_per_s: f64,
    /// Minimum number of servers that serve the model.
    pub min_servers: usize,
}

/// Server indexes, models and workspaces; changes only with the document.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Index of each server, including those removed from the document.
    pub indexes: HashMap<ServerId, ServerIndex>,
    /// Models, and adapters with the settings of their model.
    pub models: HashMap<ModelId, ModelInfo>,
    /// Score weights by workspace.
    pub score_weights: HashMap<WorkspaceId, ScoreWeights>,
    /// Log offset of the document.
    pub document_offset: LogOffset,
}

impl Fleet {
    /// Returns the fleet of `document`; servers keep the index that they already have.
    pub fn updated(&self, document: &Document) -> Self {
        let mut indexes = self.indexes.clone();
        for id in document.servers.keys() {
            let next = indexes.len() as ServerIndex;
            indexes.entry(id.clone()).or_insert(next);
        }
        let models = document.models.iter().flat_map(|(id, model)| {
            let info = ModelInfo {
                weights_version: model.weights_version.clone(),
                prefill_tokens_per_s: f64::from(model.prefill_tokens_per_s),
                import_tokens_per_s: f64::from(model.import_tokens_per_s),
                min_servers: model.least_servers as usize,
            };
            std::iter::once(id).chain(&model.adapters).map(move |id| (id.clone(), info.clone()))
        });
        let workspaces = document.workspaces.iter();
        Self {
            indexes,
            models: models.collect(),
            score_weights: workspaces
                .map(|(id, workspace)| (id.clone(), workspace.score))
                .collect(),
            document_offset: document.offset,
        }
    }

    /// Returns the index of `server`.
    pub fn index(&self, server: &ServerId) -> Option<ServerIndex> {
        self.indexes.get(server).copied()
    }
}

/// Returns the settings of `server` in `document`, with the link delay from `own_zone`.
pub fn server_info(
    document: &Document,
    server: &ServerId,
    own_zone: &AvailabilityZone,
    counters: Arc<ServerCounters>,
) -> Option<ServerInfo> {
    let settings = document.servers.get(server)?;
    Some(ServerInfo {
        id: server.clone(),
        address: settings.address,
        link_delay: link_delay(document, own_zone, &settings.availability_zone),
        concurrent_requests: settings.concurrent_requests.max(1),
        name_hash: xxh3_64(server.as_bytes()),
        counters,
    })
}

/// Returns the one-way delay between two zones, 0 within a zone or without a configured link.
fn link_delay(document: &Document, from: &AvailabilityZone, to: &AvailabilityZone) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    let link = document.site.zone_links.iter().find(|link| {
        (link.from == *from && link.to == *to) || (link.from == *to && link.to == *from)
    });
    link.map_or(Duration::ZERO, |link| Duration::from_micros(u64::from(link.delay_us)))
}

/// Incarnations of a server: the last one seen, and the retired ones before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Incarnations {
    last_seen: Option<Incarnation>,
    /// Whether the server has answered since its last failure.
    is_confirmed: bool,
    retired: [Option<Incarnation>; 4],
}

impl Incarnations {
    /// Returns the current incarnation, `None` while it is unknown or unconfirmed.
    pub fn confirmed(&self) -> Option<Incarnation> {
        self.last_seen.filter(|_| self.is_confirmed)
    }

    /// Returns the last incarnation seen, confirmed or not.
    pub fn last_seen(&self) -> Option<Incarnation> {
        self.last_seen
    }

    /// Marks the incarnation as unconfirmed, since the server may have restarted, until the next
    /// answer.
    pub fn mark_unconfirmed(&mut self) {
        self.is_confirmed = false;
    }

    /// Records that incarnation `seen` answered; returns false if it is retired, so that its answer
    /// is stale.
    pub fn observe(&mut self, seen: Incarnation) -> bool {
        if self.retired.contains(&Some(seen)) {
            return false;
        }
        if let Some(before) = self.last_seen.replace(seen)
            && before != seen
        {
            self.retired.rotate_right(1);
            self.retired[0] = Some(before);
        }
        self.is_confirmed = true;
        true
    }
}
