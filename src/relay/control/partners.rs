//! Partner links of a relay node, which carry records, loads, strikes and rollout notices.

use super::link_traffic::LinkTraffic;
use super::partner_links;
use super::records::RecordSource;
use super::state::ControlState;
use crate::decision::membership::{
    MemberRecord, MembershipCommand, MembershipEvent, MembershipSettings, MembershipState,
};
use crate::decision::relay::replica::{RecordsRequest, TopicDelta};
use crate::decision::relay::{PeerNode, RecordRequests, RecordTopic};
use crate::links::connection::ReceivedMessage;
use crate::links::message::{MessageKind, TopicDigest};
use crate::links::{
    Identity, LinkEnd, LinkHandle, LinkTable, MAX_MESSAGE_BYTES, PartnerMessage, SendOutcome,
};
use crate::ports::AnnouncedNode;
use crate::relay::RelayContext;
use crate::types::{InstanceId, log_position};
use async_channel::Sender;
use bytes::Bytes;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Period at which a node sends its partners a digest of its topics.
const DIGEST_PERIOD: Duration = Duration::from_millis(300);

/// Maximum bytes of the records in a page: a few hundredths of a second on a slow link.
const MAX_PAGE_BYTES: usize = 64 * 1024;

/// Maximum bytes of the records for a partner that does not request pages.
const MAX_UNPAGED_BYTES: usize = MAX_MESSAGE_BYTES / 2;

/// Maximum strikes in a message.
const MAX_MESSAGE_STRIKES: usize = 1_000;

/// Maximum limits of servers in a message.
const MAX_MESSAGE_LIMITS: usize = 1_000;

/// Live node.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct LiveNode {
    /// Id of the run.
    pub(super) instance: InstanceId,
    /// Percent of a core that it may use, 0 if unknown.
    pub(super) processor_percent: u32,
}

/// Partner links and membership of a node.
pub(super) struct Partners {
    membership: MembershipState,
    identity: Rc<RefCell<Identity>>,
    links: LinkTable,
    traffic: RefCell<LinkTraffic>,
    /// Live nodes, this one included, ordered by id.
    live: Vec<LiveNode>,
    /// Change count of the membership when its changes were last applied, `None` before the first
    /// time.
    applied_changes: Option<u64>,
    /// Highest number of live nodes so far; divides the resend allowance and the store link among
    /// nodes.
    max_live_nodes: u32,
    next_digest_at: Instant,
    /// Whether records changed since the last digest.
    has_new_records: bool,
    record_requests: RecordRequests,
}

impl Partners {
    /// Returns the state of a node without partners.
    pub(super) fn new(
        context: &RelayContext,
        instance: InstanceId,
        address: SocketAddr,
        now: Instant,
    ) -> Self {
        let mut identity = Identity::new(
            context.settings.partner_key.clone(),
            instance,
            address,
            context.settings.availability_zone.clone(),
        );
        identity.record.processor_percent = context.settings.processor_percent;
        identity.record.peer_address = Some(context.peer_queries.address());
        let settings = MembershipSettings { redial_delay_ms: 300, ..MembershipSettings::default() };
        Self {
            membership: MembershipState::new(identity.record.clone(), settings),
            identity: Rc::new(RefCell::new(identity)),
            links: LinkTable::default(),
            traffic: RefCell::new(LinkTraffic::new(
                context.metrics.link_sent_bytes.clone(),
                context.metrics.link_received_bytes.clone(),
                now,
            )),
            live: Vec::new(),
            applied_changes: None,
            max_live_nodes: 1,
            next_digest_at: now,
            has_new_records: false,
            record_requests: RecordRequests::default(),
        }
    }

    /// Returns the identity that this node presents on links.
    pub(super) fn identity(&self) -> Rc<RefCell<Identity>> {
        Rc::clone(&self.identity)
    }

    /// Returns the highest number of live nodes so far.
    pub(super) fn max_live_nodes(&self) -> u32 {
        self.max_live_nodes
    }

    /// Returns the live nodes including this one, ordered by id.
    pub(super) fn live_nodes(&self) -> &[LiveNode] {
        &self.live
    }

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

    /// Whether a link to `peer` is open.
    pub(super) fn has_link(&self, peer: &InstanceId) -> bool {
        self.links.get(peer).is_some()
    }

    /// Sends a message to a partner; drops it if the queue of the link is full.
    pub(super) fn send(&self, to: &InstanceId, message: &PartnerMessage) {
        if self.has_link(to) {
            self.send_encoded(to, message.kind(), message.encode());
        }
    }

    /// Sends an encoded message of `kind` to a partner; drops it if the queue of the link is full.
    fn send_encoded(&self, to: &InstanceId, kind: MessageKind, bytes: Bytes) {
        match self.links.send_encoded(to, kind, bytes) {
            SendOutcome::Sent(bytes) => self.traffic.borrow_mut().record_sent(kind, bytes),
            SendOutcome::Dropped => {
                log::warn!("event=link_message_dropped peer={to} kind={kind}");
            }
            SendOutcome::Undeliverable => {}
        }
    }

