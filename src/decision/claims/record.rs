//! Records of the log stream `claims`.

use crate::types::{IdempotencyKey, ServiceId, WorkspaceId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Version of the record format that this build writes, and the highest that it reads.
pub const RECORD_VERSION: u32 = 1;

/// Marker that tells the system's records from foreign ones.
const RECORD_MARKER: &str = "cot-claims";

/// Bytes of a SHA-256 that a key hash keeps.
const KEY_HASH_BYTES: usize = 16;

/// Hash of an idempotency key within its workspace and service.
pub type KeyHash = u128;

/// Hash of a call's method, path and body; tells a repeated call from a reused key.
pub type Fingerprint = u64;

/// Id of a claim: unique over all runs of all nodes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ClaimId {
    /// Hash of the instance id of the node's run.
    #[serde(rename = "r")]
    pub instance_hash: u64,
    /// Number of the claim within the run.
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
    /// A node claims a key; the first claim on a free key owns it.
    #[serde(rename = "c")]
    Claim {
        /// Claim.
        #[serde(rename = "i")]
        claim: ClaimId,
        /// Claimed key.
        #[serde(rename = "k")]
        key: KeyHash,
        /// Fingerprint of the call.
        #[serde(rename = "f")]
        fingerprint: Fingerprint,
    },
    /// The owner states that its claim was not run and never will be.
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

/// What the payload of a record turned out to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedRecord {
    /// Batch of entries.
    Batch(Vec<ClaimEntry>),
    /// Record of a newer build, which may hold claims that this build cannot read.
    Newer,
    /// Not a record of the system.
    Foreign,
}

#[derive(Deserialize, Serialize)]
struct RecordHead {
    marker: String,
    version: u32,
}

/// Returns the payload of a record that holds `entries`.
pub fn encode_record(entries: &[ClaimEntry]) -> Bytes {
    let head = RecordHead { marker: RECORD_MARKER.to_owned(), version: RECORD_VERSION };
    let mut payload = Vec::new();
    ciborium::into_writer(&head, &mut payload).expect("a Vec takes every write");
    ciborium::into_writer(entries, &mut payload).expect("a Vec takes every write");
    payload.into()
}

/// Reads the payload of a record.
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
    for part in [workspace.as_str(), service.as_str(), key.as_str()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    let digest = hasher.finalize();
    let mut hash = [0; KEY_HASH_BYTES];
    hash.copy_from_slice(&digest[..KEY_HASH_BYTES]);
    KeyHash::from_be_bytes(hash)
}
