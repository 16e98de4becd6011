//! Where requests go: homes that all nodes agree on, spill under load, walls, and outdated weights.

use super::fixture::*;
use coriandertide::decision::relay::server::{ServerLoad, ServerUpdate};
use coriandertide::decision::relay::{
    Fleet, ServerEntry, ServerQuery, ServerState, UnavailableReason,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

#[test]
fn nodes_in_all_zones_send_a_subject_to_one_home() {
    let now = Instant::now();
    for subject in 0..50 {
        let homes: Vec<_> = ZONES
            .iter()
            .map(|_| choose(&fleet(12, 1), &long_prompt(subject, 1), now).server)
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "subject {subject}: {homes:?}");
    }
}

#[test]
fn subjects_are_spread_over_all_servers_but_those_of_long_runs() {
    let now = Instant::now();
    let fleet = fleet(12, 1);
    let mut counts: BTreeMap<_, u32> = BTreeMap::new();
    for subject in 0..600 {
        *counts.entry(choose(&fleet, &long_prompt(subject, 1), now).server).or_default() += 1;
    }
    assert_eq!(counts.len(), 11);
    assert!(counts.values().all(|count| (25..110).contains(count)), "{counts:?}");
}

#[test]
fn long_runs_and_long_prompts_do_not_share_servers() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    // 46 runs of 290 tokens a second keep about four servers busy.
    fleet.decode_rate.set_partner_rate("other".into(), 46.0 * 290.0, now);
    let runs: Vec<_> =
        (0..100).map(|i| choose(&fleet, &decode_heavy_prompt(i, i), now).server).collect();
    let prompts: Vec<_> =
        (0..100).map(|i| choose(&fleet, &long_prompt(i, i), now).server).collect();
    assert!(runs.iter().all(|server| !prompts.contains(server)));
    let servers: std::collections::BTreeSet<_> = runs.iter().collect();
    assert!((2..=6).contains(&servers.len()), "{servers:?}");
}

#[test]
fn a_hot_subject_spills_to_the_next_home_which_fetches_from_the_first() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(7, 1);
    let home = choose(&fleet, &prompt, now);
    let keys = &home.prompt.as_ref().unwrap().keys;
    fleet.prefixes.add_cached(keys, &home.server, true, now);
    load(&mut fleet, &home.server, 20_000, now);
    let spill = choose(&fleet, &prompt, now);
    assert_ne!(spill.server, home.server);
    let spill = spill.prompt.unwrap();
    assert_eq!(spill.fetch_from, Some(home.address));
}

#[test]
fn a_short_queue_at_the_home_costs_less_than_reading_again_elsewhere() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(7, 1);
    let home = choose(&fleet, &prompt, now);
    fleet.prefixes.add_cached(&home.prompt.as_ref().unwrap().keys, &home.server, true, now);
    load(&mut fleet, &home.server, 2_000, now);
    assert_eq!(choose(&fleet, &prompt, now).server, home.server);
}

#[test]
fn before_the_store_has_a_preamble_one_server_reads_it_for_all() {
    let now = Instant::now();
    let fleet = with_store(fleet(12, 1), now);
    let servers: std::collections::BTreeSet<_> =
        (0..50).map(|subject| choose(&fleet, &long_prompt(subject, 1), now).server).collect();
    assert_eq!(servers.len(), 1);
}

#[test]
fn what_the_store_has_is_fetched_as_far_as_its_link_allows() {
    let now = Instant::now();
    let mut fleet = with_store(fleet(12, 1), now);
    let prompt = long_prompt(7, 1);
    let first = choose(&fleet, &prompt, now).prompt.unwrap();
    assert!(first.save_to.is_some());
    fleet.prefixes.add_stored(&first.keys, now);
    let fetching = choose(&fleet, &prompt, now).prompt.unwrap();
    assert!(fetching.fetch_from.is_some() && fetching.fetch_s > 0.0);
    fleet.kv_store.as_mut().unwrap().take(10.0, 0.0, now);
    let mut elsewhere = choose(&fleet, &prompt, now).prompt.unwrap();
    assert_eq!(elsewhere.fetch_s, 0.0);
    elsewhere = choose(&fleet, &prompt, now + ms(20_000)).prompt.unwrap();
    assert!(elsewhere.fetch_s > 0.0);
}

