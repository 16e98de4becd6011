//! Admission: limits of workspaces, early refusal, and fairness under a flood of one workspace.

use super::proptest_config;
use coriandertide::decision::admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionId, AdmissionRequest, RefusalReason,
};
use coriandertide::document::{Document, RawDocument};
use coriandertide::types::Priority;
use proptest::prelude::*;
use serde_json::json;
use smol_str::format_smolstr;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

const REQUESTS_PER_S: u32 = 40;
const WORKSPACE_LIMIT: u32 = 6;
const SERVER_CAPACITY: u32 = 8;

fn document(requests_per_s: u32, concurrent_requests: u32) -> Document {
    let workspace = json!({
        "requests_per_s": requests_per_s,
        "concurrent_requests": concurrent_requests,
    });
    let raw: RawDocument = serde_json::from_value(json!({
        "workspaces": { "large": workspace, "small": workspace, "third": workspace },
        "models": { "m": {} },
        "servers": { "s": {
            "address": "127.0.0.1:1",
            "availability_zone": "z",
            "concurrent_requests": SERVER_CAPACITY,
            "idle_watts": 1,
            "request_watts": 1,
        } },
        "site": { "budget_watts": 100, "max_nodes": 4 },
    }))
    .unwrap();
    Document::try_from(raw).unwrap()
}

fn request(id: AdmissionId, workspace: &str, priority: Priority, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        id,
        workspace: workspace.into(),
        priority,
        tokens: 100,
        deadline: now + Duration::from_secs(60),
    }
}

fn admission(document: &Document, live_nodes: u32, now: Instant) -> Admission {
    let mut admission = Admission::new(AdmissionConfig::default());
    assert!(admission.set_limits(document, live_nodes, now).is_empty());
    admission
}

