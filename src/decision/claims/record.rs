//! Records of the log stream `claims`, in CBOR.

use crate::types::{IdempotencyKey, ServiceId, WorkspaceId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Record format that this build writes, and the highest that it reads.
pub const RECORD_VERSION: u32 = 1;

/// Marker at the start of each record; a payload without it is ignored.
const RECORD_MARKER: &str = "cot-claims";

/// Length of a key hash, a truncated SHA-256.
const KEY_HASH_BYTES: usize = 16;

/// Hash of an idempotency key within its workspace and service.
pub type KeyHash = u128;

/// Hash of a call's method, path and body; distinguishes a retry from a key reused for
/// another call.
pub type Fingerprint = u64;

/// Id of a claim, unique over all instances.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ClaimId {
    /// Hash of the node's instance id.
    #[serde(rename = "r")]
    pub instance_hash: u64,
    /// Number of the claim within the instance.
    #[serde(rename = "s")]
    pub sequence: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.instance_hash, self.sequence)
    }
}

/// Entry of a claim batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimEntry {
    /// Claims a key; the first claim on a free key owns it.
    #[serde(rename = "c")]
    Claim {
        /// Id of the claim.
        #[serde(rename = "i")]
        claim: ClaimId,
        /// Claimed key.
        #[serde(rename = "k")]
        key: KeyHash,
        /// Fingerprint of the call.
        #[serde(rename = "f")]
        fingerprint: Fingerprint,
    },
    /// Frees a key: the call of the owning claim was not run and never will be.
    #[serde(rename = "r")]
    Release {
        /// Released claim.
        #[serde(rename = "i")]
        claim: ClaimId,
        /// Key that becomes free.
        #[serde(rename = "k")]
        key: KeyHash,
    },
}

/// Decoded payload of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedRecord {
    /// Entries of a claim batch.
    Batch(Vec<ClaimEntry>),
    /// Record of a newer build, which may contain claims that this build cannot read.
    Newer,
    /// Payload without the marker or with unreadable content.
    Foreign,
}

#[derive(Deserialize, Serialize)]
struct RecordHead {
    marker: String,
    version: u32,
}

/// Encodes `entries` as the payload of a record.
pub fn encode_record(entries: &[ClaimEntry]) -> Bytes {
    let head = RecordHead { marker: RECORD_MARKER.to_owned(), version: RECORD_VERSION };
    let mut payload = Vec::new();
    ciborium::into_writer(&head, &mut payload).expect("writing to a Vec cannot fail");
    ciborium::into_writer(entries, &mut payload).expect("writing to a Vec cannot fail");
    payload.into()
}

/// Decodes the payload of a record.
pub fn decode_record(mut payload: &[u8]) -> DecodedRecord {
    let Ok(head) = ciborium::from_reader::<RecordHead, _>(&mut payload) else {
        return DecodedRecord::Foreign;
    };
    if head.marker != RECORD_MARKER {
        return DecodedRecord::Foreign;
    }
    if head.version > RECORD_VERSION {
        return DecodedRecord::Newer;
    }
    ciborium::from_reader(payload).map_or(DecodedRecord::Foreign, DecodedRecord::Batch)
}

/// Returns the hash under which `key` is claimed.
pub fn hash_key(workspace: &WorkspaceId, service: &ServiceId, key: &IdempotencyKey) -> KeyHash {
    let mut hasher = Sha256::new();
    for field in [workspace.as_str(), service.as_str(), key.as_str()] {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field.as_bytes());
    }
    let digest = hasher.finalize();
    let mut hash = [0; KEY_HASH_BYTES];
    hash.copy_from_slice(&digest[..KEY_HASH_BYTES]);
    KeyHash::from_be_bytes(hash)
}
