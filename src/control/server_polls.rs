//! Load reports, cache events and kept prefixes: asked for within a byte budget.

use super::{ControlState, poll_tasks};
use crate::decision::routing::{
    PollConfig, PollKind, PollPlanner, PollRequest, RoutingEvent, SentRequest,
};
use crate::ports::{CacheEventPage, LoadReport};
use crate::settings::ControlSettings;
use crate::types::{PeerError, ServerId};
use std::time::{Duration, Instant};

/// Bytes of the heads of a poll and its answer.
const HEAD_BYTES: usize = 250;
/// Bytes of an encoded load report without its models.
const LOAD_REPORT_BYTES: usize = 180;
/// Bytes of a model in an encoded load report.
const LOADED_MODEL_BYTES: usize = 60;
/// Bytes of an encoded cache event.
const CACHE_EVENT_BYTES: usize = 80;
/// Newest cache events that a page should hold at most; older ones are skipped.
const PAGE_EVENTS: u64 = 16;
/// Servers of a site up to which all count as about to be used.
const SMALL_SITE_SERVERS: usize = 32;
/// Prefixes that the KV store is asked for at once.
const KEPT_QUERY_KEYS: usize = 32;

/// Plan of the polls.
pub struct ServerPolls {
    pub(super) planner: PollPlanner,
}

impl ServerPolls {
    /// Returns a plan without servers.
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
    /// Sends the polls that are due.
    pub(super) fn poll_servers(&mut self, now: Instant) {
        let Some(document) = self.document.clone() else { return };
        if document.servers.len() <= SMALL_SITE_SERVERS {
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
        let keys = self.routing.take_store_queries(KEPT_QUERY_KEYS);
        if !keys.is_empty() {
            self.context.spawn(poll_tasks::poll_kept_prefixes(self.context.clone(), keys));
        }
    }

    /// Takes in that traffic uses a server and may use another next.
    pub(super) fn note_sent(&mut self, sent: &SentRequest, now: Instant) {
        let planner = &mut self.server_polls.planner;
        planner.mark_used(&sent.server, now);
        sent.runner_up.iter().for_each(|server| planner.mark_used(server, now));
    }

    /// Takes in a load report.
    pub(super) fn apply_load_report(
        &mut self,
        server: ServerId,
        report: LoadReport,
        asked_at: Instant,
        now: Instant,
    ) {
        let models = report.models.len() + report.loading.len();
        let bytes = LOAD_REPORT_BYTES + models * LOADED_MODEL_BYTES;
        self.settle_poll(&server, PollKind::Load, bytes);
        self.routing.apply(RoutingEvent::Load { server, report, asked_at }, now);
    }

    /// Takes in that a server did not report its load.
    pub(super) fn fail_load_report(&mut self, server: ServerId, error: &PeerError, now: Instant) {
        log::warn!("event=load_report_failed server={server} {error}");
        self.settle_poll(&server, PollKind::Load, 0);
        self.routing.apply(RoutingEvent::ServerFailed { server }, now);
    }

    /// Takes in cache events.
    pub(super) fn apply_cache_events(
        &mut self,
        server: ServerId,
        page: CacheEventPage,
        now: Instant,
    ) {
        let bytes = page.events.len() * CACHE_EVENT_BYTES;
        self.settle_poll(&server, PollKind::CacheEvents, bytes);
        self.routing.apply(RoutingEvent::CacheEvents { server, page }, now);
    }

    /// Takes in that a server published no cache events; its load report tells whether it lives.
    pub(super) fn fail_cache_events(&mut self, server: ServerId, error: &PeerError) {
        log::warn!("event=cache_events_failed server={server} {error}");
        self.settle_poll(&server, PollKind::CacheEvents, 0);
    }

    fn settle_poll(&mut self, server: &ServerId, kind: PollKind, bytes: usize) {
        let poll = PollRequest { server: server.clone(), kind };
        self.server_polls.planner.complete(&poll, HEAD_BYTES + bytes);
    }

    fn send_poll(&mut self, poll: PollRequest, address: std::net::SocketAddr) {
        let context = self.context.clone();
        match poll.kind {
            PollKind::Load => {
                self.context.spawn(poll_tasks::poll_load(context, poll.server, address))
            }
            PollKind::CacheEvents => {
                let from = self.routing.next_event_sequence(&poll.server, PAGE_EVENTS);
                let task = poll_tasks::poll_cache_events(context, poll.server, address, from);
                self.context.spawn(task);
            }
        }
    }
}