#[test]
fn cache_names_differ_by_weights_and_by_wall() {
    let now = Instant::now();
    let prompt = long_prompt(7, 1);
    let salt = |weights, isolated_workspace| {
        let fleet = fleet(3, weights);
        let query = ServerQuery { isolated_workspace, ..query(&prompt) };
        fleet.choose(query, now).unwrap().prompt.unwrap().cache_salt
    };
    let salts = [salt(1, None), salt(2, None), salt(1, Some("a")), salt(1, Some("b"))];
    let distinct: std::collections::BTreeSet<_> = salts.iter().collect();
    assert_eq!(distinct.len(), salts.len(), "{salts:?}");
    assert_eq!(salt(1, None), salts[0]);
}

#[test]
fn outdated_weights_are_used_while_fresh_then_avoided_then_refused() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    fleet.set_target(MODEL, 2, now);
    // A later revision does not give servers that are two behind more time.
    fleet.set_target(MODEL, 3, now + ms(4_000));
    let prompt = long_prompt(7, 1);
    assert!(fleet.choose(query(&prompt), now + ms(5_000)).is_ok());
    let refused = fleet.choose(query(&prompt), now + ms(6_100)).unwrap_err();
    assert_eq!(refused.reason, UnavailableReason::OutdatedWeights);
    fleet.set_weights(&"s1".into(), &MODEL, 3);
    assert_eq!(choose(&fleet, &prompt, now + ms(6_100)).server, "s1");
    assert_eq!(choose(&fleet, &prompt, now + ms(2_000)).server, "s1");
}

/// Pattern: all nodes are killed and start again; they know of newer weights, but not since when.
#[test]
fn a_node_that_does_not_know_how_old_newer_weights_are_avoids_outdated_ones_sooner() {
    let now = Instant::now() + ms(10_000);
    let mut fleet = fleet(2, 1);
    fleet.set_target_of_unknown_age(MODEL, 2, now);
    let prompt = long_prompt(7, 1);
    assert!(fleet.choose(query(&prompt), now + ms(2_900)).is_ok());
    assert!(fleet.choose(query(&prompt), now + ms(3_100)).is_err());
}

#[test]
fn closed_draining_and_tried_servers_get_nothing() {
    let now = Instant::now();
    let mut fleet = fleet(4, 1);
    let mut draining = entry(0, 1);
    draining.state = ServerState::Draining;
    fleet.set_entry(draining);
    fleet.server_mut(&"s1".into()).unwrap().close_until(now + ms(500), false);
    let prompt = long_prompt(7, 1);
    let tried = ["s2".into()];
    let query = ServerQuery { tried: &tried, ..query(&prompt) };
    assert_eq!(fleet.choose(query, now).unwrap().server, "s3");
    fleet.server_mut(&"s3".into()).unwrap().close_until(now + ms(300), false);
    let refused = fleet.choose(query, now).unwrap_err();
    assert_eq!((refused.reason, refused.retry_at), (UnavailableReason::Closed, now + ms(300)));
}

#[test]
fn a_vanished_server_serves_only_while_nobody_else_can_and_not_for_long() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    fleet.remove_entry(&"s0".into(), now);
    let prompt = long_prompt(7, 1);
    assert_eq!(choose(&fleet, &prompt, now).server, "s1");
    fleet.remove_entry(&"s1".into(), now);
    assert!(fleet.choose(query(&prompt), now + ms(1_500)).is_ok());
    let refused = fleet.choose(query(&prompt), now + ms(1_800)).unwrap_err();
    assert_eq!(refused.reason, UnavailableReason::NoServer);
    fleet.set_entry(entry(1, 1));
    assert_eq!(choose(&fleet, &prompt, now + ms(1_800)).server, "s1");
}

#[test]
fn a_draining_server_that_vanishes_is_gone_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1);
    let mut draining = entry(0, 1);
    draining.state = ServerState::Draining;
    fleet.set_entry(draining);
    fleet.remove_entry(&"s0".into(), now);
    assert!(fleet.server(&"s0".into()).is_none());
}

