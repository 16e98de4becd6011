//! Servers that announce that they are leaving, and servers that ask a node for a pause.

use super::fixture::*;
use coriandertide::decision::leaving::LeavingNotice;
use coriandertide::decision::relay::pause::Pause;
use coriandertide::decision::relay::{Fleet, ServerQuery, ServerState, UnavailableReason};
use smol_str::SmolStr;
use std::time::Instant;

fn announce_leaving(fleet: &mut Fleet, server: &str, incarnation: u64) -> bool {
    fleet.departures.add(&LeavingNotice { server: server.into(), incarnation })
}

/// Returns the server of a plain call and the time from which the service is available if it has
/// none.
fn chosen(fleet: &Fleet, now: Instant) -> Result<SmolStr, (UnavailableReason, Instant)> {
    let choice = fleet.choose(plain_query(), now);
    choice.map(|choice| choice.server).map_err(|error| (error.reason, error.retry_at))
}

#[test]
fn a_server_that_announced_its_leaving_gets_nothing_whatever_the_list_says() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1);
    assert_eq!(chosen(&fleet, now), Ok("s0".into()));
    assert!(announce_leaving(&mut fleet, "s0", 1));
    assert!(!announce_leaving(&mut fleet, "s0", 1));
    let is_out = |fleet: &Fleet| {
        chosen(fleet, now).is_err_and(|(reason, _)| reason == UnavailableReason::NoServer)
    };
    assert!(is_out(&fleet));
    fleet.set_entry(entry(0, 2));
    assert!(is_out(&fleet), "the list still says that it is ready");
    fleet.remove_entry(&"s0".into(), now);
    fleet.remove_expired(now + ms(10_000));
    fleet.set_entry(entry(0, 1));
    assert!(is_out(&fleet), "its entry came back after an outage of the list");
}

#[test]
fn a_draining_entry_is_not_taken_back_by_an_older_one() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    let mut draining = entry(0, 1);
    draining.state = ServerState::Draining;
    fleet.set_entry(draining);
    fleet.remove_entry(&"s0".into(), now);
    fleet.set_entry(entry(0, 1));
    assert_eq!(chosen(&fleet, now), Ok("s1".into()));
}

/// Guards against streams that leave a server which restarted while a rollout had it closed.
#[test]
fn a_new_incarnation_is_open_and_keeps_its_streams() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1);
    fleet.server_mut(&"s0".into()).unwrap().close_until(now + ms(1_000), true);
    let mut restarted = entry(0, 1);
    restarted.started_unix_ms = Some(2);
    fleet.set_entry(restarted);
    let server = fleet.server(&"s0".into()).unwrap();
    assert!(!server.is_evicted(now));
    assert_eq!(server.closed_until(now), None);
}

#[test]
fn a_new_incarnation_at_the_same_id_is_another_server() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1);
    announce_leaving(&mut fleet, "s0", 1);
    let mut restarted = entry(0, 1);
    restarted.started_unix_ms = Some(2);
    fleet.set_entry(restarted);
    assert_eq!(chosen(&fleet, now), Ok("s0".into()));
    assert!(!announce_leaving(&mut fleet, "s0", 1), "a late notice of the earlier incarnation");
    assert_eq!(chosen(&fleet, now), Ok("s0".into()));
}

#[test]
fn prompts_are_not_fetched_from_a_leaving_server() {
    let now = Instant::now();
    let mut fleet = fleet(3, 1);
    let prompt = long_prompt(1, 1);
    let home = choose(&fleet, &prompt, now);
    let keys = home.prompt.as_ref().unwrap().keys.clone();
    fleet.prefixes.add_cached(&keys, &home.server, true, now);
    announce_leaving(&mut fleet, &home.server, 1);
    let other = choose(&fleet, &prompt, now);
    assert_ne!(other.server, home.server);
    assert_ne!(other.prompt.unwrap().fetch_from, Some(home.address));
}

#[test]
fn the_oldest_departures_are_forgotten_first() {
    let mut fleet = fleet(0, 1);
    for index in 0..10_000 {
        announce_leaving(&mut fleet, &format!("s{index}"), 1);
    }
    assert!(fleet.departures.notices().len() <= 4_096);
    assert!(fleet.departures.contains(&"s9999".into(), 1));
    assert!(!fleet.departures.contains(&"s0".into(), 1));
}

#[test]
fn a_server_that_asked_for_a_pause_gets_nothing_until_its_end() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    let until = now + ms(4_000);
    fleet.server_mut(&"s0".into()).unwrap().pause_until(until);
    for step in 0..40 {
        assert_eq!(chosen(&fleet, now + ms(step * 100)), Ok("s1".into()));
    }
    let without_s1 = ServerQuery { tried: &["s1".into()], ..plain_query() };
    assert!(fleet.choose(without_s1, now + ms(3_999)).is_err());
    assert_eq!(fleet.choose(without_s1, until).unwrap().server, "s0");
}

#[test]
fn neither_a_rollout_nor_a_shorter_pause_ends_a_pause() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1);
    let server = fleet.server_mut(&"s0".into()).unwrap();
    server.pause_until(now + ms(4_000));
    server.pause_until(now + ms(1_000));
    server.reopen();
    assert_eq!(chosen(&fleet, now), Err((UnavailableReason::Paused, now + ms(4_000))));
    let mut restarted = entry(0, 1);
    restarted.started_unix_ms = Some(2);
    fleet.set_entry(restarted);
    assert_eq!(chosen(&fleet, now), Ok("s0".into()));
}

/// All servers of a service ask for a pause: callers are told at once when the first is back.
#[test]
fn a_service_whose_servers_all_pause_refuses_with_the_first_end() {
    let now = Instant::now();
    let mut fleet = fleet(3, 1);
    for (server, pause_ms) in [("s0", 3_000), ("s1", 2_000), ("s2", 5_000)] {
        fleet.server_mut(&server.into()).unwrap().pause_until(now + ms(pause_ms));
    }
    assert_eq!(chosen(&fleet, now), Err((UnavailableReason::Paused, now + ms(2_000))));
    let prompt = long_prompt(1, 1);
    let error = fleet.choose(query(&prompt), now).unwrap_err();
    assert_eq!((error.reason, error.retry_at), (UnavailableReason::Paused, now + ms(2_000)));
}

/// A hundred nodes are turned away in the same moment and told the same time.
#[test]
fn the_ends_of_equal_pauses_are_spread_and_never_early() {
    let now = Instant::now();
    let delays: Vec<u64> = (0..100)
        .map(|node| Pause::new(4_000, f64::from(node) / 99.0).end(now).duration_since(now))
        .map(|delay| u64::try_from(delay.as_millis()).unwrap())
        .collect();
    assert_eq!(delays.iter().min(), Some(&4_000));
    assert_eq!(delays.iter().max(), Some(&4_600));
    let mut per_100_ms = [0; 7];
    delays.iter().for_each(|delay| per_100_ms[((delay - 4_000) / 100) as usize] += 1);
    assert!(per_100_ms.iter().all(|nodes| *nodes <= 20), "{per_100_ms:?}");
}

#[test]
fn zero_and_absurd_pauses_are_bounded() {
    let now = Instant::now();
    assert_eq!(Pause::new(0, 1.0).end(now), now);
    assert!(Pause::new(u64::MAX, 1.0).end(now) <= now + ms(69_000));
}
