//! State of the control thread and the dispatch of its events.

use super::claims::ClaimsControl;
use super::configuration_read::ConfigurationRead;
use super::links::LinksControl;
use super::partners::PartnerExchange;
use super::power::PowerControl;
use super::server_polls::ServerPolls;
use super::snapshot::ApiKeyIndex;
use super::{
    ControlContext, ControlEvent, Snapshot, TrafficReport, link_listener, log_tail, poll_tasks,
};
use crate::admin::AdminView;
use crate::decision::configuration::{ConfigurationFollower, SnapshotSchedule};
use crate::decision::leases::{LeaseSettings, LeaseState};
use crate::decision::leaving::{LeavingEvent, LeavingState};
use crate::decision::placement::{PlacementEvent, PlacementSettings, PlacementState};
use crate::decision::poison::PoisonState;
use crate::decision::power::PowerEvent;
use crate::decision::routing::{RoutingConfig, RoutingEvent, RoutingState};
use crate::document::Document;
use crate::ports::{LogPage, LogStream};
use arc_swap::ArcSwap;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between reads of the streams of leases and power shares.
const HOLD_READ_PERIOD: Duration = Duration::from_millis(500);

/// All state of the control thread.
pub struct ControlState {
    pub(super) context: ControlContext,
    pub(super) configuration: ConfigurationFollower,
    pub(super) configuration_read: ConfigurationRead,
    pub(super) routing: RoutingState,
    pub(super) server_polls: ServerPolls,
    pub(super) poison: PoisonState,
    pub(super) document: Option<Arc<Document>>,
    pub(super) api_keys: Arc<ApiKeyIndex>,
    pub(super) live_nodes: u32,
    pub(super) admin: Arc<AdminView>,
    pub(super) node_rank: u32,
    pub(super) claims: ClaimsControl,
    pub(super) links: LinksControl,
    pub(super) leaving: LeavingState,
    pub(super) partners: PartnerExchange,
    pub(super) leases: LeaseState,
    pub(super) placement: PlacementState,
    pub(super) power: PowerControl,
    pub(super) is_stopping: bool,
    pub(super) snapshots: SnapshotSchedule,
    pub(super) next_admin_at: Option<Instant>,
    snapshot: Arc<ArcSwap<Snapshot>>,
}

impl ControlState {
    /// Returns the state of a node that knows nothing yet.
    ///
    /// It listens for partners on `partner_address`.
    pub fn new(
        context: ControlContext,
        snapshot: Arc<ArcSwap<Snapshot>>,
        partner_address: SocketAddr,
    ) -> Self {
        let settings = Arc::clone(&context.settings);
        let zone = settings.availability_zone.clone();
        let snapshot_period = Duration::from_millis(settings.control.snapshot_period_ms);
        let policy = settings.routing_policy;
        let claims = ClaimsControl::new(&context.instance, settings.claims);
        let now = Instant::now();
        let links = LinksControl::new(&context, partner_address, now);
        let leases = LeaseState::new(context.instance.clone(), LeaseSettings::default());
        let power = PowerControl::new(&context, partner_address, now);
        Self {
            context,
            configuration: ConfigurationFollower::default(),
            configuration_read: ConfigurationRead::default(),
            routing: RoutingState::new(policy, zone, RoutingConfig::default()),
            server_polls: ServerPolls::new(&settings.control),
            poison: PoisonState::default(),
            document: None,
            api_keys: Arc::default(),
            live_nodes: 1,
            admin: Arc::default(),
            node_rank: 0,
            claims,
            links,
            leaving: LeavingState::default(),
            partners: PartnerExchange::default(),
            leases,
            placement: PlacementState::new(PlacementSettings::default()),
            power,
            is_stopping: false,
            snapshots: SnapshotSchedule::new(snapshot_period),
            next_admin_at: None,
            snapshot,
        }
    }

    /// Starts the periodic exchanges and the listener of partner links.
    pub fn start(&self, partners: TcpListener) {
        let context = &self.context;
        let opener = self.links.opener();
        context.spawn(link_listener::listen(context.clone(), opener, partners));
        context.spawn(log_tail::follow(context.clone(), LogStream::Configuration));
        for stream in [LogStream::Leases, LogStream::Power] {
            context.spawn(log_tail::follow_every(context.clone(), stream, HOLD_READ_PERIOD));
        }
        context.spawn(poll_tasks::poll_instance_list(context.clone()));
    }

