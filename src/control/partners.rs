//! What travels over partner links: strikes, leaving servers, power, and the configuration for a
//! node that cannot read the log.

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

/// Time before the configuration is asked for again.
const CONFIGURATION_RETRY: Duration = Duration::from_secs(1);

/// What the parts of the control thread learn from and tell partners.
#[derive(Debug, Default)]
pub struct PartnerExchange {
    /// Whether the last read of the configuration stream failed.
    pub(super) log_failed: bool,
    /// What partners last said of their configuration.
    pub(super) announcements: BTreeMap<InstanceId, ConfigurationAnnouncement>,
    /// When the configuration may be asked for again.
    next_request_at: Option<Instant>,
}

impl ControlState {
    /// Applies a message of a partner.
    pub(super) fn apply_partner_message(
        &mut self,
        peer: &InstanceId,
        message: PartnerMessage,
        now: Instant,
    ) {
        match message {
            PartnerMessage::Ping { digest, configuration } => {
                self.partners.announcements.insert(peer.clone(), configuration);
                let event = MembershipEvent::Ping { peer: peer.clone(), digest };
                self.advance_membership(event, now);
                self.request_configuration(peer, configuration, now);
                self.read_if_ahead(configuration);
            }
            PartnerMessage::Members(records) => {
                let event = MembershipEvent::Records { peer: peer.clone(), records };
                self.advance_membership(event, now);
            }
            PartnerMessage::Strikes(strikes) => self.add_strikes(Some(peer), strikes, now),
            PartnerMessage::Leaving(notices) => {
                self.advance_leaving(Some(peer), LeavingEvent::PartnerNotices(notices), now);
            }
            PartnerMessage::Power(message) => {
                self.apply_power_message(peer, message, now);
            }
            PartnerMessage::ConfigurationRequest { above } => self.send_configuration(peer, above),
            PartnerMessage::Configuration(copy) => {
                log::info!("event=configuration_from_partner peer={peer}");
                self.apply_configuration_event(ConfigurationEvent::PartnerCopy(*copy), now);
            }
            PartnerMessage::Topics(_)
            | PartnerMessage::RecordsRequest(_)
            | PartnerMessage::Records(_)
            | PartnerMessage::RelayLoad(_)
            | PartnerMessage::Rollout(_) => {
                log::debug!("event=relay_message_ignored peer={peer}");
            }
        }
    }

    /// Tells a partner that has just connected what it may not know.
    pub(super) fn greet(&mut self, peer: &InstanceId) {
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

    /// Adds strikes and tells the partners of new ones.
    pub(super) fn add_strikes(
        &mut self,
        source: Option<&InstanceId>,
        strikes: Vec<Strike>,
        now: Instant,
    ) {
        let new: Vec<Strike> =
            strikes.into_iter().filter(|strike| self.poison.add(strike.clone(), now)).collect();
        if !new.is_empty() {
            self.links.queue(source, |outbox| outbox.add_strikes(new.clone()));
        }
    }

    /// Applies the instance list: seeds of partner links and leaving servers.
    pub(super) fn apply_instances(&mut self, instances: Vec<InstanceRecord>, now: Instant) {
        let listed = instances
            .iter()
            .filter(|instance| instance.kind == InstanceKind::Entry)
            .filter(|instance| instance.state == InstanceState::Live)
            .map(|instance| instance.address)
            .collect();
        self.advance_membership(MembershipEvent::SeedAddresses(listed), now);
        self.advance_leaving(None, LeavingEvent::InstanceList(instances), now);
    }

    /// Applies an event about leaving servers and tells routing and partners what changed.
    pub(super) fn advance_leaving(
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
        self.links.queue(source, |outbox| outbox.add_leaving(notices.clone()));
        self.routing.apply(RoutingEvent::Leaving(self.leaving.leaving_servers()), now);
        self.placement.apply(PlacementEvent::LeavingServers(self.leaving.leaving_servers()), now);
    }

    /// Keeps leaving servers polled, so that a new incarnation is noticed.
    pub(super) fn tick_leaving(&mut self, now: Instant) {
        self.advance_leaving(None, LeavingEvent::Tick, now);
        for server in self.leaving.leaving_servers() {
            self.server_polls.planner.mark_used(&server, now);
        }
    }

    /// Spreads a change of the number of live nodes to the parts that share by it.
    pub(super) fn note_live_nodes(&mut self, now: Instant) {
        let live_nodes = self.links.membership.live_nodes();
        self.context.metrics.live_nodes.set(live_nodes.into());
        self.node_rank = self.find_rank(live_nodes);
        if live_nodes == self.live_nodes {
            return;
        }
        log::info!("event=live_nodes live={live_nodes} before={}", self.live_nodes);
        self.live_nodes = live_nodes;
        self.context.live_nodes.set(live_nodes);
        self.routing.apply(RoutingEvent::LiveNodes(live_nodes), now);
        self.placement.apply(PlacementEvent::LiveNodes(live_nodes), now);
        self.share_claim_appends(live_nodes, now);
    }

    /// Returns the rank of this node among the live ones; nodes that know of no other differ by
    /// their names alone.
    fn find_rank(&self, live_nodes: u32) -> u32 {
        let own = &self.links.membership.local_record().instance;
        if live_nodes <= 1 {
            return (xxh3_64(own.as_bytes()) >> 32) as u32;
        }
        let members = self.links.membership.live_members();
        let before = members.filter(|member| member.instance < *own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Asks a partner for its configuration if it is ahead and the log does not help.
    fn request_configuration(
        &mut self,
        peer: &InstanceId,
        announced: ConfigurationAnnouncement,
        now: Instant,
    ) {
        let above = self.configuration.announcement().offset;
        let log_helps = !self.partners.log_failed && self.configuration.state().is_some();
        let is_early = self.partners.next_request_at.is_some_and(|at| now < at);
        if announced.offset <= above || log_helps || is_early {
            return;
        }
        self.partners.next_request_at = Some(now + CONFIGURATION_RETRY);
        self.links.send(peer, &PartnerMessage::ConfigurationRequest { above });
    }

    fn send_configuration(&mut self, peer: &InstanceId, above: u64) {
        let Some(copy) = self.configuration.partner_copy() else { return };
        if copy.state.applied > above {
            self.links.send(peer, &PartnerMessage::Configuration(Box::new(copy)));
        }
    }
}
