//! Answers that are deterministic functions of the request, so that a checker can compute them.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens generated when a request names no limit.
pub const DEFAULT_COMPLETION_TOKENS: u32 = 16;

const SYLLABLES: [&str; 16] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "ve",
];

/// Returns the piece of text in frame `number` of the answer to `prompt` by `model`.
pub fn frame_text(model: &str, prompt: &str, number: u64) -> String {
    let answer = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()));
    word(answer, number)
}

/// Returns the whole answer, cut into its pieces.
pub fn frame_texts(model: &str, prompt: &str, tokens: u32, tokens_per_frame: u32) -> Vec<String> {
    let answer = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()));
    (0..frames(tokens, tokens_per_frame)).map(|number| word(answer, number)).collect()
}

/// Returns the number of frames that hold `tokens` tokens.
pub fn frames(tokens: u32, tokens_per_frame: u32) -> u64 {
    u64::from(tokens.div_ceil(tokens_per_frame.max(1)))
}

fn word(answer: u64, number: u64) -> String {
    let draw = xxh3_64_with_seed(&number.to_le_bytes(), answer);
    let syllables = draw.to_le_bytes().map(|byte| SYLLABLES[usize::from(byte % 16)]);
    format!("{}{}{}{} ", syllables[0], syllables[1], syllables[2], syllables[3])
}
