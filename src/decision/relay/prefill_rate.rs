//! Rate at which the engines of a service prefill prompts, learned from when they begin to answer.

/// Tokens per millisecond before the first answer: 4,096 in a step of 50 ms, by the data sheets of
/// the supported engines. A faster engine is not learned, since a prompt whose prefix turns out to be
/// cached looks the same.
const INITIAL_TOKENS_PER_MS: f64 = 80.0;

/// Lowest rate that is learned, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 20.0;

/// Prefill work below which an answer says little about the rate: cached prefixes and decode steps
/// take as long.
const MIN_SAMPLE_TOKENS: f64 = 16_000.0;

/// Milliseconds of an answer besides its prefill: transit both ways and a decode step.
const ANSWER_OVERHEAD_MS: f64 = 12.0;

/// Largest factor by which one answer may be off; a stalled server says nothing about the others.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// Share of one answer in the rate.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Share by which a rate must change to be reported again.
const REPORTED_CHANGE: f64 = 0.1;

/// Prefill rate of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    tokens_per_ms: f64,
    reported_tokens_per_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_ms: INITIAL_TOKENS_PER_MS, reported_tokens_per_ms: INITIAL_TOKENS_PER_MS }
    }
}

impl PrefillRate {
    /// Returns the rate in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Adds an answer that began after `answer_ms`, once its server had prefilled `tokens` of this
    /// and earlier prompts. Returns the rate if it has changed much since it was last returned.
    pub fn add_answer(&mut self, tokens: f64, answer_ms: f64) -> Option<f64> {
        if tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let prefill_ms = (answer_ms - ANSWER_OVERHEAD_MS).max(1.0);
        let factor = tokens / prefill_ms / self.tokens_per_ms;
        let factor = factor.clamp(1.0 / MAX_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR);
        let rate = self.tokens_per_ms * factor.powf(SAMPLE_WEIGHT);
        self.tokens_per_ms = rate.clamp(MIN_TOKENS_PER_MS, INITIAL_TOKENS_PER_MS);
        let change = (self.tokens_per_ms / self.reported_tokens_per_ms - 1.0).abs();
        if change < REPORTED_CHANGE {
            return None;
        }
        self.reported_tokens_per_ms = self.tokens_per_ms;
        Some(self.tokens_per_ms)
    }
}