#[test]
fn plain_calls_go_to_the_emptiest_server_and_are_refused_when_all_queues_are_full() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    for index in 0..2 {
        let mut plain = entry(index, 1);
        plain.slots = 6;
        fleet.set_entry(plain);
    }
    let query = ServerQuery {
        service: &SERVICE,
        prompt: None,
        isolated_workspace: None,
        priority: 2,
        tried: &[],
    };
    let mut attempts = 0;
    let mut counts: BTreeMap<_, u32> = BTreeMap::new();
    while let Ok(choice) = fleet.choose(query, now) {
        attempts += 1;
        fleet.begin_request(&choice.server, attempts, choice.load, now);
        *counts.entry(choice.server).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [24, 24]);
    fleet.server_mut(&"s0".into()).unwrap().health.record_contact(now);
}

#[test]
fn a_server_that_fails_most_of_its_calls_is_avoided_and_tried_again_later() {
    let now = Instant::now();
    let mut fleet = fleet(3, 1);
    let query = ServerQuery {
        service: &SERVICE,
        prompt: None,
        isolated_workspace: None,
        priority: 2,
        tried: &[],
    };
    let near = fleet.choose(query, now).unwrap().server;
    for _ in 0..5 {
        fleet.server_mut(&near).unwrap().health.record_outcome(false, 0.0, now);
    }
    assert_ne!(fleet.choose(query, now).unwrap().server, near);
    assert_eq!(fleet.choose(query, now + ms(30_000)).unwrap().server, near);
}

/// Pattern: a dark server is due for new weights; its coordinator finds out first.
#[test]
fn a_server_that_did_not_answer_its_coordinator_gets_no_requests_for_a_while() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    let prompt = long_prompt(7, 1);
    let home = choose(&fleet, &prompt, now).server;
    fleet.server_mut(&home).unwrap().close_until(now + ms(1_200), false);
    fleet.server_mut(&home).unwrap().reopen_unresponsive(now);
    assert_ne!(choose(&fleet, &prompt, now + ms(200)).server, home);
    assert_eq!(choose(&fleet, &prompt, now + ms(400)).server, home);
}

/// Pattern: one server opens empty while all others have long queues, and six nodes that tell their
/// loads every 100 ms see it at once.
#[test]
fn a_server_that_opens_empty_is_not_flooded_by_all_nodes() {
    let start = Instant::now();
    let mut nodes = vec![fleet(6, 1); 6];
    for node in &mut nodes {
        for server in 1..6 {
            let load = load_of(60_000);
            node.apply_updates(&"past".into(), &[], start);
            node.server_mut(&format!("s{server}").into()).unwrap().add_local_load(load, start);
        }
    }
    let mut sent_tokens = 0;
    for step in 0..100_u64 {
        let now = start + ms(step);
        let index = step as usize % nodes.len();
        let choice = choose(&nodes[index], &long_prompt(step, step), now);
        if choice.expected_ms < 340.0 {
            nodes[index].begin_request(&choice.server, step, choice.load, now);
            if choice.server == "s0" {
                sent_tokens += choice.load.unread_tokens.ahead_of(9);
            }
        }
        if step == 0 {
            exchange_loads(&mut nodes, now);
        }
    }
    // 60,000 tokens are three quarters of a second of reading.
    assert!((10_000..60_000).contains(&sent_tokens), "{sent_tokens}");
}

fn load_of(tokens: u32) -> coriandertide::decision::relay::server::ServerLoad {
    use coriandertide::decision::relay::server::{ServerLoad, UnreadTokens};
    ServerLoad { requests: 1, unread_tokens: UnreadTokens::new(1, tokens), ..ServerLoad::default() }
}

fn exchange_loads(nodes: &mut [coriandertide::decision::relay::Fleet], now: Instant) {
    let updates: Vec<_> = nodes.iter().map(|node| node.local_updates(now)).collect();
    for (index, node) in nodes.iter_mut().enumerate() {
        for (other, loads) in updates.iter().enumerate().filter(|(other, _)| *other != index) {
            let s0: Vec<_> = loads.iter().filter(|update| update.server == "s0").cloned().collect();
            node.apply_updates(&format!("n{other}").into(), &s0, now);
        }
    }
}