    fn remove_link(&mut self, peer: &InstanceId) {
        self.links.remove(peer);
        self.record_requests.remove_peer(peer);
    }

    /// Sends a message to several partners, encoded once.
    pub(super) fn send_to_all<'a>(
        &self,
        peers: impl Iterator<Item = &'a InstanceId>,
        message: &PartnerMessage,
    ) {
        let bytes = message.encode();
        for peer in peers {
            self.send_encoded(peer, message.kind(), bytes.clone());
        }
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
    /// Sends a message to all partners except `source`.
    pub(super) fn broadcast(&self, source: Option<&InstanceId>, message: &PartnerMessage) {
        let peers = self.partners.links.peers().filter(|peer| Some(*peer) != source);
        self.partners.send_to_all(peers, message);
    }

    /// Sends a message to the neighbours on the tree of nodes, except `source`.
    pub(super) fn send_along_tree(&self, source: Option<&InstanceId>, message: &PartnerMessage) {
        let neighbours = self.loads.neighbours().filter(|peer| Some(*peer) != source);
        self.partners.send_to_all(neighbours, message);
    }

    /// Sets the addresses to dial: the announced nodes and the configured seed partners.
    pub(super) fn apply_announced(&mut self, nodes: &[AnnouncedNode], now: Instant) {
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

    /// Adds a link unless another link to the same peer takes precedence.
    pub(super) fn open_link(
        &mut self,
        number: u64,
        peer: MemberRecord,
        dialed: bool,
        outgoing: Sender<Bytes>,
        now: Instant,
    ) {
        let own_instance = &self.partners.membership.local_record().instance;
        let link = LinkHandle { number, dialed, outgoing };
        if !self.partners.links.add(own_instance, &peer.instance, link) {
            return;
        }
        log::info!("event=link_opened peer={} address={}", peer.instance, peer.address);
        let instance = peer.instance.clone();
        self.loads.restart(&instance, &mut self.context.fleet());
        self.advance_membership(MembershipEvent::LinkOpened { peer, dialed }, now);
        self.partners.send(&instance, &PartnerMessage::Topics(self.topic_digests(now)));
        let strikes = self.context.poison().strikes();
        if !strikes.is_empty() {
            self.partners.send(&instance, &PartnerMessage::Strikes(strikes));
        }
        for batch in self.context.crash_evidence().strikes(now).chunks(MAX_MESSAGE_STRIKES) {
            self.partners.send(&instance, &PartnerMessage::KeyStrikes(batch.to_vec()));
        }
        let departures = self.context.fleet().departures.notices();
        if !departures.is_empty() {
            self.partners.send(&instance, &PartnerMessage::Leaving(departures));
        }
        let brittle = self.context.fleet().brittle.notices(now);
        if !brittle.is_empty() {
            self.partners.send(&instance, &PartnerMessage::Brittle(brittle));
        }
        let limits = self.context.fleet().limits.notices(now);
        for batch in limits.chunks(MAX_MESSAGE_LIMITS) {
            self.partners.send(&instance, &PartnerMessage::Limits(batch.to_vec()));
        }
    }

    /// Handles a message from a partner.
    pub(super) fn receive_message(&mut self, number: u64, received: ReceivedMessage, now: Instant) {
        let Some(peer) = self.partners.links.peer(number).cloned() else { return };
        self.advance_membership(MembershipEvent::MessageReceived(peer.clone()), now);
        let Some(message) = received.message else { return };
        self.partners.traffic.borrow_mut().record_received(message.kind(), received.bytes);
        match message {
            PartnerMessage::Ping { digest, .. } => {
                self.advance_membership(MembershipEvent::Ping { peer, digest }, now);
            }
            PartnerMessage::Members(records) => {
                self.advance_membership(MembershipEvent::Records { peer, records }, now);
            }
            PartnerMessage::Strikes(strikes) => self.add_strikes(Some(&peer), strikes, now),
            PartnerMessage::KeyStrikes(strikes) => self.add_key_strikes(Some(&peer), strikes, now),
            PartnerMessage::Leaving(notices) => self.receive_leaving(&peer, notices),
            PartnerMessage::Limits(notices) => self.receive_limits(&peer, &notices, now),
            PartnerMessage::Brittle(notices) => self.receive_brittle(&peer, &notices, now),
            PartnerMessage::Topics(digests) => self.apply_digests(&peer, &digests, now),
            PartnerMessage::RecordsRequest(request) => self.send_records(&peer, &request),
            PartnerMessage::Records(delta) => self.receive_records(&peer, *delta, now),
            PartnerMessage::RelayLoad(load) => self.apply_load(&peer, &load, now),
            PartnerMessage::Rollout(notice) => self.receive_rollout_notice(&peer, notice, now),
            other => log::debug!("event=message_ignored peer={peer} kind={}", other.kind()),
        }
    }

    /// Handles the end of a link.
    pub(super) fn end_link(&mut self, number: u64, end: &LinkEnd, now: Instant) {
        let Some(peer) = self.partners.links.peer(number).cloned() else { return };
        let graceful = match end {
            LinkEnd::Closed => true,
            LinkEnd::Broken(error) => {
                log::warn!("event=link_broken peer={peer} error=\"{error:#}\"");
                false
            }
        };
        self.partners.remove_link(&peer);
        self.advance_membership(MembershipEvent::LinkClosed { peer, graceful }, now);
    }

    /// Handles a failure to open a link.
    pub(super) fn handle_failed_dial(&mut self, address: SocketAddr, now: Instant) {
        self.advance_membership(MembershipEvent::DialFailed(address), now);
    }

    /// Notifies partners that this node is stopping and takes no duties any more. It keeps its links:
    /// others ask it for the streams that it carries, and it learns of the nodes that take them over.
    pub(super) fn announce_stop(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Stop, now);
    }

    /// Notifies partners that this node has stopped, and closes its links.
    pub(super) fn leave_partners(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Leave, now);
    }

    /// Runs the periodic work of membership and sends digests.
    pub(super) fn tick_partners(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Tick, now);
        self.partners.traffic.borrow_mut().log_if_due(now);
        let is_digest_due = std::mem::take(&mut self.partners.has_new_records);
        if is_digest_due || now >= self.partners.next_digest_at {
            self.partners.next_digest_at = now + DIGEST_PERIOD;
            self.broadcast(None, &PartnerMessage::Topics(self.topic_digests(now)));
        }
    }

    /// Schedules a digest for the next tick, since records have changed.
    pub(super) fn schedule_digest(&mut self) {
        self.partners.has_new_records = true;
    }

    fn topic_digests(&self, now: Instant) -> Vec<TopicDigest> {
        let schedule = self.read_schedule.borrow();
        let digest = |topic| TopicDigest {
            topic,
            known_below: self.replica.known_below(topic),
            age_ms: schedule
                .age(topic, now)
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            confirmation: schedule.confirmation(topic),
        };
        RecordTopic::iter().map(digest).collect()
    }

    /// Compares a partner's digests with the replica and requests the records that this node lacks.
    fn apply_digests(&mut self, peer: &InstanceId, digests: &[TopicDigest], now: Instant) {
        for &TopicDigest { topic, known_below, age_ms, confirmation } in digests {
            let known = self.replica.known_below(topic);
            if known_below <= known {
                if let Some(age_ms) = age_ms.filter(|_| known_below == known) {
                    let age = Duration::from_millis(age_ms);
                    self.read_schedule.borrow_mut().confirm_by(topic, confirmation, age, now);
                }
                continue;
            }
            let Some(position) = known_below else { continue };
            self.observe_era(log_position::era(position), now);
            let request = self.partners.record_requests.announce(peer, topic, position, known, now);
            if let Some(request) = request {
                self.partners.send(peer, &PartnerMessage::RecordsRequest(request));
            }
        }
        self.confirm_servers(now);
    }

    /// Applies a page of records and requests what is still missing.
    fn receive_records(&mut self, peer: &InstanceId, mut delta: TopicDelta, now: Instant) {
        let topic = delta.topic;
        let is_restored = self.replica.is_restored_by(topic, delta.known_below);
        let source = match delta.from {
            _ if is_restored => RecordSource::Restored,
            None => RecordSource::Copy(peer.clone()),
            Some(_) => RecordSource::Partner(peer.clone()),
        };
        let next_page = self.partners.record_requests.receive(peer, &mut delta, now);
        let updates = self.replica.apply_delta(delta);
        self.apply_updates(&updates, &source, now);
        self.mark_servers_listed();
        let known = self.replica.known_below(topic);
        let next = next_page.map(|request| (peer.clone(), request));
        let next = next.or_else(|| self.partners.record_requests.next(topic, known, now));
        if let Some((peer, request)) = next {
            self.partners.send(&peer, &PartnerMessage::RecordsRequest(request));
        }
    }

    /// Sends a partner the next page of the records that it lacks.
    fn send_records(&self, peer: &InstanceId, request: &RecordsRequest) {
        let max_bytes = if request.is_paged { MAX_PAGE_BYTES } else { MAX_UNPAGED_BYTES };
        if let Some(delta) = self.replica.delta(request, max_bytes) {
            self.partners.send(peer, &PartnerMessage::Records(Box::new(delta)));
        }
    }

    /// Applies an event to the membership and executes the resulting commands.
    fn advance_membership(&mut self, event: MembershipEvent, now: Instant) {
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
            self.read_schedule.borrow_mut().set_nodes(me, &ids, &topics);
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