#[test]
fn a_workspace_gets_its_rate_divided_by_the_nodes() {
    let start = Instant::now();
    let document = document(REQUESTS_PER_S, 1_000);
    let mut lines = String::new();
    for live_nodes in [1, 2, 4, 8] {
        let mut admission = admission(&document, live_nodes, start);
        let mut started = 0;
        for id in 0..2_000 {
            let now = start + Duration::from_millis(id * 5);
            let decision = admission.submit(request(id, "large", Priority::Normal, now), now);
            if decision == AdmissionDecision::Start {
                started += 1;
                admission.finish(id, now);
            }
        }
        writeln!(lines, "{live_nodes} nodes: {started} of 2000 in 10 s").unwrap();
    }
    insta::assert_snapshot!(lines, @r"
    1 nodes: 479 of 2000 in 10 s
    2 nodes: 239 of 2000 in 10 s
    4 nodes: 119 of 2000 in 10 s
    8 nodes: 59 of 2000 in 10 s
    ");
}

#[test]
fn a_refusal_gives_a_valid_retry_time() {
    let now = Instant::now();
    let mut admission = admission(&document(1, 1_000), 1, now);
    let decisions: Vec<AdmissionDecision> = (0..3)
        .map(|id| admission.submit(request(id, "small", Priority::Normal, now), now))
        .collect();
    let AdmissionDecision::Refuse(refusal) = &decisions[2] else { panic!("{decisions:?}") };
    assert_eq!(refusal.reason, RefusalReason::RequestRate);
    assert_eq!(refusal.retry_at, now + Duration::from_secs(1));
    let again = request(3, "small", Priority::Normal, refusal.retry_at);
    assert_eq!(admission.submit(again, refusal.retry_at), AdmissionDecision::Start);
    let unknown = admission.submit(request(4, "nobody", Priority::Normal, now), now);
    assert!(matches!(
        unknown,
        AdmissionDecision::Refuse(refusal) if refusal.reason == RefusalReason::UnknownWorkspace
    ));
}

#[test]
fn a_wait_ends_after_the_maximum_wait_of_its_priority() {
    let now = Instant::now();
    let mut lines = String::new();
    for priority in [Priority::Batch, Priority::Normal, Priority::Interactive] {
        let mut admission = admission(&document(1_000, 1), 1, now);
        admission.submit(request(0, "small", priority, now), now);
        // A short service time lets the next request wait instead of being refused at once.
        admission.finish(0, now);
        admission.submit(request(1, "small", priority, now), now);
        let decision = admission.submit(request(2, "small", priority, now), now);
        let AdmissionDecision::Wait { expires_at } = decision else { panic!("{decision:?}") };
        assert!(admission.expire(expires_at - Duration::from_millis(1)).is_empty());
        assert_eq!(admission.expire(expires_at).len(), 1);
        writeln!(lines, "{priority}: {} ms", (expires_at - now).as_millis()).unwrap();
    }
    insta::assert_snapshot!(lines, @r"
    batch: 5000 ms
    normal: 600 ms
    interactive: 300 ms
    ");
}

/// Runs a flood of `large` beside steady requests of `small`; each request takes 100 ms.
#[test]
fn a_flood_of_one_workspace_does_not_delay_another() {
    let start = Instant::now();
    let document = document(10_000, 1_000);
    let mut admission = admission(&document, 1, start);
    let mut ends: Vec<(Instant, AdmissionId)> = Vec::new();
    let mut waits: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut submitted: BTreeMap<AdmissionId, (&str, Instant)> = BTreeMap::new();
    let mut refused: BTreeMap<&str, u32> = BTreeMap::new();
    let mut id = 0;
    for step_ms in 0..5_000_u64 {
        let now = start + Duration::from_millis(step_ms);
        let mut started = Vec::new();
        for (_, ended) in ends.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            started.extend(admission.finish(ended, now));
        }
        for expired in admission.expire(now) {
            *refused.entry(submitted[&expired.id].0).or_default() += 1;
        }
        let small = (step_ms % 50 == 0).then_some("small");
        for workspace in std::iter::once("large").chain(small) {
            id += 1;
            submitted.insert(id, (workspace, now));
            match admission.submit(request(id, workspace, Priority::Normal, now), now) {
                AdmissionDecision::Start => started.push(id),
                AdmissionDecision::Wait { .. } => {}
                AdmissionDecision::Refuse(_) => *refused.entry(workspace).or_default() += 1,
            }
        }
        for id in started {
            let (workspace, at) = submitted[&id];
            waits.entry(workspace).or_default().push(now - at);
            ends.push((now + Duration::from_millis(100), id));
        }
    }
    let small = waits.get_mut("small").unwrap();
    small.sort_unstable();
    assert_eq!(refused.get("small"), None, "a steady workspace below its share is never refused");
    let p95 = small[small.len() * 95 / 100];
    assert!(p95 <= Duration::from_millis(100), "at most one service time, not {p95:?}");
    assert!(waits["large"].len() > 350, "the flood uses what is left: {}", waits["large"].len());
}

#[derive(Clone, Debug)]
enum Step {
    Submit { workspace: u8, priority: Priority },
    Finish { nth: usize },
    Cancel { nth: usize },
    Advance { ms: u64 },
    Nodes { live_nodes: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    let priority =
        prop_oneof![Just(Priority::Batch), Just(Priority::Normal), Just(Priority::Interactive)];
    prop_oneof![
        5 => (0..3_u8, priority)
            .prop_map(|(workspace, priority)| Step::Submit { workspace, priority }),
        3 => (0..16_usize).prop_map(|nth| Step::Finish { nth }),
        1 => (0..16_usize).prop_map(|nth| Step::Cancel { nth }),
        3 => (0..400_u64).prop_map(|ms| Step::Advance { ms }),
        1 => (1..9_u32).prop_map(|live_nodes| Step::Nodes { live_nodes }),
    ]
}

/// Running and waiting requests as derived from the decisions.
#[derive(Default)]
struct AdmissionModel {
    running: BTreeMap<AdmissionId, String>,
    waiting: BTreeMap<AdmissionId, (String, Instant)>,
}

impl AdmissionModel {
    fn start(&mut self, ids: Vec<AdmissionId>) -> Result<(), TestCaseError> {
        for id in ids {
            let started = self.waiting.remove(&id);
            prop_assert!(started.is_some(), "{} started without waiting", id);
            self.running.insert(id, started.unwrap().0);
        }
        Ok(())
    }

    fn count(&self, workspace: &str) -> usize {
        self.running.values().filter(|running| *running == workspace).count()
    }
}

proptest! {
    #![proptest_config(proptest_config(42))]

    /// Each request gets one decision by its expiry, and no request that starts exceeds a limit.
    #[test]
    fn each_request_gets_one_decision_in_time_and_no_limit_is_exceeded(
        steps in proptest::collection::vec(step(), 1..150),
    ) {
        let mut now = Instant::now();
        let document = document(100_000, WORKSPACE_LIMIT);
        let mut admission = admission(&document, 1, now);
        let mut nodes = 1;
        let mut model = AdmissionModel::default();
        for (id, step) in (0_u64..).zip(steps) {
            let before = model.running.len();
            match step {
                Step::Submit { workspace, priority } => {
                    let name = ["large", "small", "third"][usize::from(workspace)];
                    match admission.submit(request(id, name, priority, now), now) {
                        AdmissionDecision::Start => {
                            model.running.insert(id, name.to_owned());
                        }
                        AdmissionDecision::Wait { expires_at } => {
                            model.waiting.insert(id, (name.to_owned(), expires_at));
                        }
                        AdmissionDecision::Refuse(refusal) => prop_assert!(refusal.retry_at > now),
                    }
                }
                Step::Finish { nth } => {
                    let Some(&ended) = model.running.keys().nth(nth) else { continue };
                    model.running.remove(&ended);
                    model.start(admission.finish(ended, now))?;
                }
                Step::Cancel { nth } => {
                    let Some(&cancelled) = model.waiting.keys().nth(nth) else { continue };
                    model.waiting.remove(&cancelled);
                    prop_assert!(admission.finish(cancelled, now).is_empty());
                }
                Step::Advance { ms } => {
                    now += Duration::from_millis(ms);
                    for refused in admission.expire(now) {
                        let (_, expires_at) = model.waiting.remove(&refused.id).unwrap();
                        prop_assert!(expires_at <= now);
                    }
                    prop_assert!(model.waiting.values().all(|(_, expires_at)| *expires_at > now));
                }
                Step::Nodes { live_nodes } => {
                    nodes = live_nodes;
                    model.start(admission.set_limits(&document, live_nodes, now))?;
                }
            }
            prop_assert_eq!(admission.running(), model.running.len());
            prop_assert_eq!(admission.waiting(), model.waiting.len());
            if model.running.len() > before {
                let factor = AdmissionConfig::default().overcommit_factor;
                let limit = (f64::from(SERVER_CAPACITY) * factor / f64::from(nodes)).ceil();
                prop_assert!(model.running.len() as f64 <= limit);
            }
            let limit = WORKSPACE_LIMIT.div_ceil(nodes) as usize;
            if let Some(workspace) = model.running.get(&id) {
                prop_assert!(model.count(workspace) <= limit, "{}", format_smolstr!("{workspace}"));
            }
        }
    }
}
