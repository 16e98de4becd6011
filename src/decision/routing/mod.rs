//! Choice of a backend server for a model request.
//!
//! The control thread owns a [`RoutingState`] and applies events to it; traffic threads decide on
//! the [`RoutingView`] it publishes.

pub mod messages;
pub mod prefix;

pub use messages::*;

use crate::document::Document;
use crate::types::ServerId;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

/// State behind routing decisions, owned by the control thread.
#[derive(Clone, Debug, Default)]
pub struct RoutingState {
    document: Arc<Document>,
    leaving: BTreeSet<ServerId>,
}

impl RoutingState {
    /// Applies `event`.
    pub fn apply(&mut self, event: RoutingEvent, _now: Instant) {
        match event {
            RoutingEvent::Document(document) => self.document = document,
            RoutingEvent::Leaving(servers) => self.leaving = servers,
            RoutingEvent::Load { .. }
            | RoutingEvent::CacheEvents { .. }
            | RoutingEvent::Answer(_)
            | RoutingEvent::ServerFailed { .. }
            | RoutingEvent::LiveNodes(_) => {}
        }
    }

    /// Returns the view that traffic threads decide on.
    pub fn view(&self) -> RoutingView {
        RoutingView { document: Arc::clone(&self.document), leaving: self.leaving.clone() }
    }
}

/// Immutable view of the routing state.
#[derive(Clone, Debug, Default)]
pub struct RoutingView {
    document: Arc<Document>,
    leaving: BTreeSet<ServerId>,
}

impl RoutingView {
    /// Chooses a server for `query`, or none if no server is eligible.
    pub fn route(&self, query: &RouteQuery, _now: Instant) -> Option<RouteDecision> {
        let first_key = query.levels.first().map_or(0, |level| level.key);
        let mut ranked: Vec<&ServerId> = self
            .document
            .servers
            .keys()
            .filter(|server| !self.leaving.contains(*server) && !query.excluded.contains(server))
            .collect();
        ranked.sort_by_key(|server| {
            std::cmp::Reverse(xxhash_rust::xxh3::xxh3_64_with_seed(server.as_bytes(), first_key))
        });
        let server = ranked.first()?;
        Some(RouteDecision {
            server: (*server).clone(),
            address: self.document.servers[*server].address,
            runner_up: ranked.get(1).map(|server| (*server).clone()),
            expected_hit_tokens: 0,
            queued_requests: 0,
            reason: RouteReason::Home,
            import_keys: Vec::new(),
        })
    }

    /// Counts a request as under way on `server` until [`RoutingView::end`].
    pub fn begin(&self, _server: &ServerId, _expected_prefill_tokens: u32) {}

    /// Ends the count that [`RoutingView::begin`] started.
    pub fn end(&self, _server: &ServerId, _expected_prefill_tokens: u32) {}
}
