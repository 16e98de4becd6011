//! Generated text, a deterministic function of model and prompt so that tests can recompute it.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens generated for a request without a token limit.
pub const DEFAULT_COMPLETION_TOKENS: u32 = 16;

const SYLLABLES: [&str; 16] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "ve",
];

/// Returns the text of frame `number` of the answer of `model` to `prompt`.
pub fn frame_text(model: &str, prompt: &str, number: u64) -> String {
    let answer_hash = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()));
    frame_word(answer_hash, number)
}

/// Returns the texts of all frames of the answer.
pub fn frame_texts(model: &str, prompt: &str, tokens: u32, tokens_per_frame: u32) -> Vec<String> {
    let answer_hash = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()));
    (0..frame_count(tokens, tokens_per_frame))
        .map(|number| frame_word(answer_hash, number))
        .collect()
}

/// Returns the number of frames for `tokens` tokens.
pub fn frame_count(tokens: u32, tokens_per_frame: u32) -> u64 {
    u64::from(tokens.div_ceil(tokens_per_frame.max(1)))
}

fn frame_word(answer_hash: u64, number: u64) -> String {
    let hash = xxh3_64_with_seed(&number.to_le_bytes(), answer_hash);
    let syllables = hash.to_le_bytes().map(|byte| SYLLABLES[usize::from(byte % 16)]);
    format!("{}{}{}{} ", syllables[0], syllables[1], syllables[2], syllables[3])
}
