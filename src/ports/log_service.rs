//! Port of the platform's append-only log.

use crate::types::{LogOffset, PeerResult};
use async_trait::async_trait;
use bytes::Bytes;
use std::time::SystemTime;
use strum::{Display, EnumIter, IntoStaticStr};

/// Streams that the system keeps on the log; each has offsets of its own.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LogStream {
    /// Edits and snapshots of the configuration document.
    Configuration,
    /// Claims of idempotency keys.
    Claims,
    /// Leases, placement among them.
    Leases,
    /// Holds of power shares.
    Power,
}

/// Record on the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Offset within the stream.
    pub offset: LogOffset,
    /// Time of the append by the log's clock.
    pub appended_at: SystemTime,
    /// Payload as appended.
    pub payload: Bytes,
}

/// Page of records in offset order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPage {
    /// Lowest offset that the log still keeps.
    pub first_offset: LogOffset,
    /// Offset that the next append will get.
    pub next_offset: LogOffset,
    /// Records from the requested offset on, or from `first_offset` if that is higher.
    pub records: Vec<LogRecord>,
}

/// Platform's append-only log. An append whose answer is lost may have taken effect.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends `payload` and returns its offset.
    async fn append(&self, stream: LogStream, payload: Bytes) -> PeerResult<LogOffset>;

    /// Returns up to `limit` records from offset `from` on.
    async fn read(&self, stream: LogStream, from: LogOffset, limit: usize) -> PeerResult<LogPage>;
}
