//! Load that requests put on a server, and the updates in which nodes report it to each other.

use super::health::ServerContact;
use crate::types::ServerId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Priorities that are distinguished; lower ones count as the last.
const PRIORITY_LEVELS: usize = 4;

/// Prompt tokens not prefilled yet, by request priority.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingPrefill([u32; PRIORITY_LEVELS]);

impl PendingPrefill {
    /// Returns the tokens of all priorities.
    pub fn total(&self) -> u32 {
        self.0.iter().fold(0, |total, tokens| total.saturating_add(*tokens))
    }

    /// Returns the tokens of one request.
    pub fn new(priority: u8, tokens: u32) -> Self {
        let mut all = [0; PRIORITY_LEVELS];
        all[usize::from(priority).min(PRIORITY_LEVELS - 1)] = tokens;
        Self(all)
    }

    /// Returns the tokens that are prefilled before those of a new request of `priority`.
    pub fn ahead_of(&self, priority: u8) -> u32 {
        self.0.iter().take(usize::from(priority) + 1).sum()
    }

    fn add(&mut self, other: Self) {
        self.0
            .iter_mut()
            .zip(other.0)
            .for_each(|(tokens, other)| *tokens = tokens.saturating_add(other));
    }

    /// Removes tokens that are no longer waiting.
    pub fn subtract(&mut self, other: Self) {
        self.0
            .iter_mut()
            .zip(other.0)
            .for_each(|(tokens, other)| *tokens = tokens.saturating_sub(other));
    }
}

/// Wire form of a [`ServerLoad`], without field names: requests, decode-heavy requests, prompt
/// tokens not prefilled yet, memory tokens.
type PackedLoad = (u32, u32, PendingPrefill, u64);

/// Load of a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PackedLoad", into = "PackedLoad")]
pub struct ServerLoad {
    /// Requests that have not ended.
    pub requests: u32,
    /// Decode-heavy requests among them.
    pub decode_heavy_requests: u32,
    /// Prompt tokens not prefilled yet, by request priority.
    pub pending_prefill: PendingPrefill,
    /// Tokens that the requests occupy in the KV cache.
    pub memory_tokens: u64,
}

impl From<PackedLoad> for ServerLoad {
    fn from((requests, decode_heavy_requests, pending_prefill, memory_tokens): PackedLoad) -> Self {
        Self { requests, decode_heavy_requests, pending_prefill, memory_tokens }
    }
}

impl From<ServerLoad> for PackedLoad {
    fn from(load: ServerLoad) -> Self {
        (load.requests, load.decode_heavy_requests, load.pending_prefill, load.memory_tokens)
    }
}

impl ServerLoad {
    pub(super) fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.decode_heavy_requests += other.decode_heavy_requests;
        self.pending_prefill.add(other.pending_prefill);
        self.memory_tokens += other.memory_tokens;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.decode_heavy_requests =
            self.decode_heavy_requests.saturating_sub(other.decode_heavy_requests);
        self.pending_prefill.subtract(other.pending_prefill);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// Load and contact of a server, as reported by a node for itself and the nodes whose loads it
/// forwards.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PackedUpdate", into = "PackedUpdate")]
pub struct ServerUpdate {
    /// Id of the server.
    pub server: ServerId,
    /// Requests at the server.
    pub load: ServerLoad,
    /// Milliseconds since the last contact, `None` if there was none.
    pub since_contact_ms: Option<u32>,
    /// Milliseconds for which the oldest unanswered request has waited, `None` if there is none.
    pub unanswered_ms: Option<u32>,
}

/// Wire form of a [`ServerUpdate`], without field names: server, load, milliseconds since the last
/// contact, milliseconds for which the oldest unanswered request has waited.
type PackedUpdate = (ServerId, ServerLoad, Option<u32>, Option<u32>);

impl From<PackedUpdate> for ServerUpdate {
    fn from((server, load, since_contact_ms, unanswered_ms): PackedUpdate) -> Self {
        Self { server, load, since_contact_ms, unanswered_ms }
    }
}

impl From<ServerUpdate> for PackedUpdate {
    fn from(update: ServerUpdate) -> Self {
        (update.server, update.load, update.since_contact_ms, update.unanswered_ms)
    }
}

impl ServerUpdate {
    pub(super) fn contact(&self, now: Instant) -> ServerContact {
        let since = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        ServerContact {
            last_contact_at: self.since_contact_ms.and_then(since),
            unanswered_since: self.unanswered_ms.and_then(since),
        }
    }
}

/// What the updates in a partner's message cover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateScope {
    /// All servers at which the partner has requests.
    AllServers,
    /// Servers whose state has changed, or whose last update is old.
    Changes,
}
