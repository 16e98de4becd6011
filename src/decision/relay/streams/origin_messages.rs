//! What nodes tell each other of the origins of streams.

use crate::types::{RequestId, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the request id of the attempt that brought the first event of a stream.
pub type StreamKey = u64;

/// Returns the key of the stream whose first event the attempt `request` brought.
pub fn stream_key(request: &RequestId) -> StreamKey {
    xxh3_64(request.as_bytes())
}

/// Begin of the name that stands for the software version of a stream whose server is not certain.
const UNPROVEN_PREFIX: &str = "unproven-";

/// Returns what stands for the software version of the stream that `request` began, if it is not certain.
pub fn unproven_software(request: &RequestId) -> SoftwareVersion {
    format_smolstr!("{UNPROVEN_PREFIX}{request}")
}

/// Whether `software` may stand for a version that is not certain.
pub(super) fn may_be_unproven(software: &SoftwareVersion) -> bool {
    software.starts_with(UNPROVEN_PREFIX)
}

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Service of the server.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Software version of the server.
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
}

/// Record of the origin of a stream, sent to its owners.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OriginRecord {
    /// Stream.
    #[serde(rename = "k")]
    pub stream: StreamKey,
    /// Origin.
    #[serde(rename = "o")]
    pub origin: StreamOrigin,
    /// Milliseconds for which it may be resumed.
    #[serde(rename = "r")]
    pub remaining_ms: u64,
}

/// What a node knows of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KnownOrigin {
    /// Nothing.
    Unknown,
    /// Two streams of different origins have the same id.
    Ambiguous,
    /// Its origin.
    Origin(StreamOrigin),
}

/// Answer of a node that was asked for a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OriginAnswer {
    /// What it knows of the stream.
    #[serde(rename = "o")]
    pub known: KnownOrigin,
    /// Versions whose servers the node has seen within
    /// [`MAX_STREAM_LIFETIME`](super::origins::MAX_STREAM_LIFETIME); some of them if there are
    /// many. They show that a service has several versions, never that it has one.
    #[serde(rename = "v")]
    pub versions: Vec<SoftwareVersion>,
}

impl OriginRecord {
    /// Returns the record of a stream that may be resumed until `expires_at`.
    pub fn new(stream: StreamKey, origin: StreamOrigin, expires_at: Instant, now: Instant) -> Self {
        let remaining = expires_at.saturating_duration_since(now).as_millis();
        Self { stream, origin, remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX) }
    }
}
