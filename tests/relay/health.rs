//! Unreachable, silent, slow and failing servers.

use super::fixture::ms;
use coriandertide::decision::relay::health::{Health, ServerContact, SilenceChange};
use std::time::Instant;

#[test]
fn suspensions_grow_and_end_with_a_success() {
    let now = Instant::now();
    let mut health = Health::default();
    assert_eq!(health.record_unreachable(now), now + ms(300));
    assert_eq!(health.record_unreachable(now + ms(100)), now + ms(300));
    assert_eq!(health.record_unreachable(now + ms(300)), now + ms(900));
    assert_eq!(health.suspended_until(now + ms(800)), Some(now + ms(900)));
    health.record_outcome(true, 0.0, now + ms(850));
    assert_eq!(health.suspended_until(now + ms(860)), None);
    assert_eq!(health.record_unreachable(now + ms(900)), now + ms(1_200));
}

#[test]
fn unresponsive_servers_are_silent_within_a_second() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_sent(1, now);
    health.record_contact(now + ms(200));
    assert!(!health.is_silent(ServerContact::default(), now + ms(600)));
    assert!(health.is_silent(ServerContact::default(), now + ms(1_000)));
    health.clear_unanswered(1);
    assert!(!health.is_silent(ServerContact::default(), now + ms(5_000)));
}

#[test]
fn a_slow_request_is_not_silence_while_others_are_answered() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_sent(1, now);
    for step in 1..30 {
        health.record_contact(now + ms(step * 100));
    }
    assert!(!health.is_silent(ServerContact::default(), now + ms(3_000)));
}

#[test]
fn failure_and_slowness_costs_decay() {
    let now = Instant::now();
    let mut health = Health::default();
    (0..10).for_each(|_| health.record_outcome(false, 0.0, now));
    let failing = health.cost_ms(now);
    assert!(failing > 400.0, "{failing}");
    assert!(health.cost_ms(now + ms(20_000)) < failing / 50.0);
    let mut slow = Health::default();
    (0..10).for_each(|_| slow.record_outcome(true, 800.0, now));
    assert!(slow.cost_ms(now) > 400.0);
    let mut usual = Health::default();
    (0..10).for_each(|_| usual.record_outcome(true, 40.0, now));
    assert_eq!(usual.cost_ms(now), 0.0);
}

/// Many nodes with one or two requests each at a server that answers a tenth of them slowly.
#[test]
fn contact_with_other_nodes_delays_silence() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_sent(1, now);
    let last_contact_at = Some(now + ms(900));
    let others = ServerContact { last_contact_at, unanswered_since: Some(now) };
    assert!(!health.is_silent(others, now + ms(1_000)));
    // Answers reach other nodes, but not this one.
    let last_contact_at = Some(now + ms(1_900));
    let others = ServerContact { last_contact_at, unanswered_since: Some(now) };
    assert!(health.is_silent(others, now + ms(2_000)));
}

/// An unresponsive server that each of many nodes would otherwise have to detect with a request of
/// its own.
#[test]
fn silence_reported_by_partners_costs_until_the_next_contact() {
    let now = Instant::now();
    let mut health = Health::default();
    let last_contact_at = Some(now);
    let silent = ServerContact { last_contact_at, unanswered_since: Some(now + ms(100)) };
    assert!(health.is_silent(silent, now + ms(700)));
    assert_eq!(health.update_silence(silent, now + ms(700)), Some(SilenceChange::Silent));
    assert_eq!(health.update_silence(silent, now + ms(710)), None);
    let answered = ServerContact { last_contact_at, unanswered_since: None };
    health.update_silence(answered, now + ms(1_000));
    assert!(health.cost_ms(now + ms(1_000)) > 400.0);
    let recovered =
        ServerContact { last_contact_at: Some(now + ms(1_100)), unanswered_since: None };
    assert_eq!(health.update_silence(recovered, now + ms(1_200)), Some(SilenceChange::Contact));
    assert_eq!(health.cost_ms(now + ms(1_200)), 0.0);
}
