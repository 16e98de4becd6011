//! Messages of partners, and the state that partners share: strikes, leaving servers, the number
//! of live nodes, and the configuration for nodes that cannot read the log.

use super::ControlState;
use crate::decision::configuration::{ConfigurationAnnouncement, ConfigurationEvent};
use crate::decision::leaving::{LeavingChange, LeavingEvent};
use crate::decision::membership::MembershipEvent;
use crate::decision::placement::PlacementEvent;
use crate::decision::poison::Strike;
use crate::decision::routing::RoutingEvent;
use crate::links::PartnerMessage;
use crate::ports::{InstanceKind, InstanceRecord, InstanceState};
use crate::types::InstanceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum time between two requests for a partner's configuration.
const CONFIGURATION_REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// State of the exchange of configurations with partners.
#[derive(Debug, Default)]
pub struct ConfigurationExchange {
    /// Whether the last read of the configuration stream failed.
    pub(super) log_read_failed: bool,
    /// Latest announcement of each partner.
    pub(super) announcements: BTreeMap<InstanceId, ConfigurationAnnouncement>,
    /// Earliest time of the next request, `None` before the first.
    next_request_at: Option<Instant>,
}

impl ControlState {
    /// Applies a message from a partner.
    pub(super) fn apply_partner_message(
        &mut self,
        peer: &InstanceId,
        message: PartnerMessage,
        now: Instant,
    ) {
        match message {
            PartnerMessage::Ping { digest, configuration } => {
                self.configuration_exchange.announcements.insert(peer.clone(), configuration);
                let event = MembershipEvent::Ping { peer: peer.clone(), digest };
                self.apply_membership_event(event, now);
                self.request_configuration(peer, configuration, now);
                self.read_if_partner_ahead(configuration);
            }
            PartnerMessage::Members(records) => {
                let event = MembershipEvent::Records { peer: peer.clone(), records };
                self.apply_membership_event(event, now);
            }
            PartnerMessage::Strikes(strikes) => self.add_strikes(Some(peer), strikes, now),
            PartnerMessage::Leaving(notices) => {
                self.apply_leaving_event(Some(peer), LeavingEvent::PartnerNotices(notices), now);
            }
            PartnerMessage::Power(message) => {
                self.apply_power_message(peer, message, now);
            }
            PartnerMessage::ConfigurationRequest { above } => self.send_configuration(peer, above),
            PartnerMessage::Configuration(copy) => {
                log::info!("event=configuration_from_partner peer={peer}");
                self.apply_configuration_event(ConfigurationEvent::PartnerCopy(*copy), now);
            }
            PartnerMessage::KeyStrikes(_)
            | PartnerMessage::Limits(_)
            | PartnerMessage::Brittle(_)
            | PartnerMessage::Topics(_)
            | PartnerMessage::RecordsRequest(_)
            | PartnerMessage::Records(_)
            | PartnerMessage::RelayLoad(_)
            | PartnerMessage::RecordedVersions(_)
            | PartnerMessage::Rollout(_) => {
                log::debug!("event=relay_message_ignored peer={peer}");
            }
        }
    }

    /// Sends a ping, the leaving servers and the strikes to a newly connected partner.
    pub(super) fn sync_new_partner(&mut self, peer: &InstanceId) {
        let digest = self.links.membership.digest();
        let configuration = self.configuration.announcement();
        self.links.send(peer, &PartnerMessage::Ping { digest, configuration });
        let notices = self.leaving.notices();
        let strikes = self.poison.strikes();
        self.links.queue_for(peer, |outbox| {
            outbox.add_leaving(notices.clone());
            outbox.add_strikes(strikes.clone());
        });
    }

    /// Adds strikes and forwards new ones to the partners, except to `source`.
    pub(super) fn add_strikes(
        &mut self,
        source: Option<&InstanceId>,
        strikes: Vec<Strike>,
        now: Instant,
    ) {
        let new: Vec<Strike> =
            strikes.into_iter().filter(|strike| self.poison.add(strike.clone(), now)).collect();
        if !new.is_empty() {
            self.links.queue_for_all(source, |outbox| outbox.add_strikes(new.clone()));
        }
    }

