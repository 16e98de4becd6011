//! Polls of backend servers for load reports and cache events within a byte budget, and queries of
//! the KV store for stored prefixes.

use super::{ControlState, poll_tasks};
use crate::decision::routing::{
    PollConfig, PollKind, PollPlanner, PollRequest, RoutingEvent, SentRequest,
};
use crate::ports::{CacheEventPage, LoadReport};
use crate::settings::ControlSettings;
use crate::types::{PeerError, ServerId};
use std::time::{Duration, Instant};

/// Estimated bytes of the HTTP headers of a poll and its answer.
const HTTP_HEADERS_BYTES: usize = 250;
/// Estimated bytes of an encoded load report without its models.
const LOAD_REPORT_BYTES: usize = 180;
/// Estimated bytes of a model in an encoded load report.
const LOADED_MODEL_BYTES: usize = 60;
/// Estimated bytes of an encoded cache event.
const CACHE_EVENT_BYTES: usize = 80;
/// Maximum number of cache events requested at once, the newest ones; older ones are skipped.
const MAX_PAGE_EVENTS: u64 = 16;
/// Maximum number of servers of a site at which all of them are polled as if in use.
const MAX_ALWAYS_POLLED_SERVERS: usize = 32;
/// Maximum number of prefixes in one query of the KV store.
const MAX_STORE_QUERY_KEYS: usize = 32;

/// Planner of the polls of all servers.
pub struct ServerPolls {
    pub(super) planner: PollPlanner,
}

impl ServerPolls {
    /// Returns a planner without servers.
    pub fn new(settings: &ControlSettings) -> Self {
        let config = PollConfig {
            budget_bytes_per_s: f64::from(settings.poll_bytes_per_s),
            burst_bytes: f64::from(settings.poll_bytes_per_s),
            load_interval: Duration::from_millis(settings.load_period_ms),
            ..PollConfig::default()
        };
        Self { planner: PollPlanner::new(config) }
    }
}

impl ControlState {
    /// Sends the polls that are due and the pending queries of the KV store.
    pub(super) fn poll_servers(&mut self, now: Instant) {
        let Some(document) = self.document.clone() else { return };
        if document.servers.len() <= MAX_ALWAYS_POLLED_SERVERS {
            document.servers.keys().for_each(|id| self.server_polls.planner.mark_used(id, now));
        }
        for poll in self.server_polls.planner.plan(now) {
            match document.servers.get(&poll.server) {
                Some(server) => self.send_poll(poll, server.address),
                None => self.server_polls.planner.remove_server(&poll.server),
            }
        }
        if self.context.kv_store.is_none() {
            return;
        }
        let keys = self.routing.take_store_queries(MAX_STORE_QUERY_KEYS);
        if !keys.is_empty() {
            self.context.spawn(poll_tasks::query_stored_prefixes(self.context.clone(), keys));
        }
    }

    /// Marks the server of a request, and its runner-up which may be used next, as in use.
    pub(super) fn mark_servers_used(&mut self, sent: &SentRequest, now: Instant) {
        let planner = &mut self.server_polls.planner;
        planner.mark_used(&sent.server, now);
        sent.runner_up.iter().for_each(|server| planner.mark_used(server, now));
    }

    /// Applies a polled load report to routing.
    pub(super) fn apply_load_report(
        &mut self,
        server: ServerId,
        report: LoadReport,
        polled_at: Instant,
        now: Instant,
    ) {
        let models = report.models.len() + report.loading.len();
        let body_bytes = LOAD_REPORT_BYTES + models * LOADED_MODEL_BYTES;
        self.complete_poll(&server, PollKind::Load, body_bytes);
        self.routing.apply(RoutingEvent::Load { server, report, requested_at: polled_at }, now);
    }

    /// Applies a failed poll for a load report to routing.
    pub(super) fn apply_load_report_failure(
        &mut self,
        server: ServerId,
        error: &PeerError,
        now: Instant,
    ) {
        log::warn!("event=load_report_failed server={server} {error}");
        self.complete_poll(&server, PollKind::Load, 0);
        self.routing.apply(RoutingEvent::ServerFailed { server }, now);
    }

    /// Applies polled cache events to routing.
    pub(super) fn apply_cache_events(
        &mut self,
        server: ServerId,
        page: CacheEventPage,
        now: Instant,
    ) {
        let body_bytes = page.events.len() * CACHE_EVENT_BYTES;
        self.complete_poll(&server, PollKind::CacheEvents, body_bytes);
        self.routing.apply(RoutingEvent::CacheEvents { server, page }, now);
    }

    /// Ends a failed poll for cache events. Routing does not count it as a failure of the server, as
    /// polls for load reports detect those.
    pub(super) fn apply_cache_events_failure(&mut self, server: ServerId, error: &PeerError) {
        log::warn!("event=cache_events_failed server={server} {error}");
        self.complete_poll(&server, PollKind::CacheEvents, 0);
    }

    /// Charges a completed poll to the byte budget; `body_bytes` is the size of the answer's body.
    fn complete_poll(&mut self, server: &ServerId, kind: PollKind, body_bytes: usize) {
        let poll = PollRequest { server: server.clone(), kind };
        self.server_polls.planner.complete(&poll, HTTP_HEADERS_BYTES + body_bytes);
    }

    fn send_poll(&mut self, poll: PollRequest, address: std::net::SocketAddr) {
        let context = self.context.clone();
        match poll.kind {
            PollKind::Load => {
                self.context.spawn(poll_tasks::poll_load(context, poll.server, address))
            }
            PollKind::CacheEvents => {
                let from = self.routing.next_event_sequence(&poll.server, MAX_PAGE_EVENTS);
                let task = poll_tasks::poll_cache_events(context, poll.server, address, from);
                self.context.spawn(task);
            }
        }
    }
}
