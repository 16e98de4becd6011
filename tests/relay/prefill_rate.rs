//! Engines that prefill more slowly than assumed: the wait for a long prompt is underestimated until
//! their answers have taught the rate.

use super::fixture::*;
use coriandertide::decision::relay::PrefillRate;
use std::time::Instant;

/// Work of a long prompt behind another one, in tokens.
const LONG_TOKENS: f64 = 20_000.0;

fn rate_after(answers: usize, tokens: f64, tokens_per_ms: f64) -> f64 {
    let mut rate = PrefillRate::default();
    for _ in 0..answers {
        rate.add_answer(tokens, tokens / tokens_per_ms);
    }
    rate.tokens_per_ms()
}

#[test]
fn half_the_rate_is_learned_from_long_prompts_only() {
    let learned = rate_after(100, LONG_TOKENS, 40.0);
    assert!((36.0..44.0).contains(&learned), "{learned}");
    assert_eq!(rate_after(100, 1_000.0, 40.0), PrefillRate::default().tokens_per_ms());
}

/// Guards against taking prompts whose prefix was cached for a fast engine, and one stalled server
/// for a slow service.
#[test]
fn neither_cached_prefixes_nor_a_stalled_server_teach_a_rate() {
    let initial = PrefillRate::default().tokens_per_ms();
    assert_eq!(rate_after(100, LONG_TOKENS, 1_000.0), initial);
    assert!(rate_after(1, LONG_TOKENS, 1.0) > initial * 0.95);
}

#[test]
fn each_large_change_is_reported_once() {
    let mut rate = PrefillRate::default();
    let reported: Vec<i64> = (0..40)
        .filter_map(|_| rate.add_answer(LONG_TOKENS, LONG_TOKENS / 40.0))
        .map(|tokens_per_ms| tokens_per_ms.round() as i64)
        .collect();
    insta::assert_compact_debug_snapshot!(reported, @"[71, 62, 56, 50, 45]");
}

/// Long prompts at engines of half the assumed rate: their wait is expected as it is.
#[test]
fn the_expected_wait_follows_the_learned_rate() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    let prompt = long_prompt(1, 1);
    let before = choose(&fleet, &prompt, now);
    let mut answered = before.prompt.clone().unwrap();
    assert!((before.expected_ms - answered.tokens_before_answer / 80.0).abs() < 1.0);
    answered.tokens_before_answer = LONG_TOKENS;
    for _ in 0..100 {
        fleet.learn_prefill_rate(&SERVICE, &answered, LONG_TOKENS / 40.0 + 12.0);
    }
    let after = choose(&fleet, &prompt, now);
    assert!(after.expected_ms > before.expected_ms * 1.9, "{before:?} {after:?}");
}
