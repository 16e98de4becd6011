//! Prompt text, its token count and the hash chain of its cache blocks.

use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes that count as one token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens per cache block.
pub const BLOCK_TOKENS: u32 = 16;
/// Bytes per cache block.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS as usize;

/// Returns the number of tokens in a prompt of `bytes` bytes.
pub fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Returns the hashes of the whole blocks of `prompt`.
///
/// Each hash covers the prompt up to the end of its block, the model, the weights and the salt.
pub fn block_hashes(model: &str, weights_version: &str, salt: &str, prompt: &str) -> Vec<u64> {
    let seed = xxh3_64_with_seed(weights_version.as_bytes(), xxh3_64(model.as_bytes()));
    let mut prefix_hash = xxh3_64_with_seed(salt.as_bytes(), seed);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            prefix_hash = xxh3_64_with_seed(block, prefix_hash);
            prefix_hash
        })
        .collect()
}

/// Returns the prompt of a request body: its `prompt`, or its messages, each preceded by its role.
pub fn from_body(body: &Value) -> Option<String> {
    if let Some(prompt) = body.get("prompt") {
        return prompt.as_str().map(str::to_owned);
    }
    let mut prompt = String::new();
    for message in body.get("messages")?.as_array()? {
        prompt.push_str(message.get("role")?.as_str()?);
        prompt.push('\n');
        prompt.push_str(message.get("content")?.as_str()?);
    }
    Some(prompt)
}
