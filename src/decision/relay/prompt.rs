//! Prompt of a request: its parts as the caller declares them, and the keys of its shared levels.

use crate::types::ModelId;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Output tokens that a long run may generate at least.
const MIN_DECODE_HEAVY_OUTPUT_TOKENS: u32 = 100;

/// Prompt tokens for each output token below which generating takes most of the time: an engine
/// reads some hundred tokens in the time of one step.
const MAX_DECODE_HEAVY_PROMPT_RATIO: u32 = 10;

/// Part of the tokens that it may generate that a run generates if its caller gives no estimate.
const DEFAULT_OUTPUT_DIVISOR: u32 = 3;

/// Part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id; equal ids stand for equal text.
    pub id: SmolStr,
    /// Tokens.
    pub tokens: u32,
}

/// Prompt of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Model.
    pub model: ModelId,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens that may be generated.
    pub max_output_tokens: u32,
    /// Tokens that the caller expects to be generated.
    pub output_estimate_tokens: Option<u32>,
    /// Parts in order; the last belongs to the request alone.
    pub parts: Vec<PromptPart>,
}

/// Shared tokens from which a prefix is worth keeping in the store; shorter ones are read faster.
pub(super) const MIN_STORED_TOKENS: u32 = 1_000;

/// Hash of the parts of a prompt up to one of them.
pub type PrefixKey = u64;

impl Prompt {
    /// Returns the keys of the shared levels, each for all parts up to it, under `salt`.
    pub fn shared_keys(&self, salt: &str) -> Vec<PrefixKey> {
        let mut key = xxh3_64_with_seed(salt.as_bytes(), 0);
        let shared = self.shared_parts().iter();
        shared
            .map(|part| {
                key = xxh3_64_with_seed(part.id.as_bytes(), key);
                key
            })
            .collect()
    }

    /// Returns the tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Whether the shared parts are so long that transfers beat reading them again.
    pub fn is_worth_storing(&self) -> bool {
        self.shared_tokens() >= MIN_STORED_TOKENS
    }

    /// Returns the tokens that no other request has.
    pub fn unshared_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// Returns the tokens of each shared part.
    pub fn shared_part_tokens(&self) -> impl Iterator<Item = u32> {
        self.shared_parts().iter().map(|part| part.tokens)
    }

    /// Returns the key of the part that belongs to the request alone.
    pub fn unshared_key(&self) -> PrefixKey {
        self.parts.last().map_or(0, |part| xxh3_64_with_seed(part.id.as_bytes(), 0))
    }

    /// Returns the tokens that will probably be generated.
    pub fn expected_output_tokens(&self) -> u32 {
        let usual = self.max_output_tokens / DEFAULT_OUTPUT_DIVISOR;
        self.output_estimate_tokens.unwrap_or(usual).min(self.max_output_tokens)
    }

    /// Whether generating takes the most of the request's time, rather than reading the prompt.
    pub fn is_decode_heavy(&self) -> bool {
        self.max_output_tokens >= MIN_DECODE_HEAVY_OUTPUT_TOKENS
            && self.prompt_tokens
                < self.max_output_tokens.saturating_mul(MAX_DECODE_HEAVY_PROMPT_RATIO)
    }

    fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }
}
