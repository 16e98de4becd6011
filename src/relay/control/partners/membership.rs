//! Membership of a node: what its changes mean for links and for all that depends on the live nodes.

use super::{LiveNode, Partners};
use crate::decision::membership::{MemberRecord, MembershipCommand, MembershipEvent};
use crate::decision::relay::read_schedule::Reader;
use crate::decision::relay::{PeerNode, RecordTopic};
use crate::links::PartnerMessage;
use crate::ports::AnnouncedNode;
use crate::relay::control::partner_links;
use crate::relay::control::state::ControlState;
use crate::types::InstanceId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use strum::IntoEnumIterator;

impl Partners {
    fn list_live(&self) -> Vec<LiveNode> {
        let members = self.membership.live_members().chain([self.membership.local_record()]);
        let mut all: Vec<LiveNode> = members
            .map(|member| LiveNode {
                instance: member.instance.clone(),
                processor_percent: member.processor_percent,
            })
            .collect();
        all.sort();
        all
    }

    /// Returns the other live nodes that take requests and datagrams.
    fn list_peer_nodes(&self) -> Vec<PeerNode> {
        self.membership.live_members().filter_map(peer_node).collect()
    }

    /// Returns the stopping nodes, which still answer datagrams.
    fn list_stopping_nodes(&self) -> Vec<PeerNode> {
        self.membership.stopping_members().filter_map(peer_node).collect()
    }
}

/// Returns a member as others reach it, `None` if it takes neither requests nor datagrams.
fn peer_node(member: &MemberRecord) -> Option<PeerNode> {
    Some(PeerNode {
        instance: member.instance.clone(),
        availability_zone: member.availability_zone.clone(),
        address: member.peer_address?,
        processor_percent: member.processor_percent,
    })
}

impl ControlState {
    /// Sets the addresses to dial: the announced nodes and the configured seed partners.
    pub(in crate::relay::control) fn apply_announced(
        &mut self,
        nodes: &[AnnouncedNode],
        now: Instant,
    ) {
        let own_address = self.partners.membership.local_record().address;
        let announced = nodes.iter().map(|node| node.address);
        let mut addresses: Vec<SocketAddr> =
            announced.chain(self.context.settings.seed_partners.iter().copied()).collect();
        addresses.retain(|address| *address != own_address);
        addresses.sort();
        addresses.dedup();
        log::info!("event=nodes_announced addresses={}", addresses.len());
        if !nodes.is_empty() {
            self.context.quotas().set_announced(nodes.len());
        }
        self.advance_membership(MembershipEvent::SeedAddresses(addresses), now);
    }

    /// Handles a failure to open a link.
    pub(in crate::relay::control) fn handle_failed_dial(
        &mut self,
        address: SocketAddr,
        now: Instant,
    ) {
        self.advance_membership(MembershipEvent::DialFailed(address), now);
    }

    /// Notifies partners that this node is stopping and takes no duties any more. It keeps its links:
    /// others ask it for the streams that it carries, and it learns of the nodes that take them over.
    pub(in crate::relay::control) fn announce_stop(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Stop, now);
    }

    /// Notifies partners that this node has stopped, and closes its links.
    pub(in crate::relay::control) fn leave_partners(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Leave, now);
    }

    /// Applies an event to the membership and executes the resulting commands.
    pub(super) fn advance_membership(&mut self, event: MembershipEvent, now: Instant) {
        for command in self.partners.membership.apply(event, now) {
            match command {
                MembershipCommand::Dial(address) => {
                    let identity = Rc::clone(&self.partners.identity);
                    self.spawn(partner_links::dial(Arc::clone(&self.context), identity, address));
                }
                MembershipCommand::Close(peer) => {
                    log::info!("event=link_closed peer={peer}");
                    self.partners.remove_link(&peer);
                }
                MembershipCommand::SendRecords { to, records } => {
                    self.partners.send(&to, &PartnerMessage::Members(records));
                }
                MembershipCommand::SendPing { to, digest } => {
                    let configuration = Default::default();
                    self.partners.send(&to, &PartnerMessage::Ping { digest, configuration });
                }
            }
        }
        self.partners.identity.borrow_mut().record =
            self.partners.membership.local_record().clone();
        self.apply_membership_changes();
    }

    /// Returns this node as others reach it.
    fn own_peer_node(&self) -> PeerNode {
        let own = self.partners.membership.local_record();
        PeerNode {
            instance: own.instance.clone(),
            availability_zone: own.availability_zone.clone(),
            address: self.context.peer_queries.address(),
            processor_percent: own.processor_percent,
        }
    }

    /// Updates what depends on the live nodes: read schedule, load exchange, metrics and shares.
    fn apply_membership_changes(&mut self) {
        let links = i64::try_from(self.partners.links.peers().len()).unwrap_or(i64::MAX);
        self.context.metrics.links.set(links);
        let changes = Some(self.partners.membership.change_count());
        if changes != self.partners.applied_changes {
            self.partners.applied_changes = changes;
            let live = self.partners.list_live();
            let topics: Vec<RecordTopic> = RecordTopic::iter().collect();
            let me = &self.partners.membership.local_record().instance;
            let ids: Vec<InstanceId> = live.iter().map(|node| node.instance.clone()).collect();
            let reader = |node: &LiveNode| Reader {
                instance: node.instance.clone(),
                processor_percent: node.processor_percent,
            };
            let readers: Vec<Reader> = live.iter().map(reader).collect();
            self.read_schedule.borrow_mut().set_nodes(me, &readers, &topics);
            self.context.crash_evidence().set_nodes(me, &ids);
            self.context.fleet().limits.set_nodes(me, &ids, Instant::now());
            self.context.fleet().brittle.set_nodes(me, &ids);
            let peers = self.partners.list_peer_nodes();
            self.context.gateways().set_nodes(me, peers.clone());
            let stopping = self.partners.list_stopping_nodes();
            self.context.origins().set_nodes(peers.clone(), stopping);
            let owners = peers.into_iter().chain([self.own_peer_node()]).collect();
            self.context.quotas().set_nodes(me, owners, self.context.quota_clock.now());
            self.partners.live = live;
            let place = self.partners.membership.tree_place();
            let is_tree = self.partners.membership.exceeds_full_mesh();
            if self.loads.set_place(&place, is_tree, &mut self.context.fleet()) {
                log::info!(
                    "event=neighbours_changed nodes={} parent={} children={} tree={is_tree}",
                    self.partners.live.len(),
                    place.parent.as_deref().unwrap_or("none"),
                    place.children.len()
                );
            }
        }
        let nodes = self.partners.membership.live_nodes();
        if nodes > self.partners.max_live_nodes {
            self.partners.max_live_nodes = nodes;
            self.context.resend_budget().set_nodes(nodes);
            if let Some(store) = &mut self.context.fleet().kv_store {
                store.set_nodes(nodes, Instant::now());
            }
            log::info!("event=nodes_known nodes={nodes}");
        }
    }
}
