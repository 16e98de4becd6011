//! Partner links of the node: opens, accepts and closes them, and keeps them within the byte
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
use std::time::{Duration, Instant};

/// Messages that may wait for a link's connection.
const LINK_QUEUE: usize = 64;

/// Seconds of the byte budget that may be spent at once.
const BURST_S: f64 = 2.0;

/// Event about partner links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link was opened and its peer authenticated.
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
        /// Address that was dialed.
        address: SocketAddr,
        /// Error.
        error: PeerError,
    },
}

/// Link that was opened.
#[derive(Debug)]
pub struct OpenedLink {
    /// Number of the link within this run.
    pub number: u64,
    /// Record that the peer gave of itself.
    pub peer: MemberRecord,
    /// Whether this node dialed.
    pub dialed: bool,
    /// Way to the link's connection; closing it closes the link in good order.
    pub outgoing: Sender<Bytes>,
}

/// Links, membership and the byte budget.
pub struct LinksControl {
    pub(super) membership: MembershipState,
    metrics: Metrics,
    /// Identity that links prove; its record follows the membership's.
    identity: Rc<RefCell<Identity>>,
    numbers: Rc<RefCell<u64>>,
    links: LinkTable,
    /// What waits for each partner within the byte budget.
    outboxes: BTreeMap<InstanceId, Outbox>,
    budget: TokenBucket,
}

impl LinksControl {
    /// Returns the links of a node that has just started and listens for partners on `address`.
    pub fn new(context: &ControlContext, address: SocketAddr, now: Instant) -> Self {
        let settings = &context.settings;
        let identity = Identity::new(
            settings.partner_key.clone(),
            context.instance.clone(),
            address,
            settings.availability_zone.clone(),
        );
        let rate_per_s = f64::from(settings.control.link_bytes_per_s);
        Self {
            membership: MembershipState::new(
                identity.record.clone(),
                MembershipSettings::default(),
            ),
            metrics: context.metrics.clone(),
            identity: Rc::new(RefCell::new(identity)),
            numbers: Rc::default(),
            links: LinkTable::default(),
            outboxes: BTreeMap::new(),
            budget: TokenBucket::new(rate_per_s, rate_per_s * BURST_S, now),
        }
    }

    /// Returns what tasks that open links need.
    pub(super) fn opener(&self) -> LinkOpener {
        LinkOpener { identity: Rc::clone(&self.identity), numbers: Rc::clone(&self.numbers) }
    }

    /// Peers with an open link.
    pub fn peers(&self) -> impl Iterator<Item = &InstanceId> {
        self.links.peers()
    }

    /// Adds to what waits for each partner within the byte budget, but for `source`.
    pub(super) fn queue(&mut self, source: Option<&InstanceId>, add: impl Fn(&mut Outbox)) {
        let outboxes = self.outboxes.iter_mut().filter(|(peer, _)| Some(*peer) != source);
        outboxes.for_each(|(_, outbox)| add(outbox));
    }

    /// Adds to what waits for one partner within the byte budget.
    pub(super) fn queue_for(&mut self, peer: &InstanceId, add: impl FnOnce(&mut Outbox)) {
        if let Some(outbox) = self.outboxes.get_mut(peer) {
            add(outbox);
        }
    }

