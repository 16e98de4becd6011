//! Server choice: home servers agreed on by all nodes, spill under load, cache isolation and
//! outdated weights.

use super::fixture::*;
use coriandertide::decision::relay::configuration::Workspace;
use coriandertide::decision::relay::fleet::AnnouncementPeriod;
use coriandertide::decision::relay::server::{ServerLoad, ServerUpdate, UpdateScope};
use coriandertide::decision::relay::{
    BeginVersions, Configuration, Fleet, ServerEntry, ServerQuery, ServerState, UnavailableReason,
};
use coriandertide::types::{ServerId, SoftwareVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

#[test]
fn nodes_agree_on_the_home_server_of_a_subject() {
    let now = Instant::now();
    for subject in 0..50 {
        let home_servers: Vec<_> = ZONES
            .iter()
            .map(|_| choose(&fleet(12, 1), &long_prompt(subject, 1), now).server)
            .collect();
        assert!(
            home_servers.iter().all(|preferred| *preferred == home_servers[0]),
            "subject {subject}: {home_servers:?}"
        );
    }
}

#[test]
fn subjects_are_spread_over_all_servers_outside_the_decode_pool() {
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
fn decode_heavy_requests_and_long_prompts_use_different_servers() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    // 46 requests per second with 290 tokens each keep about four servers busy.
    fleet.decode_rate.set_partner_rate("other".into(), 46.0 * 290.0, now);
    let decode_servers: Vec<_> =
        (0..100).map(|i| choose(&fleet, &decode_heavy_prompt(i, i), now).server).collect();
    let prompt_servers: Vec<_> =
        (0..100).map(|i| choose(&fleet, &long_prompt(i, i), now).server).collect();
    assert!(decode_servers.iter().all(|server| !prompt_servers.contains(server)));
    let servers: std::collections::BTreeSet<_> = decode_servers.iter().collect();
    assert!((2..=6).contains(&servers.len()), "{servers:?}");
}

#[test]
fn hot_subjects_spill_to_a_server_that_fetches_from_the_home_server() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(7, 1);
    let preferred = choose(&fleet, &prompt, now);
    let keys = &preferred.prompt.as_ref().unwrap().keys;
    fleet.prefixes.add_cached(keys, &preferred.server, true, now);
    set_partner_pending_prefill(&mut fleet, &preferred.server, 20_000, now);
    let spill = choose(&fleet, &prompt, now);
    assert_ne!(spill.server, preferred.server);
    let spill = spill.prompt.unwrap();
    assert_eq!(spill.fetch_from, Some(preferred.address));
}

#[test]
fn a_short_queue_costs_less_than_recomputing_the_prefix() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(7, 1);
    let preferred = choose(&fleet, &prompt, now);
    fleet.prefixes.add_cached(
        &preferred.prompt.as_ref().unwrap().keys,
        &preferred.server,
        true,
        now,
    );
    set_partner_pending_prefill(&mut fleet, &preferred.server, 2_000, now);
    assert_eq!(choose(&fleet, &prompt, now).server, preferred.server);
}

#[test]
fn one_server_prefills_a_shared_prefix_that_is_not_stored() {
    let now = Instant::now();
    let fleet = with_store(fleet(12, 1), now);
    let servers: std::collections::BTreeSet<_> =
        (0..50).map(|subject| choose(&fleet, &long_prompt(subject, 1), now).server).collect();
    assert_eq!(servers.len(), 1);
}

