//! Admission: limits of workspaces, early refusal, and a flood that leaves the others alone.

use super::proptest_config;
use coriandertide::decision::admission::{
    Admission, AdmissionConfig, AdmissionRequest, RefusalReason, Ticket, Verdict,
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
const WORKSPACE_RUNNING: u32 = 6;
const SERVER_RUNNING: u32 = 8;

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
            "concurrent_requests": SERVER_RUNNING,
            "idle_watts": 1,
            "request_watts": 1,
        } },
        "site": { "budget_watts": 100, "max_nodes": 4 },
    }))
    .unwrap();
    Document::try_from(raw).unwrap()
}

fn request(ticket: Ticket, workspace: &str, priority: Priority, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
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
        for ticket in 0..2_000 {
            let now = start + Duration::from_millis(ticket * 5);
            let verdict = admission.offer(request(ticket, "large", Priority::Normal, now), now);
            if verdict == Verdict::Start {
                started += 1;
                admission.finish(ticket, now);
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
fn refusals_say_when_to_come_back() {
    let now = Instant::now();
    let mut admission = admission(&document(1, 1_000), 1, now);
    let verdicts: Vec<Verdict> = (0..3)
        .map(|ticket| admission.offer(request(ticket, "small", Priority::Normal, now), now))
        .collect();
    let Verdict::Refuse(refusal) = &verdicts[2] else { panic!("{verdicts:?}") };
    assert_eq!(refusal.reason, RefusalReason::RequestRate);
    assert_eq!(refusal.retry_at, now + Duration::from_secs(1));
    let again = request(3, "small", Priority::Normal, refusal.retry_at);
    assert_eq!(admission.offer(again, refusal.retry_at), Verdict::Start);
    let stranger = admission.offer(request(4, "nobody", Priority::Normal, now), now);
    assert!(matches!(
        stranger,
        Verdict::Refuse(refusal) if refusal.reason == RefusalReason::UnknownWorkspace
    ));
}

#[test]
fn a_wait_ends_after_the_longest_wait_of_its_priority() {
    let now = Instant::now();
    let mut lines = String::new();
    for priority in [Priority::Batch, Priority::Normal, Priority::Interactive] {
        let mut admission = admission(&document(1_000, 1), 1, now);
        admission.offer(request(0, "small", priority, now), now);
        // A short service time lets the next request wait instead of being refused at once.
        admission.finish(0, now);
        admission.offer(request(1, "small", priority, now), now);
        let verdict = admission.offer(request(2, "small", priority, now), now);
        let Verdict::Wait { until } = verdict else { panic!("{verdict:?}") };
        assert!(admission.expire(until - Duration::from_millis(1)).is_empty());
        assert_eq!(admission.expire(until).len(), 1);
        writeln!(lines, "{priority}: {} ms", (until - now).as_millis()).unwrap();
    }
    insta::assert_snapshot!(lines, @r"
    batch: 5000 ms
    normal: 600 ms
    interactive: 300 ms
    ");
}

/// Runs a flood of `large` beside steady calls of `small`; each request takes 100 ms.
#[test]
fn a_flood_of_one_workspace_leaves_the_others_alone() {
    let start = Instant::now();
    let document = document(10_000, 1_000);
    let mut admission = admission(&document, 1, start);
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    let mut waits: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut offered: BTreeMap<Ticket, (&str, Instant)> = BTreeMap::new();
    let mut refused: BTreeMap<&str, u32> = BTreeMap::new();
    let mut ticket = 0;
    for step_ms in 0..5_000_u64 {
        let now = start + Duration::from_millis(step_ms);
        let mut started = Vec::new();
        for (_, ended) in ends.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            started.extend(admission.finish(ended, now));
        }
        for expired in admission.expire(now) {
            *refused.entry(offered[&expired.ticket].0).or_default() += 1;
        }
        let small = (step_ms % 50 == 0).then_some("small");
        for workspace in std::iter::once("large").chain(small) {
            ticket += 1;
            offered.insert(ticket, (workspace, now));
            match admission.offer(request(ticket, workspace, Priority::Normal, now), now) {
                Verdict::Start => started.push(ticket),
                Verdict::Wait { .. } => {}
                Verdict::Refuse(_) => *refused.entry(workspace).or_default() += 1,
            }
        }
        for ticket in started {
            let (workspace, at) = offered[&ticket];
            waits.entry(workspace).or_default().push(now - at);
            ends.push((now + Duration::from_millis(100), ticket));
        }
    }
    let small = waits.get_mut("small").unwrap();
    small.sort_unstable();
    assert_eq!(refused.get("small"), None, "a steady workspace below its share is never refused");
    let p95 = small[small.len() * 95 / 100];
    assert!(p95 <= Duration::from_millis(100), "one service time at most, not {p95:?}");
    assert!(waits["large"].len() > 350, "the flood uses what is left: {}", waits["large"].len());
}

#[derive(Clone, Debug)]
enum Step {
    Offer { workspace: u8, priority: Priority },
    Finish { nth: usize },
    Leave { nth: usize },
    Advance { ms: u64 },
    Nodes { live_nodes: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    let priority =
        prop_oneof![Just(Priority::Batch), Just(Priority::Normal), Just(Priority::Interactive)];
    prop_oneof![
        5 => (0..3_u8, priority).prop_map(|(workspace, priority)| Step::Offer { workspace, priority }),
        3 => (0..16_usize).prop_map(|nth| Step::Finish { nth }),
        1 => (0..16_usize).prop_map(|nth| Step::Leave { nth }),
        3 => (0..400_u64).prop_map(|ms| Step::Advance { ms }),
        1 => (1..9_u32).prop_map(|live_nodes| Step::Nodes { live_nodes }),
    ]
}

/// Everything that a ledger with full knowledge keeps of one run.
#[derive(Default)]
struct Ledger {
    running: BTreeMap<Ticket, String>,
    waiting: BTreeMap<Ticket, (String, Instant)>,
}

impl Ledger {
    fn start(&mut self, tickets: Vec<Ticket>) -> Result<(), TestCaseError> {
        for ticket in tickets {
            let started = self.waiting.remove(&ticket);
            prop_assert!(started.is_some(), "{} started without waiting", ticket);
            self.running.insert(ticket, started.unwrap().0);
        }
        Ok(())
    }

    fn count(&self, workspace: &str) -> usize {
        self.running.values().filter(|running| *running == workspace).count()
    }
}

proptest! {
    #![proptest_config(proptest_config(42))]

    /// Each request gets one verdict by the time it was told, and no limit is ever exceeded by a
    /// request that starts.
    #[test]
    fn each_request_gets_one_verdict_in_time_and_no_limit_is_exceeded(
        steps in proptest::collection::vec(step(), 1..150),
    ) {
        let mut now = Instant::now();
        let document = document(100_000, WORKSPACE_RUNNING);
        let mut admission = admission(&document, 1, now);
        let mut nodes = 1;
        let mut ledger = Ledger::default();
        for (ticket, step) in (0_u64..).zip(steps) {
            let before = ledger.running.len();
            match step {
                Step::Offer { workspace, priority } => {
                    let name = ["large", "small", "third"][usize::from(workspace)];
                    match admission.offer(request(ticket, name, priority, now), now) {
                        Verdict::Start => {
                            ledger.running.insert(ticket, name.to_owned());
                        }
                        Verdict::Wait { until } => {
                            ledger.waiting.insert(ticket, (name.to_owned(), until));
                        }
                        Verdict::Refuse(refusal) => prop_assert!(refusal.retry_at > now),
                    }
                }
                Step::Finish { nth } => {
                    let Some(&ended) = ledger.running.keys().nth(nth) else { continue };
                    ledger.running.remove(&ended);
                    ledger.start(admission.finish(ended, now))?;
                }
                Step::Leave { nth } => {
                    let Some(&left) = ledger.waiting.keys().nth(nth) else { continue };
                    ledger.waiting.remove(&left);
                    prop_assert!(admission.finish(left, now).is_empty());
                }
                Step::Advance { ms } => {
                    now += Duration::from_millis(ms);
                    for refused in admission.expire(now) {
                        let (_, until) = ledger.waiting.remove(&refused.ticket).unwrap();
                        prop_assert!(until <= now);
                    }
                    prop_assert!(ledger.waiting.values().all(|(_, until)| *until > now));
                }
                Step::Nodes { live_nodes } => {
                    nodes = live_nodes;
                    ledger.start(admission.set_limits(&document, live_nodes, now))?;
                }
            }
            prop_assert_eq!(admission.running(), ledger.running.len());
            prop_assert_eq!(admission.waiting(), ledger.waiting.len());
            if ledger.running.len() > before {
                let factor = AdmissionConfig::default().running_factor;
                let most = (f64::from(SERVER_RUNNING) * factor / f64::from(nodes)).ceil();
                prop_assert!(ledger.running.len() as f64 <= most);
            }
            let own = WORKSPACE_RUNNING.div_ceil(nodes) as usize;
            if let Some(workspace) = ledger.running.get(&ticket) {
                prop_assert!(ledger.count(workspace) <= own, "{}", format_smolstr!("{workspace}"));
            }
        }
    }
}
