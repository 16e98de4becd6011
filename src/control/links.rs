//! Partner links of the node: opens and closes them, and sends queued messages within a byte
//! budget.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::admission::token_bucket::TokenBucket;
use crate::decision::membership::{
    MemberRecord, MembershipCommand, MembershipEvent, MembershipSettings, MembershipState,
};
use crate::decision::power::PowerEvent;
use crate::links::connection::ReceivedMessage;
use crate::links::{
    Identity, Link, LinkEnd, LinkHandle, LinkTable, Outbox, PartnerMessage, SendOutcome,
};
use crate::metrics::Metrics;
use crate::types::{InstanceId, PeerError};
use async_channel::Sender;
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Maximum messages that wait to be sent over a link.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Burst of the byte budget, in seconds of its rate.
const BURST_S: f64 = 2.0;

/// Event of a partner link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link was opened and its peer was authenticated.
    Opened(OpenedLink),
    /// A peer sent a message.
    Received {
        /// Number of the link.
        link: u64,
        /// Message.
        message: ReceivedMessage,
    },
    /// A link ended.
    Ended {
        /// Number of the link.
        link: u64,
        /// How it ended.
        end: LinkEnd,
    },
    /// A link could not be opened.
    DialFailed {
        /// Dialed address.
        address: SocketAddr,
        /// Error.
        error: PeerError,
    },
}

/// Newly opened link to an authenticated peer.
#[derive(Debug)]
pub struct OpenedLink {
    /// Number of the link within this run.
    pub number: u64,
    /// The peer's own record.
    pub peer: MemberRecord,
    /// Whether this node dialed.
    pub dialed: bool,
    /// Queue of encoded messages to the peer; closing it closes the link gracefully.
    pub outgoing: Sender<Bytes>,
}

/// Membership, open links and the messages queued for them.
pub struct LinksControl {
    pub(super) membership: MembershipState,
    metrics: Metrics,
    /// Identity for handshakes, shared with the tasks that open links; its record is a copy of the
    /// local record of `membership`.
    identity: Rc<RefCell<Identity>>,
    last_link_number: Rc<RefCell<u64>>,
    table: LinkTable,
    /// Messages to each linked peer that wait for the byte budget.
    outboxes: BTreeMap<InstanceId, Outbox>,
    byte_budget: TokenBucket,
}

impl LinksControl {
    /// Returns the state of a newly started node that listens for partners on `address`.
    pub fn new(context: &ControlContext, address: SocketAddr, now: Instant) -> Self {
        let settings = &context.settings;
        let identity = Identity::new(
            settings.partner_key.clone(),
            context.instance.clone(),
            address,
            settings.availability_zone.clone(),
        );
        let bytes_per_s = f64::from(settings.control.link_bytes_per_s);
        Self {
            membership: MembershipState::new(
                identity.record.clone(),
                MembershipSettings::default(),
            ),
            metrics: context.metrics.clone(),
            identity: Rc::new(RefCell::new(identity)),
            last_link_number: Rc::default(),
            table: LinkTable::default(),
            outboxes: BTreeMap::new(),
            byte_budget: TokenBucket::new(bytes_per_s, bytes_per_s * BURST_S, now),
        }
    }

    /// Returns a handle for tasks that open links.
    pub(super) fn opener(&self) -> LinkOpener {
        LinkOpener {
            identity: Rc::clone(&self.identity),
            last_link_number: Rc::clone(&self.last_link_number),
        }
    }

    /// Returns the peers with an open link.
    pub fn peers(&self) -> impl Iterator<Item = &InstanceId> {
        self.table.peers()
    }

    /// Adds messages to the outbox of every linked peer except `source`.
    pub(super) fn queue_for_all(&mut self, source: Option<&InstanceId>, add: impl Fn(&mut Outbox)) {
        let outboxes = self.outboxes.iter_mut().filter(|(peer, _)| Some(*peer) != source);
        outboxes.for_each(|(_, outbox)| add(outbox));
    }

