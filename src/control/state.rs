//! State of the control thread and the dispatch of its events.

use super::claims::ClaimsControl;
use super::routing::RoutingPolls;
use super::snapshot::KeyIndex;
use super::{ControlContext, ControlEvent, Snapshot, TrafficReport, log_tail, polls};
use crate::decision::configuration::ConfigurationFollower;
use crate::decision::poison::PoisonState;
use crate::decision::routing::{RoutingConfig, RoutingEvent, RoutingState};
use crate::document::Document;
use crate::ports::{InstanceKind, InstanceRecord, InstanceState, LogPage, LogStream};
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// All state of the control thread.
pub struct ControlState {
    pub(super) context: ControlContext,
    pub(super) configuration: ConfigurationFollower,
    pub(super) routing: RoutingState,
    pub(super) routing_polls: RoutingPolls,
    pub(super) poison: PoisonState,
    pub(super) document: Option<Arc<Document>>,
    pub(super) keys: Arc<KeyIndex>,
    pub(super) live_nodes: u32,
    pub(super) node_rank: u32,
    pub(super) claims: ClaimsControl,
    snapshot: Arc<ArcSwap<Snapshot>>,
}

impl ControlState {
    /// Returns the state of a node that knows nothing yet.
    pub fn new(context: ControlContext, snapshot: Arc<ArcSwap<Snapshot>>) -> Self {
        let settings = Arc::clone(&context.settings);
        let zone = settings.availability_zone.clone();
        let policy = settings.routing_policy;
        let node_rank = (xxh3_64(context.instance.as_bytes()) >> 32) as u32;
        let claims = ClaimsControl::new(&context.instance, settings.claims);
        Self {
            context,
            configuration: ConfigurationFollower::default(),
            routing: RoutingState::new(policy, zone, RoutingConfig::default()),
            routing_polls: RoutingPolls::new(&settings.control),
            poison: PoisonState::default(),
            document: None,
            keys: Arc::default(),
            live_nodes: 1,
            node_rank,
            claims,
            snapshot,
        }
    }

    /// Starts the periodic exchanges.
    pub fn start(&self) {
        let context = &self.context;
        context.spawn(log_tail::follow(context.clone(), LogStream::Configuration));
        context.spawn(polls::poll_instance_list(context.clone()));
    }

    /// Applies `event` and publishes the snapshot that follows from it.
    pub fn handle(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Tick => {
                self.poll_servers(now);
                self.tick_claims(now);
            }
            ControlEvent::LogRead { stream, page, .. } => self.apply_log(stream, page, now),
            ControlEvent::LogFailed { stream, error } => {
                log::warn!("event=log_read_failed stream={stream} {error}");
            }
            ControlEvent::Instances(instances) => self.apply_instances(&instances, now),
            ControlEvent::Load { server, report, asked_at } => {
                self.apply_load_report(server, report, asked_at, now);
            }
            ControlEvent::LoadFailed { server, error } => {
                self.fail_load_report(server, &error, now);
            }
            ControlEvent::CacheEvents { server, page } => {
                self.apply_cache_events(server, page, now);
            }
            ControlEvent::CacheEventsFailed { server, error } => {
                self.fail_cache_events(server, &error, now);
            }
            ControlEvent::KeptPrefixes(kept) => {
                self.routing.apply(RoutingEvent::KeptPrefixes(kept), now);
            }
            ControlEvent::CrashChecked { strike, crashed } => {
                self.apply_crash_check(strike, crashed, now);
            }
            ControlEvent::Traffic(report) => self.apply_traffic(report, now),
            ControlEvent::Claims(message) => self.apply_claims(message, now),
        }
        self.publish();
    }

    /// Puts `document` in force.
    pub fn put_in_force(&mut self, document: Arc<Document>, now: Instant) {
        log::info!("event=document_in_force offset={}", document.offset);
        self.keys = Arc::new(KeyIndex::new(&document));
        self.routing.apply(RoutingEvent::Document(Arc::clone(&document)), now);
        self.document = Some(document);
    }

    fn apply_log(&mut self, stream: LogStream, page: LogPage, now: Instant) {
        match stream {
            LogStream::Configuration => self.apply_configuration(page, now),
            LogStream::Claims | LogStream::Leases | LogStream::Power => {}
        }
    }

    fn apply_instances(&mut self, instances: &[InstanceRecord], now: Instant) {
        let leaving = instances
            .iter()
            .filter(|instance| instance.kind == InstanceKind::BackendServer)
            .filter(|instance| instance.state == InstanceState::Leaving)
            .map(|instance| instance.name.clone())
            .collect();
        self.routing.apply(RoutingEvent::Leaving(leaving), now);
    }

    fn apply_traffic(&mut self, report: TrafficReport, now: Instant) {
        let event = match report {
            TrafficReport::Sent(sent) => {
                self.note_sent(&sent, now);
                RoutingEvent::Sent(sent)
            }
            TrafficReport::Answer(feedback) => RoutingEvent::Answer(feedback),
            TrafficReport::AttemptFailed { server } => RoutingEvent::ServerFailed { server },
            TrafficReport::AttemptCut { server, incarnation, fingerprint } => {
                return self.check_crash(server, incarnation, fingerprint);
            }
            TrafficReport::Exonerated(fingerprint) => {
                return self.poison.exonerate(fingerprint);
            }
        };
        self.routing.apply(event, now);
    }

    fn publish(&self) {
        self.snapshot.store(Arc::new(Snapshot {
            document: self.document.clone(),
            keys: Arc::clone(&self.keys),
            routing: self.routing.view(),
            poison: self.poison.view(),
            live_nodes: self.live_nodes,
            node_rank: self.node_rank,
        }));
    }
}
