//! Cuts the prompt of a request into levels and names each by a key.

use super::messages::PrefixLevel;
use crate::types::{ModelId, WeightsVersion, WorkspaceId};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What the keys of a request are seeded with.
#[derive(Clone, Copy, Debug)]
pub struct PrefixScope<'a> {
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Model.
    pub model: &'a ModelId,
    /// Version of the model's weights.
    pub weights_version: &'a WeightsVersion,
}

/// Returns the levels of the prompt in `body`, outermost first.
pub fn prompt_levels(scope: PrefixScope<'_>, body: &Value) -> Vec<PrefixLevel> {
    let mut key = 0;
    for part in [scope.workspace, scope.model, scope.weights_version] {
        key = xxh3_64_with_seed(part.as_bytes(), key);
    }
    let mut bytes = 0;
    let segments = body["messages"].as_array().cloned().unwrap_or_default();
    let segments = segments.iter().map(|message| {
        format!(
            "{}\n{}",
            message["role"].as_str().unwrap_or_default(),
            message["content"].as_str().unwrap_or_default()
        )
    });
    let prompt = body["prompt"].as_str().map(String::from);
    segments
        .chain(prompt)
        .map(|segment| {
            key = xxh3_64_with_seed(segment.as_bytes(), key);
            bytes += u32::try_from(segment.len()).unwrap_or(u32::MAX);
            PrefixLevel { key, bytes, tokens: bytes.div_ceil(4) }
        })
        .collect()
}
