//! Cuts the prompt of a request into levels, each with the key of the prefix that ends there.

use super::messages::PrefixLevel;
use crate::types::{ModelId, WeightsVersion, WorkspaceId};
use serde_json::Value;
use std::borrow::Cow;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Prompt bytes estimated as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Bytes per level of text without message boundaries.
const CUT_INTERVAL_BYTES: usize = 2_048;
/// Maximum number of levels; the last one ends with the prompt.
const MAX_LEVELS: usize = 32;
/// Minimum bytes of a chat message that can be the anchor of a request.
const MIN_ANCHOR_BYTES: usize = 512;

/// Isolation scope of prefix keys: equal prompts in different scopes have different keys.
#[derive(Clone, Copy, Debug)]
pub struct PrefixScope<'a> {
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Requested model.
    pub model: &'a ModelId,
    /// Version of the model's weights.
    pub weights_version: &'a WeightsVersion,
}

impl PrefixScope<'_> {
    /// Returns the seed of the outermost key; hashes the length of each part, so that no two scopes
    /// concatenate to the same bytes.
    fn seed(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for part in [self.workspace, self.model, self.weights_version] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.digest()
    }
}

/// Returns the levels of the prompt in `body`, a chat or completion request, outermost first.
///
/// Each chat message ends a level. A completion prompt and a long last message are cut at fixed
/// byte boundaries. The last level ends with the prompt.
pub fn prompt_levels(scope: PrefixScope<'_>, body: &Value) -> Vec<PrefixLevel> {
    let mut chain = KeyChain::new(scope.seed());
    match body.get("messages").and_then(Value::as_array) {
        Some(messages) => push_messages(&mut chain, messages),
        None => {
            let prompt = body.get("prompt").map_or(Cow::Borrowed(""), text_of);
            chain.push_cut(prompt.as_bytes());
        }
    }
    chain.into_levels()
}

fn push_messages(chain: &mut KeyChain, messages: &[Value]) {
    for (index, message) in messages.iter().enumerate() {
        let role = message.get("role").map_or(Cow::Borrowed(""), text_of);
        let content = message.get("content").map_or(Cow::Borrowed(""), text_of);
        let segment = format!("{role}\n{content}");
        let is_last = index + 1 == messages.len();
        if is_last && segment.len() > 2 * CUT_INTERVAL_BYTES {
            chain.push_cut(segment.as_bytes());
        } else if !is_last && chain.levels.len() + 2 > MAX_LEVELS {
            chain.extend(segment.as_bytes());
        } else {
            chain.push(segment.as_bytes(), CutKind::Message);
        }
    }
}

/// Returns the text of a prompt or message content; concatenates the parts of a list.
fn text_of(value: &Value) -> Cow<'_, str> {
    match value {
        Value::String(text) => Cow::Borrowed(text),
        Value::Array(parts) => parts.iter().map(|part| part.get("text").unwrap_or(part)).fold(
            Cow::Borrowed(""),
            |mut joined, part| {
                joined.to_mut().push_str(&text_of(part));
                joined
            },
        ),
        Value::Null => Cow::Borrowed(""),
        other => Cow::Owned(other.to_string()),
    }
}

/// Kind of boundary at the end of a level.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CutKind {
    /// End of a chat message.
    Message,
    /// Fixed byte boundary, or the end of text cut at such boundaries.
    Boundary,
}

/// Builder of levels; each key hashes the text of its level, seeded with the key before it.
struct KeyChain {
    /// Key of all text appended so far.
    key: u64,
    /// Bytes appended so far.
    bytes: usize,
    levels: Vec<PrefixLevel>,
    /// Kind of boundary at the end of each level.
    kinds: Vec<CutKind>,
}

impl KeyChain {
    fn new(seed: u64) -> Self {
        Self { key: seed, bytes: 0, levels: Vec::new(), kinds: Vec::new() }
    }

    /// Appends text without ending a level.
    fn extend(&mut self, segment: &[u8]) {
        self.key = xxh3_64_with_seed(segment, self.key);
        self.bytes += segment.len();
    }

    /// Appends text and ends a level.
    fn push(&mut self, segment: &[u8], kind: CutKind) {
        self.extend(segment);
        self.levels.push(PrefixLevel {
            key: self.key,
            bytes: u32::try_from(self.bytes).unwrap_or(u32::MAX),
            tokens: u32::try_from(self.bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
            is_anchor: false,
        });
        self.kinds.push(kind);
    }

    /// Appends text cut into levels at fixed byte boundaries.
    fn push_cut(&mut self, mut text: &[u8]) {
        while text.len() > CUT_INTERVAL_BYTES && self.levels.len() + 1 < MAX_LEVELS {
            let (segment, rest) = text.split_at(CUT_INTERVAL_BYTES);
            self.push(segment, CutKind::Boundary);
            text = rest;
        }
        self.push(text, CutKind::Boundary);
    }

    fn into_levels(mut self) -> Vec<PrefixLevel> {
        let anchor = self.anchor_index();
        if let Some(level) = self.levels.get_mut(anchor) {
            level.is_anchor = true;
        }
        self.levels
    }

    /// Returns the index of the anchor. It depends only on the prompt, so that all nodes agree.
    ///
    /// The anchor is the innermost message before the last with at least [`MIN_ANCHOR_BYTES`], so
    /// that the short turns of a conversation go to the homes of the document they are about.
    /// Without such a message it ends the largest power of two of levels within the first three
    /// quarters, so that the question at the end is seldom part of the anchor.
    fn anchor_index(&self) -> usize {
        let last = self.levels.len().saturating_sub(1);
        let by_message = (0..last).rev().find(|&index| {
            let start_bytes = index.checked_sub(1).map_or(0, |outer| self.levels[outer].bytes);
            let added_bytes = self.levels[index].bytes - start_bytes;
            self.kinds[index] == CutKind::Message && added_bytes as usize >= MIN_ANCHOR_BYTES
        });
        by_message.unwrap_or_else(|| {
            let usable = self.levels.len() * 3 / 4;
            if usable == 0 { 0 } else { (1 << usable.ilog2()) - 1 }
        })
    }
}
