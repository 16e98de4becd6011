//! Events of the control thread.

use super::claims::ClaimsMessage;
use super::links::LinkEvent;
use super::placement::OrderAnswer;
use crate::decision::poison::{Fingerprint, Strike};
use crate::decision::routing::{AnswerFeedback, SentRequest, StoredPrefix};
use crate::ports::{CacheEventPage, InstanceRecord, LoadReport, LogPage, LogStream};
use crate::types::{Incarnation, InstanceId, PeerError, ServerId};
use std::time::Instant;

/// Event that the control loop applies.
#[derive(Debug)]
pub enum ControlEvent {
    /// Periodic call.
    Tick,
    /// A log stream was read.
    LogRead {
        /// Stream.
        stream: LogStream,
        /// Records and bounds of the stream.
        page: LogPage,
        /// When the page was requested.
        requested_at: Instant,
    },
    /// An extra read of the configuration stream ended; its page or error is an earlier event.
    ConfigurationReadEnded,
    /// A read of a log stream failed.
    LogReadFailed {
        /// Stream.
        stream: LogStream,
        /// Error.
        error: PeerError,
    },
    /// The platform's instance list was read.
    InstanceListRead(Vec<InstanceRecord>),
    /// A backend server answered a poll with its load report.
    LoadReported {
        /// Server.
        server: ServerId,
        /// Report.
        report: LoadReport,
        /// When the report was requested.
        polled_at: Instant,
    },
    /// A poll for a load report failed.
    LoadReportFailed {
        /// Server.
        server: ServerId,
        /// Error.
        error: PeerError,
    },
    /// A backend server answered a poll with cache events.
    CacheEvents {
        /// Server.
        server: ServerId,
        /// Events.
        page: CacheEventPage,
    },
    /// A poll for cache events failed.
    CacheEventsFailed {
        /// Server.
        server: ServerId,
        /// Error.
        error: PeerError,
    },
    /// The KV store answered a query for stored prefixes.
    StoredPrefixes(Vec<StoredPrefix>),
    /// The check of a server that interrupted an answer ended.
    CrashChecked {
        /// Strike to add if the server crashed.
        strike: Strike,
        /// Whether it crashed; false if that is unknown.
        crashed: bool,
    },
    /// A traffic thread sent a report.
    Traffic(TrafficReport),
    /// Message about claims of idempotency keys.
    Claims(ClaimsMessage),
    /// An order to a backend server was answered or failed.
    OrderAnswered(OrderAnswer),
    /// The address of an instance refuses connections, so its process has ended.
    InstanceEnded(InstanceId),
    /// Event of a partner link.
    Link(LinkEvent),
    /// The node stops gracefully.
    Stopping,
}

/// Report of a traffic thread; dropped if the event queue of the control thread is full.
#[derive(Debug)]
pub enum TrafficReport {
    /// A request was sent to a server.
    Sent(SentRequest),
    /// A server completed an answer.
    Answer(AnswerFeedback),
    /// A server sent a load report with the head of an answer.
    Load {
        /// Server.
        server: ServerId,
        /// Report.
        report: LoadReport,
        /// When the request that it answers was sent.
        requested_at: Instant,
    },
    /// An answer ended early, possibly because the server crashed.
    AnswerInterrupted {
        /// Server.
        server: ServerId,
        /// Incarnation of the server that ran the request, if known.
        incarnation: Option<Incarnation>,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A request suspected of crashing servers was answered completely.
    SuspectCompleted(Fingerprint),
    /// A record was appended to the configuration stream.
    ConfigurationAppended,
    /// An attempt on a server failed, other than by a refusal.
    AttemptFailed {
        /// Server.
        server: ServerId,
    },
}