    /// Adds messages to the outbox of one linked peer.
    pub(super) fn queue_for(&mut self, peer: &InstanceId, add: impl FnOnce(&mut Outbox)) {
        if let Some(outbox) = self.outboxes.get_mut(peer) {
            add(outbox);
        }
    }

    /// Sends a message immediately, without charging the byte budget; returns whether it was sent.
    pub(super) fn send(&mut self, to: &InstanceId, message: &PartnerMessage) -> bool {
        match self.table.send(to, message) {
            SendOutcome::Sent(size_bytes) => {
                self.metrics.link_sent_bytes.inc_by(size_bytes as u64);
                return true;
            }
            SendOutcome::Undeliverable => {}
            SendOutcome::Dropped => {
                self.metrics.link_dropped_messages.inc();
            }
        }
        false
    }

    /// Sends messages of the outboxes as far as the byte budget and the links' queues allow.
    fn send_queued(&mut self, now: Instant) {
        let peers: Vec<InstanceId> = self.table.peers().cloned().collect();
        for peer in peers {
            while self.byte_budget.available_at(1.0, now) <= now {
                if self.table.get(&peer).is_none_or(|link| link.outgoing.is_full()) {
                    break;
                }
                let outbox = self.outboxes.get_mut(&peer);
                let Some(message) = outbox.and_then(Outbox::take_next) else { break };
                let before_bytes = self.metrics.link_sent_bytes.get();
                self.send(&peer, &message);
                let spent_bytes = self.metrics.link_sent_bytes.get() - before_bytes;
                self.byte_budget.take(spent_bytes as f64, now);
            }
        }
    }

    fn add(&mut self, opened: &OpenedLink) -> bool {
        let peer = &opened.peer.instance;
        let link = LinkHandle {
            number: opened.number,
            dialed: opened.dialed,
            outgoing: opened.outgoing.clone(),
        };
        let is_added = self.table.add(&self.membership.local_record().instance, peer, link);
        if is_added {
            self.outboxes.insert(peer.clone(), Outbox::default());
        }
        is_added
    }

    fn remove(&mut self, peer: &InstanceId) {
        self.table.remove(peer);
        self.outboxes.remove(peer);
    }
}

impl ControlState {
    /// Applies an event of a link.
    pub(super) fn apply_link_event(&mut self, event: LinkEvent, now: Instant) {
        match event {
            LinkEvent::Opened(opened) => self.apply_link_opened(opened, now),
            LinkEvent::Received { link, message } => self.receive_message(link, message, now),
            LinkEvent::Ended { link, end } => self.apply_link_ended(link, &end, now),
            LinkEvent::DialFailed { address, error } => {
                log::debug!("event=link_failed {error}");
                self.apply_membership_event(MembershipEvent::DialFailed(address), now);
            }
        }
        self.links.send_queued(now);
    }

    /// Does the periodic work of membership and links.
    pub(super) fn tick_links(&mut self, now: Instant) {
        self.apply_membership_event(MembershipEvent::Tick, now);
        self.links.send_queued(now);
    }

    /// Announces to partners that this node leaves, and closes the links.
    pub(super) fn leave_membership(&mut self, now: Instant) {
        self.apply_membership_event(MembershipEvent::Leave, now);
    }

    fn apply_link_opened(&mut self, opened: OpenedLink, now: Instant) {
        if !self.links.add(&opened) {
            return;
        }
        let OpenedLink { peer, dialed, .. } = opened;
        log::info!(
            "event=link_opened peer={} address={} dialed={dialed}",
            peer.instance,
            peer.address
        );
        let instance = peer.instance.clone();
        self.apply_membership_event(MembershipEvent::LinkOpened { peer, dialed }, now);
        self.sync_new_partner(&instance);
        self.update_power_partners(now);
    }