    /// Sends a message at once, outside the byte budget; returns whether it was sent.
    pub(super) fn send(&mut self, to: &InstanceId, message: &PartnerMessage) -> bool {
        match self.links.send(to, message) {
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

    /// Sends what waits as far as the byte budget allows.
    fn send_waiting(&mut self, now: Instant) {
        let peers: Vec<InstanceId> = self.links.peers().cloned().collect();
        for peer in peers {
            while self.budget.available_at(1.0, now) <= now {
                if self.links.get(&peer).is_none_or(|link| link.outgoing.is_full()) {
                    break;
                }
                let outbox = self.outboxes.get_mut(&peer);
                let Some(message) = outbox.and_then(Outbox::take_next) else { break };
                let before_bytes = self.metrics.link_sent_bytes.get();
                self.send(&peer, &message);
                let spent_bytes = self.metrics.link_sent_bytes.get() - before_bytes;
                self.budget.take(spent_bytes as f64, now);
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
        let is_added = self.links.add(&self.membership.local_record().instance, peer, link);
        if is_added {
            self.outboxes.insert(peer.clone(), Outbox::default());
        }
        is_added
    }

    fn remove(&mut self, peer: &InstanceId) {
        self.links.remove(peer);
        self.outboxes.remove(peer);
    }
}

impl ControlState {
    /// Applies an event about links.
    pub(super) fn apply_link(&mut self, event: LinkEvent, now: Instant) {
        match event {
            LinkEvent::Opened(opened) => self.open_link(opened, now),
            LinkEvent::Received { link, message } => self.receive(link, message, now),
            LinkEvent::Ended { link, end } => self.end_link(link, &end, now),
            LinkEvent::DialFailed { address, error } => {
                log::debug!("event=link_failed {error}");
                self.advance_membership(MembershipEvent::DialFailed(address), now);
            }
        }
        self.links.send_waiting(now);
    }

    /// Does the periodic work of links.
    pub(super) fn tick_links(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Tick, now);
        self.links.send_waiting(now);
    }

    /// Tells partners that the node stops, and closes the links.
    pub(super) fn leave_partners(&mut self, now: Instant) {
        self.advance_membership(MembershipEvent::Leave, now);
    }

    fn open_link(&mut self, opened: OpenedLink, now: Instant) {
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
        self.advance_membership(MembershipEvent::LinkOpened { peer, dialed }, now);
        self.greet(&instance);
        self.update_power_partners(now);
    }

    fn receive(&mut self, link: u64, received: ReceivedMessage, now: Instant) {
        self.links.metrics.link_received_bytes.inc_by(received.bytes as u64);
        let Some(peer) = self.links.links.peer(link).cloned() else { return };
        self.advance_membership(MembershipEvent::MessageReceived(peer.clone()), now);
        self.advance_power(PowerEvent::PartnerContact(peer.clone()), now);
        if let Some(message) = received.message {
            self.apply_partner_message(&peer, message, now);
        }
    }

    fn end_link(&mut self, link: u64, end: &LinkEnd, now: Instant) {
        let Some(peer) = self.links.links.peer(link).cloned() else { return };
        let graceful = match end {
            LinkEnd::Closed => true,
            LinkEnd::Broken(error) => {
                log::warn!("event=link_broken peer={peer} error=\"{error:#}\"");
                false
            }
        };
        self.links.remove(&peer);
        self.advance_membership(MembershipEvent::LinkClosed { peer, graceful }, now);
    }

    /// Applies an event to the membership and carries out its commands.
    pub(super) fn advance_membership(&mut self, event: MembershipEvent, now: Instant) {
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
        self.note_live_nodes(now);
    }

    /// Closes a link once what waits for it has been handed over.
    fn close_link(&mut self, peer: &InstanceId, now: Instant) {
        self.links.send_waiting(now);
        self.links.remove(peer);
    }
}

/// What a task that opens links needs.
pub(super) struct LinkOpener {
    identity: Rc<RefCell<Identity>>,
    numbers: Rc<RefCell<u64>>,
}

impl LinkOpener {
    /// Identity as it is now.
    pub(super) fn identity(&self) -> Identity {
        self.identity.borrow().clone()
    }

    /// Runs an open link until it ends.
    pub(super) async fn run(&self, context: &ControlContext, link: Link, dialed: bool) {
        let number = self.next_number();
        let peer = link.peer().clone();
        let (outgoing, outgoing_queue) = async_channel::bounded(LINK_QUEUE);
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
        // What was received before the end of the link is still forwarded.
        let (end, ()) = futures_lite::future::zip(exchange, forward).await;
        context.send(ControlEvent::Link(LinkEvent::Ended { link: number, end })).await;
    }

    fn next_number(&self) -> u64 {
        let mut numbers = self.numbers.borrow_mut();
        *numbers += 1;
        *numbers
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

/// Time to wait after a connection could not be accepted.
pub(super) const ACCEPT_RETRY: Duration = Duration::from_millis(50);
