//! Finds the workspace of a caller by its bearer key.

use super::{Failure, FailureCode};
use crate::control::Snapshot;
use crate::types::WorkspaceId;
use http::HeaderMap;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Returns the workspace whose key `headers` carry.
pub fn authenticate(headers: &HeaderMap, snapshot: &Snapshot) -> Result<WorkspaceId, Failure> {
    let refused =
        || Failure::not_run(FailureCode::InvalidApiKey, "the bearer key is missing or not known");
    let key = bearer_key(headers).ok_or_else(refused)?;
    snapshot.keys.workspace(&hash_key(key)).cloned().ok_or_else(refused)
}

/// Returns the SHA-256 of a bearer key in lower-case hexadecimal.
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let mut hash = String::with_capacity(digest.len() * 2);
    for byte in digest {
        write!(hash, "{byte:02x}").expect("writing to a string succeeds");
    }
    hash
}

/// Returns the bearer key that `headers` carry.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
