//! Routing state of a prompt and of the servers, for the administration API.

use super::RoutingView;
use super::messages::PrefixLevel;
use crate::types::{Incarnation, ModelId, ServerId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Cache state of one prompt level, as this node knows it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct LevelBelief {
    /// Prefix key in hexadecimal.
    pub prefix_key: String,
    /// Bytes of the prompt up to the end of the level.
    pub bytes: u32,
    /// Estimated tokens up to the end of the level.
    pub tokens: u32,
    /// Tokens in the KV store, none without a recent answer of the store.
    pub kept_tokens: Option<u32>,
    /// Servers believed to have the prefix cached.
    pub holders: Vec<BelievedHolder>,
}

/// Server believed to have a prefix cached.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct BelievedHolder {
    /// Name of the server.
    pub server: ServerId,
    /// Incarnation that cached the prefix.
    pub incarnation: Incarnation,
    /// Milliseconds since the last known use.
    pub used_ms_ago: u64,
}

/// State of a backend server, as this node knows it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ServerBelief {
    /// Name of the server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Whether the server may get new requests.
    pub in_service: bool,
    /// Whether the server is listed or reports itself as leaving.
    pub leaving: bool,
    /// Consecutive failures.
    pub failures: u32,
    /// Requests of this node in progress on the server.
    pub own_requests: u32,
    /// Running and waiting requests in the last load report, none without a report.
    pub reported_requests: Option<u32>,
    /// Milliseconds since the last load report was requested.
    pub reported_ms_ago: Option<u64>,
    /// Models loaded according to the last load report.
    pub models: Vec<ModelId>,
}

impl RoutingView {
    /// Returns the cache state of each level of a prompt.
    pub fn level_beliefs(&self, levels: &[PrefixLevel], now: Instant) -> Vec<LevelBelief> {
        levels.iter().map(|level| self.level_belief(level, now)).collect()
    }

    /// Returns the state of each server in the document, ordered by name.
    pub fn server_beliefs(&self, now: Instant) -> Vec<ServerBelief> {
        let known = self.servers.iter().map(Arc::as_ref);
        let mut servers: Vec<ServerBelief> = known
            .filter_map(|state| {
                let info = state.info.as_ref()?;
                let report = state.last_report.as_ref();
                Some(ServerBelief {
                    server: info.id.clone(),
                    address: info.address,
                    in_service: state.is_in_service(),
                    leaving: state.is_listed_leaving || state.is_reported_leaving,
                    failures: state.consecutive_failures,
                    own_requests: info.counters.outstanding_requests(),
                    reported_requests: report.map(|report| report.requests),
                    reported_ms_ago: report.map(|report| ms_since(report.requested_at, now)),
                    models: report
                        .map(|report| report.models.iter().map(|m| m.model.clone()).collect())
                        .unwrap_or_default(),
                })
            })
            .collect();
        servers.sort_by(|a, b| a.server.cmp(&b.server));
        servers
    }

    fn level_belief(&self, level: &PrefixLevel, now: Instant) -> LevelBelief {
        let entry = self.prefixes.get(&level.key);
        let stored = entry.and_then(|entry| entry.stored).filter(|stored| stored.valid_until > now);
        let holders = entry.into_iter().flat_map(|entry| &entry.holders).filter_map(|holder| {
            let info = self.state(holder.server)?.info.as_ref()?;
            Some(BelievedHolder {
                server: info.id.clone(),
                incarnation: holder.incarnation,
                used_ms_ago: ms_since(holder.used_at, now),
            })
        });
        LevelBelief {
            prefix_key: format!("{:016x}", level.key),
            bytes: level.bytes,
            tokens: level.tokens,
            kept_tokens: stored.map(|stored| stored.tokens),
            holders: holders.collect(),
        }
    }
}

fn ms_since(then: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(then).as_millis()).unwrap_or(u64::MAX)
}
