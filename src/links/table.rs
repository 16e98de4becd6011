//! Open links of a node, by peer and by number.

use super::connection::FRAME_OVERHEAD_BYTES;
use super::{MAX_MESSAGE_BYTES, PartnerMessage};
use crate::types::InstanceId;
use async_channel::Sender;
use bytes::Bytes;
use std::collections::BTreeMap;

/// Open link.
#[derive(Debug)]
pub struct LinkHandle {
    /// Number of the link within this run.
    pub number: u64,
    /// Whether this node dialed.
    pub dialed: bool,
    /// Way to the link's connection; closing it closes the link in good order.
    pub outgoing: Sender<Bytes>,
}

/// What became of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The connection takes it; its bytes with the frame.
    Sent(usize),
    /// There is no link to the peer, or the message is too large for one.
    Undeliverable,
    /// The connection has no room for it.
    Dropped,
}

/// Open links.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<InstanceId, LinkHandle>,
    /// Peer of each link's number.
    peers: BTreeMap<u64, InstanceId>,
}

impl LinkTable {
    /// Adds a link of `me` to `peer` and returns whether it stays: of two links to one peer, that of
    /// the dialer with the lower id does.
    pub fn add(&mut self, me: &InstanceId, peer: &InstanceId, link: LinkHandle) -> bool {
        if peer == me {
            return false;
        }
        if let Some(current) = self.links.get(peer) {
            let own_dial_stays = me < peer;
            if current.dialed != link.dialed && current.dialed == own_dial_stays {
                return false;
            }
            self.peers.remove(&current.number);
        }
        self.peers.insert(link.number, peer.clone());
        self.links.insert(peer.clone(), link);
        true
    }

    /// Removes the link to `peer`, if there is one.
    pub fn remove(&mut self, peer: &InstanceId) {
        if let Some(link) = self.links.remove(peer) {
            self.peers.remove(&link.number);
        }
    }

    /// Returns the link to `peer`.
    pub fn get(&self, peer: &InstanceId) -> Option<&LinkHandle> {
        self.links.get(peer)
    }

    /// Returns the peer of the link `number`.
    pub fn peer(&self, number: u64) -> Option<&InstanceId> {
        self.peers.get(&number)
    }

    /// Returns the peers with an open link.
    pub fn peers(&self) -> impl ExactSizeIterator<Item = &InstanceId> {
        self.links.keys()
    }

    /// Sends a message to `peer` at once.
    pub fn send(&self, peer: &InstanceId, message: &PartnerMessage) -> SendOutcome {
        let Some(link) = self.links.get(peer) else { return SendOutcome::Undeliverable };
        let bytes = message.encode();
        let size_bytes = bytes.len() + FRAME_OVERHEAD_BYTES;
        if bytes.len() > MAX_MESSAGE_BYTES {
            log::error!("event=link_message_too_large peer={peer} kind={}", message.kind());
            return SendOutcome::Undeliverable;
        }
        match link.outgoing.try_send(bytes) {
            Ok(()) => SendOutcome::Sent(size_bytes),
            Err(_) => SendOutcome::Dropped,
        }
    }
}
