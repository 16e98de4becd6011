//! Cases of claims: retries, lost appends, log outages, releases, and logs that may hide claims.

use crate::claims_world::{AppendOutcome, CallOutcome, SETTINGS, World};
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
    world.append(1, AppendOutcome::Done);
    world.append(0, AppendOutcome::Done);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: unknown
    request-4: answer
    ");
}

#[test]
fn append_with_lost_answer_is_repeated_under_the_same_claim() {
    let mut world = World::new(1);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.append(0, AppendOutcome::AnswerLost);
    world.settle();
    insta::assert_snapshot!(endings(&world), @"request-2: answer");
    assert_eq!(world.ledger.runs_ms.len(), 1);
}

#[test]
fn calls_are_refused_in_a_log_outage_and_run_afterwards() {
    let mut world = World::new(1);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    for _ in 0..12 {
        world.append(0, AppendOutcome::Lost);
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
fn key_of_a_call_that_was_not_run_is_free_for_another_node() {
    let mut world = World::new(2);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.append(0, AppendOutcome::Done);
    world.read(0, 10, false);
    world.run_call(0, CallOutcome::NotSent);
    world.append(0, AppendOutcome::Done);
    world.read(1, 10, false);
    world.begin(1, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: not run
    request-4: answer
    ");
}

#[test]
fn retry_gets_the_kept_answer_and_reused_key_is_refused() {
    let mut world = World::new(1);
    world.read(0, 10, false);
    world.begin(0, 1, 1);
    world.begin(0, 1, 1);
    world.append(0, AppendOutcome::Done);
    world.read(0, 10, false);
    world.run_call(0, CallOutcome::Answer);
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
fn inconsistent_settings_are_reported() {
    let mut faults = Faults::default();
    ClaimsSettings::default().check("claims", &mut faults);
    assert!(faults.0.is_empty());
    SETTINGS.check("claims", &mut faults);
    insta::assert_snapshot!(faults, @"claims.log_retention_ms: must be above key_age_ms + 2 * clock_skew_ms by a minute");
}

#[test]
fn claims_stop_if_the_log_drops_records_early() {
    let mut world = World::new(2);
    world.read(1, 10, false);
    run_on_first_node(&mut world);
    world.expire_log();
    world.begin(1, 1, 1);
    world.append(1, AppendOutcome::Done);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: answer
    request-4: not run
    ");
}

#[test]
fn page_with_a_gap_is_not_folded() {
    let mut world = World::new(2);
    world.read(1, 10, false);
    run_on_first_node(&mut world);
    world.begin(1, 1, 1);
    world.append(1, AppendOutcome::Done);
    world.read_skipping(1, 1);
    assert!(world.nodes[1].runs.is_empty());
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: answer
    request-4: unknown
    ");
}

#[test]
fn claims_stop_after_a_record_of_a_newer_build() {
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
    world.append(0, AppendOutcome::Done);
    world.read(0, 10, false);
    world.run_call(0, CallOutcome::Answer);
}

/// Returns an empty record of the next format version.
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
fn timed_out_claim_that_appears_on_the_log_is_released() {
    let mut world = World::new(2);
    world.begin(0, 1, 1);
    world.append(0, AppendOutcome::Delayed);
    world.advance(SETTINGS.claim_timeout_ms + SETTINGS.claim_reuse_ms);
    world.deliver_delayed_append();
    world.settle();
    world.begin(1, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: not run
    request-4: answer
    ");
}

#[test]
fn delayed_duplicate_of_a_release_frees_nothing() {
    let mut world = World::new(2);
    world.begin(0, 1, 1);
    world.append(0, AppendOutcome::Done);
    world.read(0, 10, false);
    world.run_call(0, CallOutcome::NotSent);
    world.append(0, AppendOutcome::DelayedTwice);
    world.deliver_delayed_append();
    world.begin(1, 1, 1);
    world.append(1, AppendOutcome::Done);
    world.read(1, 10, false);
    world.run_call(1, CallOutcome::Unknown);
    world.settle();
    world.begin(0, 1, 1);
    world.settle();
    insta::assert_snapshot!(endings(&world), @r"
    request-3: not run
    request-4: unknown
    request-5: unknown
    ");
}
