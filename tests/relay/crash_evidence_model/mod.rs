//! A bad prompt part at tens of nodes, with delays, cut links, restarts, nodes of an earlier build
//! and crashes for other reasons.

mod world;

use world::{Kind, Repeats, Scenario, World};

const SEEDS: u64 = 20;
/// Time in which nodes in touch must hear of a crash.
const CONTACT_MS: u64 = 3_000;

/// Number of servers, and milliseconds of sound traffic before anything bad happens.
type Setting = (usize, u64);

const LARGE: Setting = (40, 5_000);
const LARGE_COLD: Setting = (40, 0);
const SMALL: Setting = (12, 5_000);
const SMALL_COLD: Setting = (12, 0);

/// Returns what went wrong in a run.
fn violations(seed: u64, scenario: Scenario, (servers, disturbed_from): Setting) -> Vec<String> {
    let world = World::run(seed, scenario, servers, disturbed_from);
    let mut found = Vec::new();
    let fifth_at = world.bad_crashes_at.get(4).copied().unwrap_or(u64::MAX - CONTACT_MS);
    let is_late = |at: u64| at > fifth_at + CONTACT_MS;
    let late = world.bad_runs_at.iter().filter(|at| is_late(**at)).count();
    if late > 3 {
        found.push(format!("{late} bad requests after the fifth crash at {fifth_at} ms"));
    }
    let siblings: Vec<_> =
        world.arrivals.iter().filter(|one| one.kind == Kind::Sibling && is_late(one.at)).collect();
    let begun = siblings.iter().filter(|one| one.has_begun).count();
    if siblings.len() >= 20 && begun * 10 < siblings.len() * 9 {
        found.push(format!("{begun} of {} siblings began", siblings.len()));
    }
    for one in world.arrivals.iter().filter(|one| one.kind != Kind::Bad && one.is_refused) {
        let is_excused = |at: &u64| (*at..=at + 2_000).contains(&one.at);
        if !world.other_crashes_at.iter().any(is_excused) {
            found.push(format!("{:?} refused at {} ms", one.kind, one.at));
        }
    }
    found
        .iter()
        .map(|found| format!("seed {seed}, {servers} servers from {disturbed_from}: {found}"))
        .collect()
}

fn check(scenario: Scenario, settings: &[Setting]) {
    let found: Vec<String> = settings
        .iter()
        .flat_map(|setting| (0..SEEDS).map(move |seed| violations(seed, scenario, *setting)))
        .flatten()
        .collect();
    assert!(found.is_empty(), "{scenario:?}:\n{}", found.join("\n"));
}

/// Guards against servers that crash one after another on a part that all requests share, and
/// against sound requests that are refused with it.
#[test]
fn few_servers_crash_and_siblings_begin() {
    check(Scenario::Disturbed, &[LARGE, LARGE_COLD, SMALL]);
}

/// Guards against sound parts that are refused in a small service which has answered nothing yet.
#[test]
fn siblings_begin_in_a_small_service_without_earlier_answers() {
    check(Scenario::Disturbed, &[SMALL_COLD]);
}

/// Guards against strikes of neighbours whose servers nodes of an earlier build go on crashing.
#[test]
fn nodes_of_an_earlier_build_do_not_spoil_the_evidence() {
    check(Scenario::EarlierBuilds, &[LARGE]);
}

/// Guards against the same in services that are small or have answered nothing yet.
#[test]
fn nodes_of_an_earlier_build_do_not_spoil_scarce_evidence() {
    check(Scenario::EarlierBuilds, &[LARGE_COLD, SMALL, SMALL_COLD]);
}

/// Guards against refusals when zones and servers are lost and no part is bad.
#[test]
fn losses_of_zones_and_servers_refuse_nothing() {
    for (seed, setting) in (0..SEEDS).flat_map(|seed| [(seed, LARGE_COLD), (seed, SMALL)]) {
        let world = World::run(seed, Scenario::LossesOnly, setting.0, setting.1);
        let refused = world.arrivals.iter().filter(|one| one.is_refused).count();
        assert_eq!(refused, 0, "seed {seed}, {setting:?}");
    }
}

/// Crashes after which a request that is repeated must be refused.
const CRASHES_OF_A_REPEATED_REQUEST: usize = 3;

/// Times that it may reach servers later all the same.
const MAX_LATE_REPEATS: usize = 3;

/// Guards against a request that ends server after server as its callers repeat it, because sound
/// requests that are repeated with it are cut by the same crashes.
#[test]
fn a_repeated_request_is_refused_and_its_companions_are_answered() {
    check_repeats(LARGE);
}

/// Guards against the same in a small service, where they meet more often.
#[test]
fn a_repeated_request_is_refused_in_a_small_service() {
    check_repeats(SMALL);
}

fn check_repeats(setting: Setting) {
    let mut found = Vec::new();
    for (bad_callers, companions) in [(1, 0), (1, 1), (1, 2), (1, 5), (3, 0), (3, 3)] {
        let repeats = Repeats { bad_callers, companions };
        for seed in 0..SEEDS {
            let world = World::run(seed, Scenario::Repeated(repeats), setting.0, setting.1);
            let third_at = world.bad_crashes_at.get(CRASHES_OF_A_REPEATED_REQUEST - 1);
            let is_late = |at: &&u64| third_at.is_some_and(|third| **at > third + CONTACT_MS);
            let late = world.bad_runs_at.iter().filter(is_late).count();
            let answered = world.answered_callers.len();
            if late > MAX_LATE_REPEATS || answered < companions {
                found.push(format!(
                    "seed {seed}, {setting:?}, {repeats:?}: {} crashes, {late} late, \
                     {answered} companions answered",
                    world.bad_crashes_at.len()
                ));
            }
        }
    }
    assert!(found.is_empty(), "{} runs:\n{}", found.len(), found.join("\n"));
}