#[test]
fn stored_prefixes_are_fetched_within_the_link_share() {
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
fn cache_salts_differ_by_weights_and_isolated_workspace() {
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

/// Guards against workspaces that go on using what another one left in the cache before it became
/// isolated.
#[test]
fn the_salt_of_shared_cache_changes_when_a_workspace_becomes_isolated() {
    let prompt = long_prompt(7, 1);
    let salt = |isolated: &[&str]| {
        let mut configuration = Configuration::new(1, Vec::new(), BTreeMap::new());
        let workspace = |name: &str| Workspace {
            name: name.into(),
            priority: None,
            is_isolated: isolated.contains(&name),
            quota: None,
        };
        let workspaces = ["a", "b", "c"].map(|name| (workspace(name), vec![name.into()]));
        configuration.set_workspaces(workspaces.into());
        let query = ServerQuery { cache_group: configuration.cache_group(), ..query(&prompt) };
        fleet(2, 1).choose(query, Instant::now()).unwrap().prompt.unwrap().cache_salt
    };
    let salts = [salt(&[]), salt(&["a"]), salt(&["b"]), salt(&["a", "b"])];
    let distinct: std::collections::BTreeSet<_> = salts.iter().collect();
    assert_eq!(distinct.len(), salts.len(), "{salts:?}");
    assert_eq!(salt(&["b", "a"]), salts[3]);
}

/// The store has failed no read since the view was complete.
fn announced_after(announced_after: Instant) -> AnnouncementPeriod {
    AnnouncementPeriod { announced_after, store_failed_at: None }
}

#[test]
fn outdated_weights_are_avoided_and_later_refused() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    fleet.set_target(MODEL, 2, announced_after(now), now);
    // A later revision does not give more time to servers that are two revisions behind.
    fleet.set_target(MODEL, 3, announced_after(now + ms(4_000)), now + ms(4_000));
    let prompt = long_prompt(7, 1);
    assert!(fleet.choose(query(&prompt), now + ms(5_000)).is_ok());
    let refused = fleet.choose(query(&prompt), now + ms(6_100)).unwrap_err();
    assert_eq!(refused.reason, UnavailableReason::OutdatedWeights);
    fleet.set_weights(&"s1".into(), &MODEL, 3);
    assert_eq!(choose(&fleet, &prompt, now + ms(6_100)).server, "s1");
    assert_eq!(choose(&fleet, &prompt, now + ms(2_000)).server, "s1");
}

/// All nodes restart and learn of newer weights, but not since when these have been announced.
#[test]
fn weights_of_unknown_age_shorten_the_use_of_outdated_ones() {
    let now = Instant::now() + ms(10_000);
    let mut fleet = fleet(2, 1);
    fleet.set_target_of_unknown_age(MODEL, 2, now, None);
    let prompt = long_prompt(7, 1);
    assert!(fleet.choose(query(&prompt), now + ms(2_400)).is_ok());
    assert!(fleet.choose(query(&prompt), now + ms(2_600)).is_err());
}

/// Guards against requests that begin on outdated weights after the bound, which counts from the
/// announcement, at a node that the news has reached late.
#[test]
fn the_time_for_outdated_weights_counts_from_the_announcement() {
    let now = Instant::now();
    for news_ms in [0, 300, 1_200, 3_000, 4_600, 6_000, 12_000] {
        let mut fleet = fleet(2, 1);
        let learned_at = now + ms(news_ms);
        fleet.set_target(MODEL, 2, announced_after(now), learned_at);
        let usable_until = fleet.weights_usable_until(&MODEL, 1).unwrap();
        assert!(usable_until <= now + ms(8_000), "learned {news_ms} ms later");
        assert_eq!(fleet.weights_usable_until(&MODEL, 2), None);
    }
}

/// Guards against refusals of all requests by a node whose reads the store has failed for long: it may
/// use outdated servers for the time of one that has just started. A failure before the view was complete
/// tells nothing.
#[test]
fn a_node_that_the_store_has_failed_may_use_outdated_weights_for_a_while() {
    let now = Instant::now();
    let learned_at = now + ms(60_000);
    let usable_until = |store_failed_at| {
        let mut fleet = fleet(2, 1);
        let period = AnnouncementPeriod { announced_after: now, store_failed_at };
        fleet.set_target(MODEL, 2, period, learned_at);
        fleet.weights_usable_until(&MODEL, 1).unwrap()
    };
    assert_eq!(usable_until(Some(learned_at)), learned_at + ms(4_500));
    assert_eq!(usable_until(Some(now + ms(3_000))), now + ms(8_000));
    assert_eq!(usable_until(now.checked_sub(ms(1))), now + ms(8_000));
}

/// Guards against a longer use of outdated weights by a node that lists the announcements anew, though
/// its view was complete shortly before they were made.
#[test]
fn weights_that_a_node_lists_anew_count_from_its_last_complete_view() {
    let now = Instant::now() + ms(10_000);
    for news_ms in [0, 2_000, 6_000] {
        let mut fleet = fleet(2, 1);
        let learned_at = now + ms(news_ms);
        let period = Some(announced_after(now));
        fleet.set_target_of_unknown_age(MODEL, 2, learned_at, period);
        let usable_until = fleet.weights_usable_until(&MODEL, 1).unwrap();
        assert!(usable_until <= now + ms(8_000), "learned {news_ms} ms later");
    }
}

/// Guards against the use of outdated weights after the bound at a node whose machine was suspended.
#[test]
fn a_suspension_counts_towards_the_use_of_outdated_weights() {
    let now = Instant::now() + ms(10_000);
    let mut fleet = fleet(2, 1);
    fleet.set_target(MODEL, 2, announced_after(now), now);
    fleet.record_suspension(ms(3_000));
    assert_eq!(fleet.weights_usable_until(&MODEL, 1), Some(now + ms(5_000)));
}

/// Guards against calls without a prompt that begin on outdated weights after the bound.
#[test]
fn calls_without_a_prompt_are_kept_from_outdated_weights() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    fleet.set_target(MODEL, 2, announced_after(now), now);
    let prompt = long_prompt(7, 1);
    let plain = ServerQuery { prompt: None, ..query(&prompt) };
    assert!(fleet.choose(plain, now + ms(5_000)).is_ok());
    let refused = fleet.choose(plain, now + ms(6_100)).unwrap_err();
    assert_eq!(refused.reason, UnavailableReason::OutdatedWeights);
    fleet.set_weights(&"s1".into(), &MODEL, 2);
    assert_eq!(fleet.choose(plain, now + ms(6_100)).unwrap().server, "s1");
    assert_eq!(fleet.first_outdated_weights(&"s0".into()), Some((MODEL, 1)));
}

