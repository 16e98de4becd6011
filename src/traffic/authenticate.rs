//! Authentication of callers by bearer key.

use super::{Failure, FailureCode};
use crate::control::Snapshot;
pub use crate::document::hash_key;
use crate::types::WorkspaceId;
use http::HeaderMap;

/// Returns the workspace that owns the bearer key in `headers`.
pub fn authenticate(headers: &HeaderMap, snapshot: &Snapshot) -> Result<WorkspaceId, Failure> {
    let invalid_key =
        || Failure::not_run(FailureCode::InvalidApiKey, "the bearer key is missing or not known");
    let key = bearer_key(headers).ok_or_else(invalid_key)?;
    snapshot.api_keys.workspace(&hash_key(key)).cloned().ok_or_else(invalid_key)
}

/// Returns the bearer key in `headers`.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