    /// Applies `event` and publishes the snapshot that follows from it.
    pub fn handle(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Tick => {
                self.poll_servers(now);
                self.tick_claims(now);
                self.tick_links(now);
                self.tick_leaving(now);
                self.tick_leases(now);
                self.tick_placement(now);
                self.tick_power(now);
                self.tick_republish(now);
                self.tick_admin(now);
            }
            ControlEvent::LogRead { stream, page, .. } => self.apply_log(stream, page, now),
            ControlEvent::ConfigurationReadEnded => self.end_configuration_read(),
            ControlEvent::LogFailed { stream, error } => {
                self.note_log_failure(stream, &error);
                self.partners.log_failed |= stream == LogStream::Configuration;
            }
            ControlEvent::Instances(instances) => self.apply_instances(instances, now),
            ControlEvent::Load { server, report, asked_at } => {
                let event = LeavingEvent::LoadReport {
                    server: server.clone(),
                    incarnation: report.incarnation,
                    leaving: report.leaving,
                };
                self.advance_leaving(None, event, now);
                self.place_by_report(&server, &report, asked_at, now);
                self.note_idle(&server, &report, asked_at, now);
                self.apply_load_report(server, report, asked_at, now);
            }
            ControlEvent::LoadFailed { server, error } => {
                self.place_without_report(&server, now);
                self.fail_load_report(server, &error, now);
            }
            ControlEvent::CacheEvents { server, page } => {
                self.apply_cache_events(server, page, now);
            }
            ControlEvent::CacheEventsFailed { server, error } => {
                self.fail_cache_events(server, &error);
            }
            ControlEvent::KeptPrefixes(kept) => {
                self.routing.apply(RoutingEvent::StoredPrefixes(kept), now);
            }
            ControlEvent::CrashChecked { strike, crashed } => {
                self.apply_crash_check(strike, crashed, now);
            }
            ControlEvent::Traffic(report) => self.apply_traffic(report, now),
            ControlEvent::Claims(message) => self.apply_claims(message, now),
            ControlEvent::Link(event) => self.apply_link(event, now),
            ControlEvent::InstanceEnded(instance) => self.end_instance(instance, now),
            ControlEvent::Ordered(answer) => self.apply_order_answer(answer, now),
            ControlEvent::Stopping => self.stop(now),
        }
        self.publish();
    }

    /// Puts `document` in force.
    pub fn put_in_force(&mut self, document: Arc<Document>, now: Instant) {
        log::info!("event=document_in_force offset={}", document.offset);
        self.api_keys = Arc::new(ApiKeyIndex::new(&document));
        self.routing.apply(RoutingEvent::Document(Arc::clone(&document)), now);
        self.placement.apply(PlacementEvent::Document(Arc::clone(&document)), now);
        self.advance_power(PowerEvent::Document(Arc::clone(&document)), now);
        self.document = Some(document);
    }

    fn apply_log(&mut self, stream: LogStream, page: LogPage, now: Instant) {
        self.note_log_read(stream, &page, now);
        match stream {
            LogStream::Configuration => {
                self.partners.log_failed = false;
                self.apply_configuration(page, now);
            }
            LogStream::Leases => self.apply_lease_page(page, now),
            LogStream::Power => self.apply_power_page(page, now),
            LogStream::Claims => {}
        }
    }

    fn apply_traffic(&mut self, report: TrafficReport, now: Instant) {
        let event = match report {
            TrafficReport::Sent(sent) => {
                self.note_sent(&sent, now);
                RoutingEvent::Sent(sent)
            }
            TrafficReport::Answer(feedback) => {
                self.place_by_answer(&feedback, now);
                RoutingEvent::Answer(feedback)
            }
            TrafficReport::Load { server, report, requested_at } => {
                self.server_polls.planner.postpone_load_poll(&server, now);
                RoutingEvent::Load { server, report, asked_at: requested_at }
            }
            TrafficReport::AttemptFailed { server } => RoutingEvent::ServerFailed { server },
            TrafficReport::AnswerInterrupted { server, incarnation, fingerprint } => {
                return self.check_crash(server, incarnation, fingerprint);
            }
            TrafficReport::ConfigurationAppended => return self.read_configuration(),
            TrafficReport::SuspectCompleted(fingerprint) => {
                return self.poison.clear_strikes(fingerprint);
            }
        };
        self.routing.apply(event, now);
    }

    /// Gives up what this node holds for all, then leaves.
    fn stop(&mut self, now: Instant) {
        self.is_stopping = true;
        self.stop_leases(now);
        self.advance_power(PowerEvent::Stop, now);
        self.leave_partners(now);
    }

    fn publish(&self) {
        self.snapshot.store(Arc::new(Snapshot {
            document: self.document.clone(),
            api_keys: Arc::clone(&self.api_keys),
            routing: self.routing.view(),
            poison: self.poison.view(),
            live_nodes: self.live_nodes,
            admin: Arc::clone(&self.admin),
            node_rank: self.node_rank,
        }));
    }
}