/// A node that learns of newer weights a second after its start: it counts as running normally
/// three seconds after its start, when it may have used outdated servers for too long.
#[test]
fn weights_that_a_started_node_learns_late_do_not_prolong_the_use_of_outdated_ones() {
    let started_at = Instant::now() + ms(10_000);
    let mut fleet = fleet(2, 1);
    let learned_at = started_at + ms(1_000);
    fleet.set_target_of_unknown_age(MODEL, 2, started_at, None);
    let prompt = long_prompt(7, 1);
    assert!(fleet.choose(query(&prompt), learned_at + ms(1_400)).is_ok());
    assert!(fleet.choose(query(&prompt), learned_at + ms(1_900)).is_err());
}

#[test]
fn closed_draining_and_tried_servers_get_no_requests() {
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
fn servers_without_entry_are_a_short_last_resort() {
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
fn draining_servers_without_entry_are_removed_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1);
    let mut draining = entry(0, 1);
    draining.state = ServerState::Draining;
    fleet.set_entry(draining);
    fleet.remove_entry(&"s0".into(), now);
    assert!(fleet.server(&"s0".into()).is_none());
}

#[test]
fn plain_calls_go_to_the_least_loaded_server_until_all_queues_are_full() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    for index in 0..2 {
        let mut plain = entry(index, 1);
        plain.slots = 6;
        fleet.set_entry(plain);
    }
    let query = plain_query();
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
fn failing_servers_are_avoided_and_tried_again_later() {
    let now = Instant::now();
    let mut fleet = fleet(3, 1);
    let query = plain_query();
    let preferred = fleet.choose(query, now).unwrap().server;
    for _ in 0..5 {
        fleet.server_mut(&preferred).unwrap().health.record_outcome(false, 0.0, now);
    }
    assert_ne!(fleet.choose(query, now).unwrap().server, preferred);
    assert_eq!(fleet.choose(query, now + ms(30_000)).unwrap().server, preferred);
}