    fn receive_message(&mut self, link: u64, received: ReceivedMessage, now: Instant) {
        self.links.metrics.link_received_bytes.inc_by(received.bytes as u64);
        let Some(peer) = self.links.table.peer(link).cloned() else { return };
        self.apply_membership_event(MembershipEvent::MessageReceived(peer.clone()), now);
        self.apply_power_event(PowerEvent::PartnerContact(peer.clone()), now);
        if let Some(message) = received.message {
            self.apply_partner_message(&peer, message, now);
        }
    }

    fn apply_link_ended(&mut self, link: u64, end: &LinkEnd, now: Instant) {
        let Some(peer) = self.links.table.peer(link).cloned() else { return };
        let graceful = match end {
            LinkEnd::Closed => true,
            LinkEnd::Broken(error) => {
                log::warn!("event=link_broken peer={peer} error=\"{error:#}\"");
                false
            }
        };
        self.links.remove(&peer);
        self.apply_membership_event(MembershipEvent::LinkClosed { peer, graceful }, now);
    }

    /// Applies an event to the membership and executes the resulting commands.
    pub(super) fn apply_membership_event(&mut self, event: MembershipEvent, now: Instant) {
        for command in self.links.membership.apply(event, now) {
            match command {
                MembershipCommand::Dial(address) => {
                    let task = dial(self.context.clone(), self.links.opener(), address);
                    self.context.spawn(task);
                }
                MembershipCommand::Close(peer) => {
                    log::info!("event=link_closed peer={peer}");
                    self.close_link(&peer, now);
                }
                MembershipCommand::SendRecords { to, records } => {
                    self.links.queue_for(&to, |outbox| outbox.add_members(records));
                }
                MembershipCommand::SendPing { to, digest } => {
                    let configuration = self.configuration.announcement();
                    self.links.send(&to, &PartnerMessage::Ping { digest, configuration });
                }
            }
        }
        self.links.identity.borrow_mut().record = self.links.membership.local_record().clone();
        self.update_live_nodes(now);
    }

    /// Closes a link, after sending the messages of its outbox that the byte budget allows.
    fn close_link(&mut self, peer: &InstanceId, now: Instant) {
        self.links.send_queued(now);
        self.links.remove(peer);
    }
}

/// Handle for tasks that open and run links.
pub(super) struct LinkOpener {
    identity: Rc<RefCell<Identity>>,
    last_link_number: Rc<RefCell<u64>>,
}

impl LinkOpener {
    /// Returns the current identity of this node.
    pub(super) fn identity(&self) -> Identity {
        self.identity.borrow().clone()
    }

    /// Runs an open link until it ends, and sends its events to the control loop.
    pub(super) async fn run(&self, context: &ControlContext, link: Link, dialed: bool) {
        let number = self.next_number();
        let peer = link.peer().clone();
        let (outgoing, outgoing_queue) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let (incoming, incoming_queue) = async_channel::bounded(1);
        let opened = OpenedLink { number, peer, dialed, outgoing };
        context.send(ControlEvent::Link(LinkEvent::Opened(opened))).await;
        let forward = async {
            while let Ok(message) = incoming_queue.recv().await {
                let event = LinkEvent::Received { link: number, message };
                context.send(ControlEvent::Link(event)).await;
            }
        };
        let exchange = link.run(outgoing_queue, incoming);
        // Messages received before the link ended are forwarded before its end is.
        let (end, ()) = futures_lite::future::zip(exchange, forward).await;
        context.send(ControlEvent::Link(LinkEvent::Ended { link: number, end })).await;
    }

    fn next_number(&self) -> u64 {
        let mut last_link_number = self.last_link_number.borrow_mut();
        *last_link_number += 1;
        *last_link_number
    }
}

async fn dial(context: ControlContext, opener: LinkOpener, address: SocketAddr) {
    match crate::links::dial(address, &opener.identity()).await {
        Ok(link) => opener.run(&context, link, true).await,
        Err(error) => {
            let event = LinkEvent::DialFailed { address, error };
            context.send(ControlEvent::Link(event)).await;
        }
    }
}
