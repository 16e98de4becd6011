//! Cuts the prompt of a request into levels and names each by a key.

use super::messages::PrefixLevel;
use crate::types::{ModelId, WeightsVersion, WorkspaceId};
use serde_json::Value;
use std::borrow::Cow;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Bytes of prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Bytes between the levels of text that has no messages to cut at.
const CUT_INTERVAL_BYTES: usize = 2_048;
/// Levels of one prompt at most; the last reaches to the end of the prompt.
const MAX_LEVELS: usize = 32;
/// Least bytes that a chat message adds to be the anchor of a request.
const MIN_ANCHOR_BYTES: usize = 512;

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

impl PrefixScope<'_> {
    /// Returns the seed of the outermost key; parts are separated so that none runs into the next.
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
/// Each chat message ends a level; a completion prompt and an oversize last message are cut at
/// fixed byte boundaries. The last level ends with the prompt.
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

/// Returns the text of a prompt or message content; parts of a list are joined.
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

/// How the end of a level was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CutKind {
    /// End of a chat message.
    Message,
    /// Fixed byte boundary, or the end of text that is cut at them.
    Boundary,
}

/// Chain of keys under construction.
struct KeyChain {
    key: u64,
    bytes: usize,
    levels: Vec<PrefixLevel>,
    kinds: Vec<CutKind>,
}

impl KeyChain {
    fn new(seed: u64) -> Self {
        Self { key: seed, bytes: 0, levels: Vec::new(), kinds: Vec::new() }
    }

    /// Adds text to the prompt without ending a level.
    fn extend(&mut self, segment: &[u8]) {
        self.key = xxh3_64_with_seed(segment, self.key);
        self.bytes += segment.len();
    }

    /// Adds text to the prompt and ends a level.
    fn push(&mut self, segment: &[u8], kind: CutKind) {
        self.extend(segment);
        self.levels.push(PrefixLevel {
            key: self.key,
            bytes: u32::try_from(self.bytes).unwrap_or(u32::MAX),
            tokens: u32::try_from(self.bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
            anchor: false,
        });
        self.kinds.push(kind);
    }

    /// Adds text cut at fixed byte boundaries.
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
            level.anchor = true;
        }
        self.levels
    }

    /// Returns the index of the anchor, which depends on the prompt alone so that all nodes agree.
    ///
    /// It is the innermost message before the last that adds enough to be worth a home: short
    /// turns of a conversation stay with the document they are about. Text without messages takes
    /// the highest power of two of boundaries within three quarters of the levels, so that the
    /// question at its end seldom reaches into the anchor.
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
