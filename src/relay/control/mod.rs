//! Control thread of a relay node. One loop applies events to the control state; tasks on the same
//! thread call the store, servers and partners and send the results as events.

mod crashes;
mod follow;
mod kv_store;
mod link_traffic;
mod loads;
mod partner_links;
mod partners;
mod records;
mod rollout;
mod server_notices;
mod state;
mod version_calls;
mod versions;

pub(super) use server_notices::{log_brittle, log_limit};
pub use state::{ControlDependencies, run_control};

use crate::decision::leaving::LeavingNotice;
use crate::decision::membership::MemberRecord;
use crate::decision::poison::{Fingerprint, KeyStrike, RankedKey};
use crate::decision::relay::register_lease::{FencingNumber, RegisterRecord};
use crate::decision::relay::replica::TopicListing;
use crate::decision::relay::rollout::{WeightsOrderOutcome, WeightsReport};
use crate::decision::relay::streams::VersionOutcome;
use crate::decision::relay::{BrittleNotice, KeyedRecord, LimitAnnouncement, RecordTopic};
use crate::links::LinkEnd;
use crate::links::connection::ReceivedMessage;
use crate::ports::{AnnouncedNode, ReplaceOutcome};
use crate::types::{Incarnation, LogPosition, ModelId, PeerResult, ServerId, StoreEra};
use async_channel::Sender;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Instant;

/// Exchange with a server that cut the connection.
#[derive(Clone, Debug)]
pub struct CutExchange {
    /// Server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Fingerprint of the request, `None` if a crash is no strike against the request alone.
    pub fingerprint: Option<Fingerprint>,
    /// Keys of the request with the crashes that were known when it was sent.
    pub keys: Vec<RankedKey>,
}

/// Event that the control thread handles.
#[derive(Debug)]
pub enum RelayControlEvent {
    /// A topic was listed.
    TopicListed {
        /// Topic.
        topic: RecordTopic,
        /// Listing.
        listing: TopicListing,
        /// When the listing was requested.
        requested_at: Instant,
    },
    /// Records after a known position were read.
    RecordsRead {
        /// Topic.
        topic: RecordTopic,
        /// Records.
        records: Vec<KeyedRecord>,
        /// Position of the next record.
        next_position: LogPosition,
        /// Time at which the store had no later records, `None` if it has some.
        confirmed_at: Option<Instant>,
    },
    /// Announced nodes were read from the store.
    NodesAnnounced(Vec<AnnouncedNode>),
    /// A partner link was opened and its peer authenticated.
    LinkOpened {
        /// Number of the link.
        link: u64,
        /// Member record that the peer sent about itself.
        peer: MemberRecord,
        /// Whether this node opened the link.
        dialed: bool,
        /// Queue of encoded messages to the peer.
        outgoing: Sender<Bytes>,
    },
    /// A partner sent a message.
    LinkReceived {
        /// Number of the link.
        link: u64,
        /// Message.
        message: ReceivedMessage,
    },
    /// A partner link ended.
    LinkEnded {
        /// Number of the link.
        link: u64,
        /// How it ended.
        end: LinkEnd,
    },
    /// A partner link to the address could not be opened.
    DialFailed(SocketAddr),
    /// A server saved prefixes to the external store of KV cache.
    PrefixesStored,
    /// A server cut the connection during a request.
    ExchangeCut(CutExchange),
    /// A check of whether a server crashed has ended.
    CrashChecked {
        /// Server.
        server: ServerId,
        /// Incarnation that cut connections.
        incarnation: Incarnation,
        /// Whether it crashed.
        has_crashed: bool,
    },
    /// Strikes were cleared by a complete answer.
    KeysCleared(Vec<KeyStrike>),
    /// Servers announced in answers to this node that they are leaving.
    ServersLeaving(Vec<LeavingNotice>),
    /// Servers of a service said in answers to this node that they are brittle, or say it no longer.
    BrittleLearned(BrittleNotice),
    /// A server named a limit in an answer to this node, or names it no longer.
    LimitLearned(LimitAnnouncement),
    /// A request for a report of weights has ended.
    ReportEnded {
        /// Model of the rollout.
        model: ModelId,
        /// Server.
        server: ServerId,
        /// Report or error.
        report: PeerResult<WeightsReport>,
    },
    /// An order to a server has ended.
    OrderEnded {
        /// Model of the rollout.
        model: ModelId,
        /// Server.
        server: ServerId,
        /// Fencing number of the order.
        fencing_number: FencingNumber,
        /// Outcome.
        outcome: WeightsOrderOutcome,
    },
    /// A read of the lease register has ended.
    RegisterRead(PeerResult<RegisterRecord>),
    /// A replacement of the lease record has ended.
    RegisterReplaced {
        /// When the call was sent.
        sent_at: Instant,
        /// Outcome.
        outcome: PeerResult<ReplaceOutcome>,
    },
    /// A call about the recorded versions of services has ended.
    VersionCallEnded(PeerResult<VersionOutcome>),
    /// The external store of KV cache became available or unavailable, or lost its contents.
    KvStoreChanged {
        /// Address of the store, `None` while it does not answer.
        address: Option<SocketAddr>,
        /// Whether the stored KV cache is lost.
        is_emptied: bool,
    },
    /// The process of a server's entry may have ended.
    ProcessDoubted {
        /// Server.
        server: ServerId,
        /// Address of the server.
        address: SocketAddr,
    },
    /// Another node knows an era of the store.
    EraLearned(StoreEra),
    /// Streams wait for a listing of the software versions, or for the record of one.
    VersionsWanted,
    /// The node is stopping; it still carries requests.
    NodeStopping,
    /// The node carries no requests any more.
    NodeStopped,
}