/// Pattern: many nodes whose loads come late; a server reopens and is the only one without work.
#[test]
fn a_server_that_reopens_does_not_get_what_all_nodes_send_meanwhile() {
    let now = Instant::now();
    let mut fleet = fleet(60, 1);
    for index in 1..60 {
        add_requests(&mut fleet, &format!("s{index}"), 40, now);
    }
    let sent = (0..200).map(|i| choose(&fleet, &long_prompt(i, i), now).server);
    let to_idle = sent.filter(|server| server == "s0").count();
    assert!(to_idle <= 200 * 12 / 60 * 2, "{to_idle}");
}

/// Pattern: servers with few slots; a request behind a full set waits until another ends.
#[test]
fn a_server_whose_slots_are_taken_gets_less_than_one_with_free_slots() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(3, 3);
    let home = choose(&fleet, &prompt, now).server;
    add_requests(&mut fleet, &home, 54, now);
    assert_ne!(choose(&fleet, &prompt, now).server, home);
}

/// Pattern: servers with a dozen slots; a pool of long runs would take half of them.
#[test]
fn where_servers_have_few_slots_long_runs_share_them_with_prompts() {
    let now = Instant::now();
    let mut fleet = Fleet::new(ZONES[0].into());
    for index in 0..40 {
        let slots = 12;
        fleet.set_entry(ServerEntry { slots, ..entry(index, 1) });
    }
    fleet.decode_rate.set_partner_rate("other".into(), 46.0 * 290.0, now);
    let servers: std::collections::BTreeSet<_> =
        (0..400).map(|i| choose(&fleet, &decode_heavy_prompt(i, i), now).server).collect();
    assert!(servers.len() >= 36, "{}", servers.len());
}

/// Pattern: six homes are loaded beyond the latency objective.
#[test]
fn a_prompt_whose_homes_are_loaded_goes_further() {
    let now = Instant::now();
    let mut fleet = fleet(60, 1);
    let prompt = long_prompt(5, 5);
    for _ in 0..6 {
        let home = choose(&fleet, &prompt, now).server;
        add_requests(&mut fleet, &home, 70, now);
    }
    let choice = choose(&fleet, &prompt, now);
    assert!(choice.cost_ms < 400.0, "{choice:?}");
}

/// Pattern: a dark server before many nodes; the requests of one of them show it to all.
#[test]
fn a_server_that_is_silent_for_other_nodes_gets_nothing() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(7, 7);
    let home = choose(&fleet, &prompt, now).server;
    let load = ServerLoad { requests: 1, ..ServerLoad::default() };
    let (heard_ms, awaited_ms) = (Some(900), Some(700));
    let update = ServerUpdate { server: home.clone(), load, heard_ms, awaited_ms };
    fleet.apply_updates(&"partner".into(), &[update], now);
    assert!(fleet.server(&home).unwrap().suspended_until(now).is_some());
    assert_ne!(choose(&fleet, &prompt, now).server, home);
}

/// Pattern: engines evict a prefix within two or three seconds; the store keeps it for longer.
#[test]
fn a_prefix_comes_from_the_server_that_just_read_it_and_later_from_the_store() {
    let now = Instant::now();
    let mut fleet = with_store(fleet(12, 1), now);
    let prompt = long_prompt(7, 1);
    let first = choose(&fleet, &prompt, now);
    let keys = first.prompt.unwrap().keys;
    let holder = fleet.servers().find(|server| server.entry.id != first.server).unwrap();
    let (holder, holder_address) = (holder.entry.id.clone(), holder.entry.address);
    fleet.prefixes.add_stored(&keys, now);
    fleet.prefixes.add_cached_by_partner(&[(*keys.last().unwrap(), holder.clone())], now);
    load(&mut fleet, &holder, 40_000, now);
    let fetched = |at| choose(&fleet, &prompt, at).prompt.unwrap().fetch_from;
    assert_eq!(fetched(now + ms(1_000)), Some(holder_address));
    assert_eq!(fetched(now + ms(3_000)), Some(SocketAddr::from(([127, 0, 0, 1], 9))));
}
