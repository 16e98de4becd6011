//! Open links of a node, by peer and by number.

use super::connection::MAX_FRAME_OVERHEAD_BYTES;
use super::message::MessageKind;
use super::{MAX_MESSAGE_BYTES, PartnerMessage};
use crate::types::InstanceId;
use async_channel::Sender;
use bytes::Bytes;
use std::collections::BTreeMap;

/// Handle of an open link.
#[derive(Debug)]
pub struct LinkHandle {
    /// Number of the link, unique within this run of the node.
    pub number: u64,
    /// Whether this node dialed.
    pub dialed: bool,
    /// Queue of encoded messages to the peer; closing it closes the link gracefully.
    pub outgoing: Sender<Bytes>,
}

/// Result of sending a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// Queued for the connection; size in bytes, with the maximum overhead of the frame.
    Sent(usize),
    /// There is no link to the peer, or the message exceeds [`MAX_MESSAGE_BYTES`].
    Undeliverable,
    /// The link's queue is full or closed.
    Dropped,
}

/// Open links.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<InstanceId, LinkHandle>,
    /// Peers by the number of their link.
    peers: BTreeMap<u64, InstanceId>,
}

impl LinkTable {
    /// Adds a link from `local` to `peer`, replacing an older one; returns whether it was added. If
    /// both nodes dialed each other, the link dialed by the node with the lower id is kept.
    pub fn add(&mut self, local: &InstanceId, peer: &InstanceId, link: LinkHandle) -> bool {
        if peer == local {
            return false;
        }
        if let Some(current) = self.links.get(peer) {
            let keep_dialed = local < peer;
            if current.dialed != link.dialed && current.dialed == keep_dialed {
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

    /// Returns the peer of the link with this number.
    pub fn peer(&self, number: u64) -> Option<&InstanceId> {
        self.peers.get(&number)
    }

    /// Returns the peers with an open link.
    pub fn peers(&self) -> impl ExactSizeIterator<Item = &InstanceId> {
        self.links.keys()
    }

    /// Queues a message on the link to `peer`.
    pub fn send(&self, peer: &InstanceId, message: &PartnerMessage) -> SendOutcome {
        if !self.links.contains_key(peer) {
            return SendOutcome::Undeliverable;
        }
        self.send_encoded(peer, message.kind(), message.encode())
    }

    /// Queues an encoded message of `kind` on the link to `peer`.
    pub fn send_encoded(&self, peer: &InstanceId, kind: MessageKind, bytes: Bytes) -> SendOutcome {
        let Some(link) = self.links.get(peer) else { return SendOutcome::Undeliverable };
        let size_bytes = bytes.len() + MAX_FRAME_OVERHEAD_BYTES;
        if bytes.len() > MAX_MESSAGE_BYTES {
            log::error!("event=link_message_too_large peer={peer} kind={kind}");
            return SendOutcome::Undeliverable;
        }
        match link.outgoing.try_send(bytes) {
            Ok(()) => SendOutcome::Sent(size_bytes),
            Err(_) => SendOutcome::Dropped,
        }
    }
}