/// An unresponsive server is due for new weights, and the rollout coordinator notices first.
#[test]
fn servers_that_do_not_answer_the_coordinator_are_suspended() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    let prompt = long_prompt(7, 1);
    let preferred = choose(&fleet, &prompt, now).server;
    fleet.server_mut(&preferred).unwrap().close_until(now + ms(1_200), false);
    fleet.server_mut(&preferred).unwrap().reopen_unresponsive(now);
    assert_ne!(choose(&fleet, &prompt, now + ms(200)).server, preferred);
    assert_eq!(choose(&fleet, &prompt, now + ms(400)).server, preferred);
}

/// One server opens empty while all others have long queues, and six nodes that send loads every
/// 100 ms see it at the same time.
#[test]
fn an_empty_server_is_not_flooded_by_all_nodes() {
    let start = Instant::now();
    let mut nodes = vec![fleet(6, 1); 6];
    for node in &mut nodes {
        for server in 1..6 {
            let load = load_of(60_000);
            node.apply_updates(&"past".into(), &[], UpdateScope::AllServers, start);
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
                sent_tokens += choice.load.pending_prefill.ahead_of(9);
            }
        }
        if step == 0 {
            exchange_loads(&mut nodes, now);
        }
    }
    // 60,000 tokens take three quarters of a second to prefill.
    assert!((10_000..60_000).contains(&sent_tokens), "{sent_tokens}");
}

fn load_of(tokens: u32) -> coriandertide::decision::relay::server::ServerLoad {
    use coriandertide::decision::relay::server::{PendingPrefill, ServerLoad};
    ServerLoad {
        requests: 1,
        pending_prefill: PendingPrefill::new(1, tokens),
        ..ServerLoad::default()
    }
}

fn exchange_loads(nodes: &mut [coriandertide::decision::relay::Fleet], now: Instant) {
    let updates: Vec<_> = nodes.iter().map(|node| node.local_updates(now)).collect();
    for (index, node) in nodes.iter_mut().enumerate() {
        for (other, loads) in updates.iter().enumerate().filter(|(other, _)| *other != index) {
            let s0: Vec<_> = loads.iter().filter(|update| update.server == "s0").cloned().collect();
            node.apply_updates(&format!("n{other}").into(), &s0, UpdateScope::AllServers, now);
        }
    }
}

/// Many nodes with late load updates; the only server without load reopens.
#[test]
fn a_reopened_server_gets_a_limited_part_of_the_requests() {
    let now = Instant::now();
    let mut fleet = fleet(60, 1);
    for index in 1..60 {
        set_partner_requests(&mut fleet, &format!("s{index}"), 40, now);
    }
    let chosen = (0..200).map(|i| choose(&fleet, &long_prompt(i, i), now).server);
    let to_empty = chosen.filter(|server| server == "s0").count();
    assert!(to_empty <= 200 * 12 / 60 * 2, "{to_empty}");
}

/// Servers with few slots: a request waits for a slot until another request ends.
#[test]
fn servers_with_free_slots_are_preferred() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(3, 3);
    let preferred = choose(&fleet, &prompt, now).server;
    set_partner_requests(&mut fleet, &preferred, 54, now);
    assert_ne!(choose(&fleet, &prompt, now).server, preferred);
}