    /// Applies the instance list: live nodes are seeds of partner links, and servers may be leaving.
    pub(super) fn apply_instances(&mut self, instances: Vec<InstanceRecord>, now: Instant) {
        let seeds = instances
            .iter()
            .filter(|instance| instance.kind == InstanceKind::Entry)
            .filter(|instance| instance.state == InstanceState::Live)
            .map(|instance| instance.address)
            .collect();
        self.apply_membership_event(MembershipEvent::SeedAddresses(seeds), now);
        self.apply_leaving_event(None, LeavingEvent::InstanceList(instances), now);
    }

    /// Applies an event about leaving servers. Changes are passed to routing and placement, and to
    /// the partners except `source`.
    pub(super) fn apply_leaving_event(
        &mut self,
        source: Option<&InstanceId>,
        event: LeavingEvent,
        now: Instant,
    ) {
        let changes = self.leaving.apply(event, now);
        if changes.is_empty() {
            return;
        }
        let mut notices = Vec::new();
        for change in changes {
            match change {
                LeavingChange::Leaving { notice, source } => {
                    log::info!(
                        "event=server_leaving server={} incarnation={} source={source}",
                        notice.server,
                        notice.incarnation
                    );
                    notices.push(notice);
                }
                LeavingChange::Returned(server) => log::info!("event=server_back server={server}"),
            }
        }
        self.links.queue_for_all(source, |outbox| outbox.add_leaving(notices.clone()));
        self.routing.apply(RoutingEvent::Leaving(self.leaving.leaving_servers()), now);
        self.placement.apply(PlacementEvent::LeavingServers(self.leaving.leaving_servers()), now);
    }

    /// Does the periodic work of leaving servers. They are polled as servers in use, so that a new
    /// incarnation is detected.
    pub(super) fn tick_leaving(&mut self, now: Instant) {
        self.apply_leaving_event(None, LeavingEvent::Tick, now);
        for server in self.leaving.leaving_servers() {
            self.server_polls.planner.mark_used(&server, now);
        }
    }

    /// Updates the rank of this node and, if it changed, the number of live nodes.
    pub(super) fn update_live_nodes(&mut self, now: Instant) {
        let live_nodes = self.links.membership.live_nodes();
        self.context.metrics.live_nodes.set(live_nodes.into());
        self.node_rank = self.compute_node_rank(live_nodes);
        if live_nodes == self.live_nodes {
            return;
        }
        log::info!("event=live_nodes live={live_nodes} before={}", self.live_nodes);
        self.live_nodes = live_nodes;
        self.context.live_nodes.set(live_nodes);
        self.routing.apply(RoutingEvent::LiveNodes(live_nodes), now);
        self.placement.apply(PlacementEvent::LiveNodes(live_nodes), now);
        self.update_claims_live_nodes(live_nodes, now);
    }

    /// Returns the rank of this node among the live nodes by instance id. While no other node is
    /// known, it is a hash of the id, so that nodes without links still get different ranks.
    fn compute_node_rank(&self, live_nodes: u32) -> u32 {
        let local = &self.links.membership.local_record().instance;
        if live_nodes <= 1 {
            return (xxh3_64(local.as_bytes()) >> 32) as u32;
        }
        let members = self.links.membership.live_members();
        let lower_ids = members.filter(|member| member.instance < *local).count();
        u32::try_from(lower_ids).unwrap_or(u32::MAX)
    }

    /// Requests the configuration of a partner that has read further, unless this node can read it
    /// from the log or has requested one recently.
    fn request_configuration(
        &mut self,
        peer: &InstanceId,
        announced: ConfigurationAnnouncement,
        now: Instant,
    ) {
        let above = self.configuration.announcement().offset;
        let can_read_log =
            !self.configuration_exchange.log_read_failed && self.configuration.state().is_some();
        let is_early = self.configuration_exchange.next_request_at.is_some_and(|at| now < at);
        if announced.offset <= above || can_read_log || is_early {
            return;
        }
        self.configuration_exchange.next_request_at = Some(now + CONFIGURATION_REQUEST_PERIOD);
        self.links.send(peer, &PartnerMessage::ConfigurationRequest { above });
    }

    /// Sends the configuration to a partner that has folded the records up to offset `above`, if this
    /// node has folded more.
    fn send_configuration(&mut self, peer: &InstanceId, above: u64) {
        let Some(copy) = self.configuration.partner_copy() else { return };
        if copy.state.applied > above {
            self.links.send(peer, &PartnerMessage::Configuration(Box::new(copy)));
        }
    }
}
