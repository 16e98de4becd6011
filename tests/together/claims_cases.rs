//! Single cases of claims.

use crate::claims_world::{AppendFate, CallFate, SETTINGS, World};
use bytes::Bytes;
use coriandertide::decision::claims::{ClaimsSettings, encode_record, hash_key, key_created_at};
use coriandertide::types::Faults;
use std::time::UNIX_EPOCH;

fn endings(world: &World) -> String {
    let lines = world.ledger.endings.iter().map(|(request, ending)| format!("{request}: {ending}"));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn first_claim_in_log_order_runs() {
    let mut world = World::new(2);
    for node in [0, 1] {
        world.read(node, 10, false);
        world.begin(node, 1, 1);
    }
    world.append(1, AppendFate::Done);
    world.append(0, AppendFate::Done);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: unknown
    request-4: answer
    ");
}

#[test]
fn lost_append_answer_is_repeated_under_the_same_claim() {
    let mut world = World::new(1);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.append(0, AppendFate::AnswerLost);
    world.settle();
    insta::assert_snapshot!(endings(&world), @"request-2: answer");
    assert_eq!(world.ledger.runs_ms.len(), 1);
}

#[test]
fn log_outage_refuses_and_the_same_key_runs_afterwards() {
    let mut world = World::new(1);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    for _ in 0..12 {
        world.append(0, AppendFate::Lost);
        world.advance(100);
        world.apply(0, coriandertide::decision::claims::ClaimEvent::Tick);
    }
    assert_eq!(endings(&world), "request-2: not run");
    world.advance(1_000);
    world.begin(0, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-2: not run
    request-3: answer
    ");
}

#[test]
fn a_key_that_was_not_run_is_free_for_another_node() {
    let mut world = World::new(2);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.append(0, AppendFate::Done);
    world.read(0, 10, false);
    world.run_call(0, CallFate::NotSent);
    world.append(0, AppendFate::Done);
    world.read(1, 10, false);
    world.begin(1, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: not run
    request-4: answer
    ");
}

#[test]
fn a_repeated_call_gets_the_kept_answer_and_a_reused_key_is_refused() {
    let mut world = World::new(1);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.begin(0, 1, 1);
    world.append(0, AppendFate::Done);
    world.read(0, 10, false);
    world.run_call(0, CallFate::Answer);
    world.begin(0, 1, 1);
    world.begin(0, 1, 2);
    world.crash(0);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-2: answer
    request-3: answer
    request-4: answer
    request-5: not run
    request-7: unknown
    ");
}

#[test]
fn creation_times_and_hashes_of_keys() {
    let uuid = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let unix_ms =
        key_created_at(uuid).map(|time| time.duration_since(UNIX_EPOCH).unwrap().as_millis());
    assert_eq!(unix_ms, Some(1_645_557_742_000));
    assert_eq!(key_created_at("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), None);
    assert_eq!(key_created_at("tally-17"), None);
    let hash =
        |workspace: &str, key: &str| hash_key(&workspace.into(), &"tally".into(), &key.into());
    assert_eq!(hash("survey", "1"), hash("survey", "1"));
    assert_ne!(hash("survey", "1"), hash("pickup", "1"));
}

#[test]
fn settings_must_fit_each_other() {
    let mut faults = Faults::default();
    ClaimsSettings::default().check("claims", &mut faults);
    assert!(faults.0.is_empty());
    SETTINGS.check("claims", &mut faults);
    insta::assert_snapshot!(faults, @"claims.log_retention_ms: must be above key_age_ms + 2 * clock_skew_ms by a minute");
}

#[test]
fn a_log_that_drops_records_early_stops_claims() {
    let mut world = World::new(2);
    world.read(1, 10, false);
    run_on_first_node(&mut world);
    world.drop_log();
    world.begin(1, 1, 1);
    world.append(1, AppendFate::Done);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: answer
    request-4: not run
    ");
}

#[test]
fn a_page_with_a_hole_is_not_folded() {
    let mut world = World::new(2);
    world.read(1, 10, false);
    run_on_first_node(&mut world);
    world.begin(1, 1, 1);
    world.append(1, AppendFate::Done);
    world.read_skipping(1, 1);
    assert!(world.nodes[1].runs.is_empty());
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: answer
    request-4: unknown
    ");
}

#[test]
fn records_of_a_newer_build_stop_claims() {
    let mut world = World::new(1);
    world.append_raw(newer_record());
    world.begin(0, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @"request-2: not run");
    world.advance(SETTINGS.dedup_window_ms());
    world.append_raw(Bytes::from_static(b"foreign"));
    world.begin(0, 1, 1);
    world.settle();
    assert_eq!(world.ledger.runs_ms.len(), 1);
}

fn run_on_first_node(world: &mut World) {
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.append(0, AppendFate::Done);
    world.read(0, 10, false);
    world.run_call(0, CallFate::Answer);
}

/// Record with the version after the current one.
fn newer_record() -> Bytes {
    let payload = encode_record(&[]);
    let current = b"gversion\x01";
    let position = payload.windows(current.len()).position(|window| window == current);
    let position = position.expect("the record has a version");
    let mut payload = payload.to_vec();
    payload[position + current.len() - 1] += 1;
    payload.into()
}

#[test]
fn a_claim_that_turns_up_after_it_was_given_up_is_released() {
    let mut world = World::new(2);
    world.begin(0, 1, 1);
    world.append(0, AppendFate::Late);
    world.advance(SETTINGS.claim_timeout_ms + SETTINGS.claim_reuse_ms);
    world.append_late();
    world.settle();
    world.begin(1, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: not run
    request-4: answer
    ");
}

#[test]
fn a_late_duplicate_of_a_release_frees_nothing() {
    let mut world = World::new(2);
    world.begin(0, 1, 1);
    world.append(0, AppendFate::Done);
    world.read(0, 10, false);
    world.run_call(0, CallFate::NotSent);
    world.append(0, AppendFate::LateTwice);
    world.append_late();
    world.begin(1, 1, 1);
    world.append(1, AppendFate::Done);
    world.read(1, 10, false);
    world.run_call(1, CallFate::Unknown);
    world.settle();
    world.begin(0, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: not run
    request-4: unknown
    request-5: unknown
    ");
}
