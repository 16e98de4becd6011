//! Port of the platform's append-only log.

use crate::types::{LogOffset, PeerResult};
use async_trait::async_trait;
use bytes::Bytes;
use std::time::SystemTime;
use strum::{Display, EnumIter, IntoStaticStr};

/// Streams of the log; each numbers its records from its own first offset.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LogStream {
    /// Edits and snapshots of the configuration document.
    Configuration,
    /// Claims of idempotency keys.
    Claims,
    /// Leases, such as the placement lease.
    Leases,
    /// Shares of the power budget that nodes hold.
    Power,
}

/// Record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Offset within the stream.
    pub offset: LogOffset,
    /// When it was appended, by the log's clock.
    pub appended_at: SystemTime,
    /// Content of the record, which the log does not interpret.
    pub payload: Bytes,
}

/// Page of records in offset order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPage {
    /// Lowest offset that the log retains.
    pub first_offset: LogOffset,
    /// Offset of the next append.
    pub next_offset: LogOffset,
    /// Records from the requested offset, or from `first_offset` if that is higher.
    pub records: Vec<LogRecord>,
}

/// The platform's append-only log. An append whose answer is lost may have taken effect.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a record with `payload` and returns its offset.
    async fn append(&self, stream: LogStream, payload: Bytes) -> PeerResult<LogOffset>;

    /// Returns up to `limit` records from offset `from` on.
    async fn read(&self, stream: LogStream, from: LogOffset, limit: usize) -> PeerResult<LogPage>;
}
