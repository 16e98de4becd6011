//! Partner links of a relay node, which carry records, loads, strikes and rollout notices.

mod membership;
mod record_exchange;

use super::link_traffic::LinkTraffic;
use super::state::ControlState;
use crate::decision::membership::{
    MemberRecord, MembershipEvent, MembershipSettings, MembershipState,
};
use crate::decision::relay::{RecordPacker, RecordRequests};
use crate::links::connection::ReceivedMessage;
use crate::links::message::MessageKind;
use crate::links::{Identity, LinkEnd, LinkHandle, LinkTable, PartnerMessage, SendOutcome};
use crate::relay::RelayContext;
use crate::types::InstanceId;
use async_channel::Sender;
use bytes::Bytes;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Period at which a node sends its partners a digest of its topics.
const DIGEST_PERIOD: Duration = Duration::from_millis(300);

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
    record_packer: RecordPacker,
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
            record_packer: RecordPacker::default(),
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
        for notice in self.recorded_versions_notices(now) {
            self.partners.send(&instance, &PartnerMessage::RecordedVersions(notice));
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
            PartnerMessage::Records(delta) => {
                self.receive_records(&peer, *delta, received.bytes, now);
            }
            PartnerMessage::RelayLoad(load) => self.apply_load(&peer, &load, now),
            PartnerMessage::RecordedVersions(notice) => {
                self.receive_recorded_versions(&peer, notice, now)
            }
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

    /// Runs the periodic work of membership and sends digests.
    pub(super) fn tick_partners(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Tick, now);
        self.partners.traffic.borrow_mut().log_if_due(now);
        let has_new_records = std::mem::take(&mut self.partners.has_new_records);
        if has_new_records || now >= self.partners.next_digest_at {
            self.send_digests(now);
        }
    }
}