/// Servers with a dozen slots: a decode pool would take half of them.
#[test]
fn servers_with_few_slots_form_no_decode_pool() {
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

/// The six preferred servers have backlogs beyond the latency objective.
#[test]
fn prompts_go_past_loaded_preferred_servers() {
    let now = Instant::now();
    let mut fleet = fleet(60, 1);
    let prompt = long_prompt(5, 5);
    for _ in 0..6 {
        let preferred = choose(&fleet, &prompt, now).server;
        set_partner_requests(&mut fleet, &preferred, 70, now);
    }
    let choice = choose(&fleet, &prompt, now);
    assert!(choice.cost_ms < 400.0, "{choice:?}");
}

/// A server is unresponsive, and only a partner has sent it requests.
#[test]
fn servers_that_partners_find_silent_get_no_requests() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(7, 7);
    let preferred = choose(&fleet, &prompt, now).server;
    let load = ServerLoad { requests: 1, ..ServerLoad::default() };
    let (since_contact_ms, unanswered_ms) = (Some(900), Some(700));
    let update = ServerUpdate { server: preferred.clone(), load, since_contact_ms, unanswered_ms };
    fleet.apply_updates(&"partner".into(), &[update], UpdateScope::AllServers, now);
    assert!(fleet.server(&preferred).unwrap().suspended_until(now).is_some());
    assert_ne!(choose(&fleet, &prompt, now).server, preferred);
}

/// Engines evict a prefix within two or three seconds, the store keeps it longer.
#[test]
fn prefixes_are_fetched_from_a_server_while_cached_then_from_the_store() {
    let now = Instant::now();
    let mut fleet = with_store(fleet(12, 1), now);
    let prompt = long_prompt(7, 1);
    let first = choose(&fleet, &prompt, now);
    let keys = first.prompt.unwrap().keys;
    let holder = fleet.servers().find(|server| server.entry.id != first.server).unwrap();
    let (holder, holder_address) = (holder.entry.id.clone(), holder.entry.address);
    fleet.prefixes.add_stored(&keys, now);
    fleet.prefixes.add_cached_by_partner(&[(*keys.last().unwrap(), holder.clone())], now);
    set_partner_pending_prefill(&mut fleet, &holder, 40_000, now);
    let fetched = |at| choose(&fleet, &prompt, at).prompt.unwrap().fetch_from;
    assert_eq!(fetched(now + ms(1_000)), Some(holder_address));
    assert_eq!(fetched(now + ms(3_000)), Some(SocketAddr::from(([127, 0, 0, 1], 9))));
}

/// Most servers still have the weights before an announcement, and few have loaded the new ones. All
/// nodes would send all prompts to these few, which answer late long before the next load update.
#[test]
fn prompts_stay_at_their_homes_while_weights_are_replaced() {
    let now = Instant::now();
    let mut fleet = fleet(60, 1);
    fleet.set_target(MODEL, 2, announced_after(now), now);
    for updated in ["s0", "s1", "s2"] {
        fleet.set_weights(&updated.into(), &MODEL, 2);
    }
    let ranks: Vec<usize> = (0..200)
        .map(|i| choose(&fleet, &long_prompt(i, i), now + ms(2_000)).prompt.unwrap().rank)
        .collect();
    assert!(ranks.iter().all(|rank| *rank < 12), "{ranks:?}");
}

/// A prefix was used some seconds ago and may have been evicted since. A prompt that leaves for a
/// slightly less loaded server puts a copy there, for which another prefix is evicted.
#[test]
fn a_prompt_stays_where_its_prefix_is_likely_cached() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let prompt = long_prompt(9, 1);
    let first = choose(&fleet, &prompt, now);
    fleet.prefixes.add_cached(&first.prompt.unwrap().keys, &first.server, true, now);
    let later = now + ms(3_500);
    set_partner_pending_prefill(&mut fleet, &first.server, 1_700, later);
    assert_eq!(choose(&fleet, &long_prompt(9, 2), later).server, first.server);
    let evicted = now + ms(9_000);
    set_partner_pending_prefill(&mut fleet, &first.server, 1_700, evicted);
    assert_ne!(choose(&fleet, &long_prompt(9, 3), evicted).server, first.server);
}

