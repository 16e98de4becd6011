//! State of the control thread and the dispatch of its events.

use super::claims::ClaimsControl;
use super::configuration_read::ConfigurationRead;
use super::links::LinksControl;
use super::partners::ConfigurationExchange;
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

/// Period of reads of the streams `leases` and `power` while there are few nodes.
const LEASE_READ_PERIOD: Duration = Duration::from_millis(500);

/// All state of the control thread.
pub struct ControlState {
    pub(super) context: ControlContext,
    pub(super) configuration: ConfigurationFollower,
    /// State of the extra reads of the configuration stream.
    pub(super) configuration_read: ConfigurationRead,
    pub(super) routing: RoutingState,
    pub(super) server_polls: ServerPolls,
    pub(super) poison: PoisonState,
    /// Document in force.
    pub(super) document: Option<Arc<Document>>,
    pub(super) api_keys: Arc<ApiKeyIndex>,
    /// Estimated number of live nodes, this one included.
    pub(super) live_nodes: u32,
    /// View for the administration API.
    pub(super) admin: Arc<AdminView>,
    /// Rank of this node among the live nodes.
    pub(super) node_rank: u32,
    pub(super) claims: ClaimsControl,
    pub(super) links: LinksControl,
    /// Backend servers that are leaving.
    pub(super) leaving: LeavingState,
    pub(super) configuration_exchange: ConfigurationExchange,
    pub(super) leases: LeaseState,
    pub(super) placement: PlacementState,
    pub(super) power: PowerControl,
    pub(super) is_stopping: bool,
    /// Schedule of the configuration snapshots that the holder of their lease appends.
    pub(super) snapshot_schedule: SnapshotSchedule,
    /// When the administration view is updated next, `None` before the first update.
    pub(super) next_admin_publish_at: Option<Instant>,
    /// Latest published snapshot.
    snapshot: Arc<ArcSwap<Snapshot>>,
}

impl ControlState {
    /// Returns the state of a newly started node that listens for partners on `partner_address`.
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
            configuration_exchange: ConfigurationExchange::default(),
            leases,
            placement: PlacementState::new(PlacementSettings::default()),
            power,
            is_stopping: false,
            snapshot_schedule: SnapshotSchedule::new(snapshot_period),
            next_admin_publish_at: None,
            snapshot,
        }
    }

    /// Starts the periodic reads and the listener of partner links.
    pub fn start(&self, partners: TcpListener) {
        let context = &self.context;
        let opener = self.links.opener();
        context.spawn(link_listener::listen(context.clone(), opener, partners));
        context.spawn(log_tail::follow(context.clone(), LogStream::Configuration));
        for stream in [LogStream::Leases, LogStream::Power] {
            context.spawn(log_tail::follow_every(context.clone(), stream, LEASE_READ_PERIOD));
        }
        context.spawn(poll_tasks::poll_instance_list(context.clone()));
    }

    /// Applies `event` and publishes the resulting snapshot.
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
            ControlEvent::LogRead { stream, page, .. } => self.apply_log_page(stream, page, now),
            ControlEvent::ConfigurationReadEnded => self.end_configuration_read(),
            ControlEvent::LogReadFailed { stream, error } => {
                self.record_log_read_failure(stream, &error);
                self.configuration_exchange.log_read_failed |= stream == LogStream::Configuration;
            }
            ControlEvent::InstanceListRead(instances) => self.apply_instances(instances, now),
            ControlEvent::LoadReported { server, report, polled_at } => {
                let event = LeavingEvent::LoadReport {
                    server: server.clone(),
                    incarnation: report.incarnation,
                    leaving: report.leaving,
                };
                self.apply_leaving_event(None, event, now);
                self.apply_placement_report(&server, &report, polled_at, now);
                self.report_if_idle(&server, &report, polled_at, now);
                self.apply_load_report(server, report, polled_at, now);
            }
            ControlEvent::LoadReportFailed { server, error } => {
                self.apply_placement_poll_failure(&server, now);
                self.apply_load_report_failure(server, &error, now);
            }
            ControlEvent::CacheEvents { server, page } => {
                self.apply_cache_events(server, page, now);
            }
            ControlEvent::CacheEventsFailed { server, error } => {
                self.apply_cache_events_failure(server, &error);
            }
            ControlEvent::StoredPrefixes(prefixes) => {
                self.routing.apply(RoutingEvent::StoredPrefixes(prefixes), now);
            }
            ControlEvent::CrashChecked { strike, crashed } => {
                self.apply_crash_check(strike, crashed, now);
            }
            ControlEvent::Traffic(report) => self.apply_traffic_report(report, now),
            ControlEvent::Claims(message) => self.apply_claims_message(message, now),
            ControlEvent::Link(event) => self.apply_link_event(event, now),
            ControlEvent::InstanceEnded(instance) => self.apply_instance_ended(instance, now),
            ControlEvent::OrderAnswered(answer) => self.apply_order_answer(answer, now),
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
        self.apply_power_event(PowerEvent::Document(Arc::clone(&document)), now);
        self.document = Some(document);
    }

    fn apply_log_page(&mut self, stream: LogStream, page: LogPage, now: Instant) {
        self.record_log_read(stream, &page, now);
        match stream {
            LogStream::Configuration => {
                self.configuration_exchange.log_read_failed = false;
                self.apply_configuration_page(page, now);
            }
            LogStream::Leases => self.apply_lease_page(page, now),
            LogStream::Power => self.apply_power_page(page, now),
            LogStream::Claims => {}
        }
    }

    fn apply_traffic_report(&mut self, report: TrafficReport, now: Instant) {
        let event = match report {
            TrafficReport::Sent(sent) => {
                self.mark_servers_used(&sent, now);
                RoutingEvent::Sent(sent)
            }
            TrafficReport::Answer(feedback) => {
                self.apply_placement_answer(&feedback, now);
                RoutingEvent::Answer(feedback)
            }
            TrafficReport::Load { server, report, requested_at } => {
                self.server_polls.planner.postpone_load_poll(&server, now);
                RoutingEvent::Load { server, report, requested_at }
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

    /// Releases the leases and unused power, then leaves the membership.
    fn stop(&mut self, now: Instant) {
        self.is_stopping = true;
        self.release_leases(now);
        self.apply_power_event(PowerEvent::Stop, now);
        self.leave_membership(now);
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
