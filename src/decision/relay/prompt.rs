//! Prompt of a request: its parts as the caller declares them, and the keys of its shared prefixes.

use crate::decision::poison::SuspectKey;
use crate::types::ModelId;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum output limit of a decode-heavy request.
const MIN_DECODE_HEAVY_OUTPUT_TOKENS: u32 = 100;

/// Maximum prompt tokens per output token of a decode-heavy request: an engine prefills some
/// hundred tokens in the time of one decode step.
const MAX_DECODE_HEAVY_PROMPT_RATIO: u32 = 10;

/// Divisor of the output limit that gives the expected output if the caller declares no estimate.
const DEFAULT_OUTPUT_DIVISOR: u32 = 3;

/// Part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id; parts with the same id have the same text.
    pub id: SmolStr,
    /// Tokens of the part.
    pub tokens: u32,
}

/// Prompt of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Requested model.
    pub model: ModelId,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Maximum output tokens.
    pub max_output_tokens: u32,
    /// Output tokens that the caller expects, `None` without an estimate.
    pub output_estimate_tokens: Option<u32>,
    /// Parts in order; all but the last may be shared with other requests.
    pub parts: Vec<PromptPart>,
}

/// Minimum tokens of a shared prefix that is stored; shorter ones are faster to recompute.
pub(super) const MIN_STORED_TOKENS: u32 = 1_000;

/// Hash of the parts of a prompt up to and including one of them.
pub type PrefixKey = u64;

impl Prompt {
    /// Returns the key of each shared prefix, shortest first, with `salt` mixed in.
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

    /// Returns a key of each shared part that tells it from other parts of prompts for the model.
    pub fn shared_part_keys(&self) -> Vec<SuspectKey> {
        let model = xxh3_64_with_seed(self.model.as_bytes(), 0);
        let shared = self.shared_parts().iter();
        shared.map(|part| xxh3_64_with_seed(part.id.as_bytes(), model)).collect()
    }

    /// Returns the ids of the shared parts, separated by commas.
    pub fn shared_part_ids(&self) -> String {
        let ids: Vec<&str> = self.shared_parts().iter().map(|part| part.id.as_str()).collect();
        ids.join(",")
    }

    /// Returns the tokens of all shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Whether the shared parts are so long that fetching them is faster than recomputing them.
    pub fn is_worth_storing(&self) -> bool {
        self.shared_tokens() >= MIN_STORED_TOKENS
    }

    /// Returns the tokens that belong to this request alone.
    pub fn unshared_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// Returns the tokens of each shared part.
    pub fn shared_part_tokens(&self) -> impl Iterator<Item = u32> {
        self.shared_parts().iter().map(|part| part.tokens)
    }

    /// Returns the key of the part that belongs to this request alone, 0 without parts.
    pub fn unshared_key(&self) -> PrefixKey {
        self.parts.last().map_or(0, |part| xxh3_64_with_seed(part.id.as_bytes(), 0))
    }

    /// Returns the number of tokens that will probably be generated.
    pub fn expected_output_tokens(&self) -> u32 {
        let default_tokens = self.max_output_tokens / DEFAULT_OUTPUT_DIVISOR;
        self.output_estimate_tokens.unwrap_or(default_tokens).min(self.max_output_tokens)
    }

    /// Whether the request takes more time to decode than to prefill.
    pub fn is_decode_heavy(&self) -> bool {
        self.max_output_tokens >= MIN_DECODE_HEAVY_OUTPUT_TOKENS
            && self.prompt_tokens
                < self.max_output_tokens.saturating_mul(MAX_DECODE_HEAVY_PROMPT_RATIO)
    }

    fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_unshared, shared)| shared)
    }
}
