//! Partner links of the node: opens, accepts and closes them, and keeps them within the byte
//! budget.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::admission::token_bucket::TokenBucket;
use crate::decision::membership::{
    MemberRecord, MemberStatus, MembershipCommand, MembershipEvent, MembershipSettings,
    MembershipState,
};
use crate::decision::power::PowerEvent;
use crate::links::connection::{FRAME_OVERHEAD_BYTES, ReceivedMessage};
use crate::links::{Identity, Link, LinkEnd, MESSAGE_LIMIT_BYTES, Outbox, PartnerMessage};
use crate::metrics::Metrics;
use crate::types::{InstanceId, PeerError};
use async_channel::Sender;
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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
    links: BTreeMap<InstanceId, OpenLink>,
    /// Peer of each link's number.
    peers: BTreeMap<u64, InstanceId>,
    budget: TokenBucket,
}

struct OpenLink {
    number: u64,
    dialed: bool,
    outgoing: Sender<Bytes>,
    outbox: Outbox,
}

impl LinksControl {
    /// Returns the links of a node that has just started and listens for partners on `address`.
    pub fn new(context: &ControlContext, address: SocketAddr, now: Instant) -> Self {
        let settings = &context.settings;
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let me = MemberRecord {
            instance: context.instance.clone(),
            address,
            availability_zone: settings.availability_zone.clone(),
            started_unix_ms: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            version: 0,
            status: MemberStatus::Alive,
        };
        let rate_per_s = f64::from(settings.control.link_bytes_per_s);
        let identity = Identity { key: settings.partner_key.clone(), me: me.clone() };
        Self {
            membership: MembershipState::new(me, MembershipSettings::default()),
            metrics: context.metrics.clone(),
            identity: Rc::new(RefCell::new(identity)),
            numbers: Rc::default(),
            links: BTreeMap::new(),
            peers: BTreeMap::new(),
            budget: TokenBucket::new(rate_per_s, rate_per_s * BURST_S, now),
        }
    }

    /// Returns what tasks that open links need.
    pub(super) fn opener(&self) -> LinkOpener {
        LinkOpener { identity: Rc::clone(&self.identity), numbers: Rc::clone(&self.numbers) }
    }

    /// Peers with an open link.
    pub fn peers(&self) -> impl Iterator<Item = &InstanceId> {
        self.links.keys()
    }

    /// Adds to what waits for each partner within the byte budget, but for `source`.
    pub(super) fn queue(&mut self, source: Option<&InstanceId>, add: impl Fn(&mut Outbox)) {
        let links = self.links.iter_mut().filter(|(peer, _)| Some(*peer) != source);
        links.for_each(|(_, link)| add(&mut link.outbox));
    }

    /// Adds to what waits for one partner within the byte budget.
    pub(super) fn queue_for(&mut self, peer: &InstanceId, add: impl FnOnce(&mut Outbox)) {
        if let Some(link) = self.links.get_mut(peer) {
            add(&mut link.outbox);
        }
    }

    /// Sends a message at once, outside the byte budget; returns whether it was sent.
    pub(super) fn send(&mut self, to: &InstanceId, message: &PartnerMessage) -> bool {
        let Some(link) = self.links.get(to) else { return false };
        let bytes = message.encode();
        let size_bytes = bytes.len() + FRAME_OVERHEAD_BYTES;
        if bytes.len() > MESSAGE_LIMIT_BYTES {
            log::error!("event=link_message_too_large peer={to} kind={}", message.kind());
            return false;
        }
        let sent = link.outgoing.try_send(bytes).is_ok();
        if sent {
            self.metrics.link_sent_bytes.inc_by(size_bytes as u64);
        } else {
            self.metrics.link_dropped_messages.inc();
        }
        sent
    }

    /// Sends what waits as far as the byte budget allows.
    fn send_waiting(&mut self, now: Instant) {
        let peers: Vec<InstanceId> = self.links.keys().cloned().collect();
        for peer in peers {
            while self.budget.available_at(1.0, now) <= now {
                let Some(link) = self.links.get_mut(&peer) else { break };
                if link.outgoing.is_full() {
                    break;
                }
                let Some(message) = link.outbox.take_next() else { break };
                let before_bytes = self.metrics.link_sent_bytes.get();
                self.send(&peer, &message);
                let spent_bytes = self.metrics.link_sent_bytes.get() - before_bytes;
                self.budget.take(spent_bytes as f64, now);
            }
        }
    }

    /// Adds a link; of two links to one peer, that of the dialer with the lower id stays.
    fn add(&mut self, opened: &OpenedLink) -> bool {
        let peer = &opened.peer.instance;
        if *peer == self.membership.me().instance {
            return false;
        }
        if let Some(current) = self.links.get(peer) {
            let own_dial_stays = self.membership.me().instance < *peer;
            let stays = current.dialed != opened.dialed && current.dialed == own_dial_stays;
            if stays {
                return false;
            }
            self.peers.remove(&current.number);
        }
        self.peers.insert(opened.number, peer.clone());
        let link = OpenLink {
            number: opened.number,
            dialed: opened.dialed,
            outgoing: opened.outgoing.clone(),
            outbox: Outbox::default(),
        };
        self.links.insert(peer.clone(), link);
        true
    }

    fn remove(&mut self, peer: &InstanceId) {
        if let Some(link) = self.links.remove(peer) {
            self.peers.remove(&link.number);
        }
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
        let Some(peer) = self.links.peers.get(&link).cloned() else { return };
        self.advance_membership(MembershipEvent::Heard(peer.clone()), now);
        self.advance_power(PowerEvent::Heard(peer.clone()), now);
        if let Some(message) = received.message {
            self.apply_partner_message(&peer, message, now);
        }
    }

    fn end_link(&mut self, link: u64, end: &LinkEnd, now: Instant) {
        let Some(peer) = self.links.peers.get(&link).cloned() else { return };
        let in_order = match end {
            LinkEnd::InOrder => true,
            LinkEnd::Broken(error) => {
                log::warn!("event=link_broken peer={peer} error=\"{error:#}\"");
                false
            }
        };
        self.links.remove(&peer);
        self.advance_membership(MembershipEvent::LinkClosed { peer, in_order }, now);
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
        self.links.identity.borrow_mut().me = self.links.membership.me().clone();
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