/// A prompt waits at a server with outdated weights for as long as its caller has patience, and must
/// not begin there after the deadline.
#[test]
fn patient_callers_leave_outdated_weights_earlier() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    fleet.set_target(MODEL, 2, announced_after(now), now);
    let prompt = long_prompt(4, 4);
    let is_served_with_gap = |objective_ms, gap_ms, after_ms| {
        let (latency_objective, max_event_gap) = (ms(objective_ms), ms(gap_ms));
        let query = ServerQuery { latency_objective, max_event_gap, ..query(&prompt) };
        fleet.choose(query, now + ms(after_ms)).is_ok()
    };
    let is_served = |objective_ms, after_ms| is_served_with_gap(objective_ms, 250, after_ms);
    assert!(is_served(400, 5_999));
    assert!(!is_served(400, 6_000));
    assert!(is_served(800, 4_799));
    assert!(!is_served(800, 4_800));
    assert!(is_served_with_gap(400, 300, 5_599));
    assert!(!is_served_with_gap(400, 300, 5_600));
}

/// Guards against a stream that goes on at another software version than the one that began it.
#[test]
fn a_resumed_stream_gets_only_servers_of_its_software_version() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    for index in [3, 7] {
        fleet.set_entry(ServerEntry { software: "v1.1".into(), ..entry(index, 1) });
    }
    let (new, gone) = ("v1.1".into(), "v0".into());
    for subject in 0..100 {
        let prompt = long_prompt(subject, 1);
        let chosen = fleet.choose(ServerQuery { software: Some(&new), ..query(&prompt) }, now);
        assert!(["s3", "s7"].contains(&chosen.unwrap().server.as_str()));
        let chosen = fleet.choose(ServerQuery { software: Some(&gone), ..query(&prompt) }, now);
        assert_eq!(chosen.unwrap_err().reason, UnavailableReason::OtherSoftware);
    }
}

/// Guards against streams that begin at a version which no record names, while servers of a recorded one
/// are there, also where these are full.
#[test]
fn a_stream_begins_at_a_recorded_software_version() {
    let now = Instant::now();
    let mut fleet = fleet(12, 1);
    let old = fleet.server(&"s0".into()).unwrap().entry.software.clone();
    for index in [3, 7] {
        fleet.set_entry(ServerEntry { software: "v1.1".into(), ..entry(index, 1) });
    }
    let begins_at = |recorded: &[&SoftwareVersion], allows_unrecorded| BeginVersions {
        recorded: recorded.iter().map(|software| (*software).clone()).collect(),
        allows_unrecorded,
    };
    let new: SoftwareVersion = "v1.1".into();
    let old_servers: Vec<ServerId> =
        (0..12).filter(|index| ![3, 7].contains(index)).map(|i| entry(i, 1).id).collect();
    for subject in 0..100 {
        let prompt = long_prompt(subject, 1);
        let choose = |begins_at: &BeginVersions, tried: &[ServerId]| {
            let begins_at = Some(begins_at);
            fleet.choose(ServerQuery { begins_at, tried, ..query(&prompt) }, now)
        };
        for allows_unrecorded in [false, true] {
            let chosen = choose(&begins_at(&[&old], allows_unrecorded), &[]).unwrap();
            assert_eq!(chosen.software, old);
            let chosen = choose(&begins_at(&[&old], allows_unrecorded), &old_servers);
            assert_eq!(chosen.unwrap_err().reason, UnavailableReason::NoServer);
        }
        let chosen = choose(&begins_at(&[&new], false), &[]).unwrap();
        assert_eq!(chosen.software, new);
        let refused = choose(&begins_at(&[], false), &[]).unwrap_err();
        assert_eq!(refused.reason, UnavailableReason::UnrecordedSoftware);
        assert!(choose(&begins_at(&[], true), &[]).is_ok());
    }
}
