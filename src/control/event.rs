//! Events of the control thread.

use super::claims::ClaimsMessage;
use super::links::LinkEvent;
use super::placement::OrderAnswer;
use crate::decision::poison::{Fingerprint, Strike};
use crate::decision::routing::{AnswerFeedback, SentRequest, StoredPrefix};
use crate::ports::{CacheEventPage, InstanceRecord, LoadReport, LogPage, LogStream};
use crate::types::{Incarnation, InstanceId, PeerError, ServerId};
use std::time::Instant;

/// Event of the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// Time for periodic work.
    Tick,
    /// Records of a log stream were read.
    LogRead {
        /// Stream.
        stream: LogStream,
        /// Records and bounds of the stream.
        page: LogPage,
        /// When the read was sent.
        asked_at: Instant,
    },
    /// An extra read of the configuration stream ended.
    ConfigurationReadEnded,
    /// A read of a log stream failed.
    LogFailed {
        /// Stream.
        stream: LogStream,
        /// Error.
        error: PeerError,
    },
    /// The instance list was read.
    Instances(Vec<InstanceRecord>),
    /// A backend server reported its load.
    Load {
        /// Server.
        server: ServerId,
        /// Report.
        report: LoadReport,
        /// When the report was asked for.
        asked_at: Instant,
    },
    /// A backend server did not report its load.
    LoadFailed {
        /// Server.
        server: ServerId,
        /// Error.
        error: PeerError,
    },
    /// A backend server published cache events.
    CacheEvents {
        /// Server.
        server: ServerId,
        /// Events.
        page: CacheEventPage,
    },
    /// A backend server published no cache events.
    CacheEventsFailed {
        /// Server.
        server: ServerId,
        /// Error.
        error: PeerError,
    },
    /// The KV store told what it keeps.
    KeptPrefixes(Vec<StoredPrefix>),
    /// It was looked whether a server crashed that broke off an answer.
    CrashChecked {
        /// Strike that follows if it did.
        strike: Strike,
        /// Whether it crashed.
        crashed: bool,
    },
    /// A traffic thread reports.
    Traffic(TrafficReport),
    /// Something about claims of idempotency keys.
    Claims(ClaimsMessage),
    /// A backend server answered an order.
    Ordered(OrderAnswer),
    /// The address of an instance refuses connections.
    InstanceEnded(InstanceId),
    /// Something about partner links.
    Link(LinkEvent),
    /// The node stops gracefully.
    Stopping,
}

/// What traffic threads report; reports are dropped while the channel is full.
#[derive(Debug)]
pub enum TrafficReport {
    /// A request was sent to a server.
    Sent(SentRequest),
    /// A server completed an answer.
    Answer(AnswerFeedback),
    /// A server sent its load report with the head of an answer.
    Load {
        /// Server.
        server: ServerId,
        /// Report.
        report: LoadReport,
        /// When the request was sent.
        requested_at: Instant,
    },
    /// A server broke off an answer, perhaps since it crashed.
    AnswerInterrupted {
        /// Server.
        server: ServerId,
        /// Incarnation of the server, if it had named one.
        incarnation: Option<Incarnation>,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A request that may crash servers ran to its end.
    SuspectCompleted(Fingerprint),
    /// A record was appended to the configuration stream.
    ConfigurationAppended,
    /// An attempt on a server failed.
    AttemptFailed {
        /// Server.
        server: ServerId,
    },
}
