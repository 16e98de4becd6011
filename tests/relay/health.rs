//! Servers that are out of reach, silent, slow, or fail.

use super::fixture::ms;
use coriandertide::decision::relay::health::Health;
use std::time::Instant;

#[test]
fn suspensions_grow_and_end_with_a_success() {
    let now = Instant::now();
    let mut health = Health::default();
    assert_eq!(health.note_unreachable(now), now + ms(300));
    assert_eq!(health.note_unreachable(now + ms(100)), now + ms(300));
    assert_eq!(health.note_unreachable(now + ms(300)), now + ms(900));
    assert_eq!(health.suspended_until(now + ms(800)), Some(now + ms(900)));
    health.note_outcome(true, 0.0, now + ms(850));
    assert_eq!(health.suspended_until(now + ms(860)), None);
    assert_eq!(health.note_unreachable(now + ms(900)), now + ms(1_200));
}

#[test]
fn a_dark_server_is_noticed_by_its_silence_within_a_second() {
    let now = Instant::now();
    let mut health = Health::default();
    health.note_sent(1, now);
    health.note_heard(now + ms(200));
    assert!(!health.is_silent(now + ms(600)));
    assert!(health.is_silent(now + ms(1_000)));
    assert!(health.suspended_until(now + ms(1_000)).is_some());
    health.note_ended(1);
    assert!(!health.is_silent(now + ms(5_000)));
}

#[test]
fn a_server_with_long_queues_is_not_silent_while_others_are_answered() {
    let now = Instant::now();
    let mut health = Health::default();
    health.note_sent(1, now);
    for step in 1..30 {
        health.note_heard(now + ms(step * 100));
    }
    assert!(!health.is_silent(now + ms(3_000)));
}

#[test]
fn failures_and_slowness_cost_and_fade() {
    let now = Instant::now();
    let mut health = Health::default();
    (0..10).for_each(|_| health.note_outcome(false, 0.0, now));
    let failing = health.cost_ms(now);
    assert!(failing > 400.0, "{failing}");
    assert!(health.cost_ms(now + ms(20_000)) < failing / 50.0);
    let mut slow = Health::default();
    (0..10).for_each(|_| slow.note_outcome(true, 800.0, now));
    assert!(slow.cost_ms(now) > 400.0);
    let mut usual = Health::default();
    (0..10).for_each(|_| usual.note_outcome(true, 40.0, now));
    assert_eq!(usual.cost_ms(now), 0.0);
}
