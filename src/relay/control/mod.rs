//! The control thread of a relay node: one loop applies events to the control state; tasks on the
//! same thread do the exchanges and send what they learn.

mod crashes;
mod follow;
mod kv_store;
mod loads;
mod partners;
mod records;
mod rollout;
mod state;

pub use state::{ControlParts, start};

use crate::decision::membership::MemberRecord;
use crate::decision::poison::{Fingerprint, Strike};
use crate::decision::relay::register_lease::{FencingNumber, RegisterRecord};
use crate::decision::relay::replica::TopicListing;
use crate::decision::relay::rollout::{WeightsOrderOutcome, WeightsReport};
use crate::decision::relay::{KeyedRecord, RecordTopic};
use crate::links::LinkEnd;
use crate::links::connection::ReceivedMessage;
use crate::ports::{AnnouncedNode, Replacement};
use crate::types::{Incarnation, LogOffset, ModelId, PeerResult, ServerId};
use async_channel::Sender;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Instant;

/// Event of the control thread.
#[derive(Debug)]
pub enum RelayControlEvent {
    /// A topic was listed.
    TopicListed {
        /// Topic.
        topic: RecordTopic,
        /// Listing.
        listing: TopicListing,
        /// When the listing was asked for.
        requested_at: Instant,
    },
    /// Records followed a known offset.
    RecordsRead {
        /// Topic.
        topic: RecordTopic,
        /// Records.
        records: Vec<KeyedRecord>,
        /// Offset after them.
        next_offset: LogOffset,
        /// When the store held nothing beyond them.
        confirmed_at: Instant,
    },
    /// Nodes that announced themselves.
    NodesAnnounced(Vec<AnnouncedNode>),
    /// A link was opened and its peer authenticated.
    LinkOpened {
        /// Number of the link.
        link: u64,
        /// Record that the peer gave of itself.
        peer: MemberRecord,
        /// Whether this node dialed.
        dialed: bool,
        /// Way to the link's connection.
        outgoing: Sender<Bytes>,
    },
    /// A partner sent a message.
    LinkReceived {
        /// Number of the link.
        link: u64,
        /// Message.
        message: ReceivedMessage,
    },
    /// A link ended.
    LinkEnded {
        /// Number of the link.
        link: u64,
        /// How it ended.
        end: LinkEnd,
    },
    /// A link could not be opened.
    DialFailed(SocketAddr),
    /// Prefixes were saved to the store of kept KV cache.
    PrefixesStored,
    /// A server broke off an exchange.
    ExchangeCut {
        /// Server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
        /// Run of the server.
        incarnation: Incarnation,
        /// Request that it had.
        fingerprint: Fingerprint,
    },
    /// A server crashed while it had a request.
    ServerCrashed(Strike),
    /// A server reported its weights.
    ReportEnded {
        /// Model whose rollout asked.
        model: ModelId,
        /// Server.
        server: ServerId,
        /// Report.
        report: PeerResult<WeightsReport>,
    },
    /// A server answered an order.
    OrderEnded {
        /// Model whose rollout ordered.
        model: ModelId,
        /// Server.
        server: ServerId,
        /// Fencing number of the order.
        fencing_number: FencingNumber,
        /// Answer.
        outcome: WeightsOrderOutcome,
    },
    /// The lease register was read.
    RegisterRead(PeerResult<RegisterRecord>),
    /// The lease register was replaced.
    RegisterReplaced {
        /// When the call was sent.
        sent_at: Instant,
        /// Outcome.
        outcome: PeerResult<Replacement>,
    },
    /// The store of kept KV cache answered, or not.
    KvStoreChanged {
        /// Its address while it answers.
        address: Option<SocketAddr>,
        /// Whether what it kept is lost.
        is_emptied: bool,
    },
    /// The node stops.
    NodeStopping,
}
