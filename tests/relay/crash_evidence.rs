//! Evidence of what crashes servers: merging, bounds, and which keys are refused.

use super::fixture::ms;
use super::proptest_config;
use coriandertide::decision::poison::evidence::{PROBE_RANK, REFUSAL_RANK};
use coriandertide::decision::poison::{CrashEvidence, KeyStrike, RankedKey, SuspectKey, Treatment};
use coriandertide::types::InstanceId;
use proptest::prelude::*;
use smol_str::format_smolstr;
use std::time::{Duration, Instant};

const PREAMBLE: SuspectKey = 1;
const BAD_PART: SuspectKey = 2;
const SOUND_PART: SuspectKey = 3;
const BLOCK_MS: u64 = 30_000;
const LIFETIME_MS: u64 = 3_600_000;

/// Two nodes that hear of each other's strikes at once, in virtual time.
struct Nodes {
    nodes: [CrashEvidence; 2],
    now: Instant,
    crashes: u64,
    requests: SuspectKey,
}

impl Nodes {
    fn new() -> Self {
        Self { nodes: Default::default(), now: Instant::now(), crashes: 0, requests: 1_000 }
    }

    fn wait(&mut self, millis: u64) -> &mut Self {
        self.now += ms(millis);
        self
    }

    /// Returns the keys of a new request with `parts`, as node 0 sends them now.
    fn sent(&mut self, parts: &[SuspectKey]) -> Vec<RankedKey> {
        self.requests += 1;
        self.nodes[0].ranked(&[parts, &[self.requests]].concat(), self.now)
    }

    fn share(&mut self, strikes: &[KeyStrike]) {
        for strike in strikes {
            self.nodes.iter_mut().for_each(|node| {
                node.add(strike.clone(), self.now);
            });
        }
    }

    /// A server crashes while it answers the requests `sent`.
    fn crash(&mut self, sent: &[Vec<RankedKey>]) -> Vec<KeyStrike> {
        self.crashes += 1;
        let server = format_smolstr!("s{}", self.crashes % 40);
        let strikes: Vec<KeyStrike> = sent
            .iter()
            .flat_map(|keys| self.nodes[0].strikes_of_crash(&server, self.crashes, keys, self.now))
            .collect();
        self.share(&strikes);
        strikes
    }

    /// A server crashes that answers a new request with `parts`.
    fn crash_new(&mut self, parts: &[SuspectKey]) -> Vec<KeyStrike> {
        let sent = self.sent(parts);
        self.crash(&[sent])
    }

    fn answer(&mut self, parts: &[SuspectKey]) {
        let cleared = self.nodes[0].acquit(parts, self.now);
        self.share(&cleared);
    }

    fn treatments(&self, keys: &[SuspectKey]) -> [Treatment; 2] {
        [0, 1].map(|node| self.nodes[node].treatment(keys, self.now))
    }

    fn is_refused(&self, keys: &[SuspectKey]) -> bool {
        let is_refusal = |treatment: &Treatment| matches!(treatment, Treatment::Refused { .. });
        let treatments = self.treatments(keys);
        let refusing = treatments.iter().filter(|treatment| is_refusal(treatment)).count();
        assert_ne!(refusing, 1, "the nodes disagree");
        refusing > 0
    }
}

fn strike(key: SuspectKey, server: u64, rank: u32) -> KeyStrike {
    let server = format_smolstr!("s{server}");
    KeyStrike { key, server, incarnation: 1, rank, is_cleared: false, age_ms: 0 }
}

fn any_strike() -> impl Strategy<Value = KeyStrike> {
    (0..3_u64, 0..4_u64, 1..7_u32, prop::bool::weighted(0.2), 0..3_u64).prop_map(
        |(key, server, rank, is_cleared, ages)| KeyStrike {
            is_cleared,
            age_ms: ages * BLOCK_MS,
            ..strike(key, server, rank)
        },
    )
}

proptest! {
    #![proptest_config(proptest_config(0xe71d))]

    #[test]
    fn strikes_in_any_order_and_number_give_the_same_treatment(
        (strikes, deliveries) in prop::collection::vec(any_strike(), 1..30).prop_flat_map(|all| {
            let twice = [all.clone(), all.clone()].concat();
            (Just(all), Just(twice).prop_shuffle())
        }),
        later_ms in 0..LIFETIME_MS,
    ) {
        let now = Instant::now();
        let mut nodes = [CrashEvidence::default(), CrashEvidence::default()];
        strikes.iter().for_each(|strike| { nodes[0].add(strike.clone(), now); });
        deliveries.iter().for_each(|strike| { nodes[1].add(strike.clone(), now); });
        prop_assert!(!deliveries.iter().any(|strike| nodes[1].add(strike.clone(), now)));
        let later = now + ms(later_ms);
        for key in 0..3 {
            prop_assert_eq!(nodes[0].treatment(&[key], later), nodes[1].treatment(&[key], later));
            prop_assert_eq!(nodes[0].ranked(&[key], later), nodes[1].ranked(&[key], later));
        }
        let sorted = |node: &CrashEvidence| {
            let mut strikes = node.strikes(later);
            strikes.sort_unstable();
            strikes
        };
        prop_assert_eq!(sorted(&nodes[0]), sorted(&nodes[1]));
    }

    #[test]
    fn strikes_sent_on_do_not_outlive_those_of_the_first_node(
        strikes in prop::collection::vec(any_strike(), 1..10),
        hops_ms in prop::collection::vec(0..LIFETIME_MS / 4, 1..6),
    ) {
        let mut now = Instant::now();
        let mut first = CrashEvidence::default();
        strikes.iter().for_each(|strike| { first.add(strike.clone(), now); });
        let mut last = first.clone();
        for hop_ms in hops_ms {
            now += ms(hop_ms);
            let received = last.strikes(now);
            last = CrashEvidence::default();
            received.into_iter().for_each(|strike| { last.add(strike, now); });
            for key in 0..3 {
                prop_assert_eq!(last.ranked(&[key], now), first.ranked(&[key], now));
                prop_assert_eq!(last.treatment(&[key], now), first.treatment(&[key], now));
            }
        }
    }
}

/// Guards against unbounded memory, and against refusals that a flood of first strikes evicts.
#[test]
fn tables_are_bounded_and_keep_the_highest_ranks() {
    let mut nodes = Nodes::new();
    nodes.share(&[1, 2, 3].map(|number| strike(BAD_PART, number, number as u32)));
    for number in 0..5_000 {
        nodes.wait(1).share(&[strike(number + 10, 1, 1), strike(PREAMBLE, number, 1)]);
    }
    assert!(nodes.nodes[0].strikes(nodes.now).len() < 4_200);
    assert!(nodes.is_refused(&[BAD_PART]));
    assert_eq!(nodes.treatments(&[PREAMBLE, 5_009]), [Treatment::Normal; 2]);
}

/// Guards against a bad part that goes on crashing servers since no two requests are alike, and
/// against the refusal of its preamble or of a sound sibling with the same preamble.
#[test]
fn a_part_is_refused_after_three_crashes_in_a_chain_and_its_siblings_never() {
    for is_preamble_known in [false, true] {
        let mut nodes = Nodes::new();
        if is_preamble_known {
            nodes.answer(&[PREAMBLE, SOUND_PART]);
            nodes.wait(30_000);
        }
        for crashes in 1..=REFUSAL_RANK {
            nodes.crash_new(&[PREAMBLE, BAD_PART]);
            assert_eq!(nodes.is_refused(&[PREAMBLE, BAD_PART]), crashes == REFUSAL_RANK);
            assert!(!nodes.is_refused(&[PREAMBLE, SOUND_PART]));
            nodes.wait(100).answer(&[PREAMBLE, SOUND_PART]);
        }
        assert_eq!(nodes.treatments(&[PREAMBLE, SOUND_PART]), [Treatment::Normal; 2]);
    }
}

/// Guards against a preamble that is blamed for the crashes of a part that is new to the node,
/// because an unrelated crash gave the preamble a strike before.
#[test]
fn an_earlier_strike_of_the_preamble_does_not_hide_a_new_bad_part() {
    let mut nodes = Nodes::new();
    nodes.answer(&[PREAMBLE, SOUND_PART]);
    nodes.wait(5_000).crash_new(&[PREAMBLE, SOUND_PART]);
    for _ in 0..REFUSAL_RANK {
        nodes.wait(100).crash_new(&[PREAMBLE, BAD_PART]);
        assert!(!nodes.is_refused(&[PREAMBLE, SOUND_PART]));
    }
    assert!(nodes.is_refused(&[PREAMBLE, BAD_PART]));
}

/// Guards against the refusal of a hot prompt when servers are lost for another reason at one
/// moment: half of a service (a zone), or the whole service.
#[test]
fn servers_lost_at_one_moment_refuse_nothing() {
    for lost in [20, 40] {
        let mut nodes = Nodes::new();
        let parts = [PREAMBLE, SOUND_PART];
        let sent: Vec<_> = (0..lost).map(|_| nodes.sent(&parts)).collect();
        sent.iter().for_each(|keys| {
            nodes.wait(20).crash(std::slice::from_ref(keys));
        });
        assert_eq!(nodes.treatments(&parts), [Treatment::Normal; 2]);
    }
}

/// Guards against neighbours on the crashed servers that stay suspects, and against strikes that
/// revive them when they are delivered again.
#[test]
fn neighbours_are_acquitted_by_their_next_answer_for_good() {
    let mut nodes = Nodes::new();
    let mut strikes = Vec::new();
    for _ in 0..PROBE_RANK {
        let sent = [nodes.sent(&[SOUND_PART]), nodes.sent(&[BAD_PART])];
        strikes.extend(nodes.crash(&sent));
    }
    assert_eq!(nodes.treatments(&[SOUND_PART]), [Treatment::Probe; 2]);
    nodes.wait(50).answer(&[SOUND_PART]);
    nodes.share(&strikes);
    assert_eq!(nodes.treatments(&[SOUND_PART]), [Treatment::Normal; 2]);
    assert_eq!(nodes.treatments(&[BAD_PART]), [Treatment::Probe; 2]);
}

/// Guards against a request that was sent while its part was a suspect, and prolongs the chain after
/// the part was acquitted.
#[test]
fn an_acquittal_breaks_the_chain_of_requests_already_sent() {
    let mut nodes = Nodes::new();
    (0..PROBE_RANK).for_each(|_| drop(nodes.crash_new(&[SOUND_PART])));
    let sent = nodes.sent(&[SOUND_PART]);
    nodes.answer(&[SOUND_PART]);
    nodes.wait(2_000).crash(&[sent]);
    assert_eq!(nodes.treatments(&[SOUND_PART]), [Treatment::Normal; 2]);
}

/// Guards against a sound part that stays refused although an answer came after its refusal.
#[test]
fn a_late_acquittal_lifts_the_refusal_at_partners_too() {
    let mut nodes = Nodes::new();
    (0..REFUSAL_RANK).for_each(|_| drop(nodes.crash_new(&[SOUND_PART])));
    assert!(nodes.is_refused(&[SOUND_PART]));
    let strikes = nodes.nodes[1].strikes(nodes.now);
    nodes.wait(5_000).answer(&[SOUND_PART]);
    nodes.share(&strikes);
    assert_eq!(nodes.treatments(&[SOUND_PART]), [Treatment::Normal; 2]);
}

/// Guards against refusals by a rollout, which restarts one server after another while the others
/// answer.
#[test]
fn a_rollout_refuses_nothing() {
    let mut nodes = Nodes::new();
    let parts = [PREAMBLE, SOUND_PART];
    for _ in 0..40 {
        let sent = [nodes.sent(&parts), nodes.sent(&parts)];
        nodes.wait(300).crash(&sent);
        assert!(!nodes.is_refused(&parts));
        nodes.wait(1_200).answer(&parts);
    }
    assert_eq!(nodes.treatments(&parts), [Treatment::Normal; 2]);
}

/// Guards against a part that is never refused because servers with the old weights answered it, and
/// against a refusal that outlives the weights that crash on it.
#[test]
fn a_part_that_crashes_one_revision_is_refused_and_lifted() {
    let mut nodes = Nodes::new();
    let parts = [PREAMBLE, BAD_PART];
    for _ in 0..5 {
        nodes.crash_new(&parts);
        nodes.wait(1_500).answer(&parts);
        assert!(!nodes.is_refused(&parts), "servers with the old weights still answer");
    }
    for _ in 0..4 {
        nodes.wait(500).crash_new(&parts);
        nodes.wait(500).answer(&[PREAMBLE, SOUND_PART]);
    }
    assert!(nodes.is_refused(&parts) && !nodes.is_refused(&[PREAMBLE, SOUND_PART]));
    nodes.answer(&parts);
    assert_eq!(nodes.treatments(&parts), [Treatment::Normal; 2]);
}

/// Guards against a bad part that needs a whole chain of crashes again after its refusal, that is
/// tried as often as before, and against refusals that never end.
#[test]
fn one_more_crash_after_the_block_refuses_for_twice_as_long_until_the_strikes_expire() {
    let mut nodes = Nodes::new();
    (0..REFUSAL_RANK).for_each(|_| drop(nodes.crash_new(&[BAD_PART])));
    for block_ms in [BLOCK_MS, 2 * BLOCK_MS, 4 * BLOCK_MS] {
        let until = nodes.now + ms(block_ms);
        assert_eq!(nodes.treatments(&[BAD_PART]), [Treatment::Refused { until }; 2]);
        nodes.wait(block_ms);
        assert_eq!(nodes.treatments(&[BAD_PART]), [Treatment::Probe; 2]);
        nodes.crash_new(&[BAD_PART]);
    }
    nodes.wait(LIFETIME_MS);
    assert_eq!(nodes.treatments(&[BAD_PART]), [Treatment::Normal; 2]);
}

/// Guards against several nodes that try a part at the same time after its refusal.
#[test]
fn one_of_the_live_nodes_tries_a_part_after_its_refusal() {
    let now = Instant::now();
    let live: Vec<InstanceId> = (0..5).map(|node| format_smolstr!("n{node}")).collect();
    let treatment = |own: &InstanceId, key: SuspectKey| {
        let mut node = CrashEvidence::default();
        node.set_nodes(own, &live);
        (1..=3).for_each(|server| {
            node.add(strike(key, server, REFUSAL_RANK), now);
        });
        node.treatment(&[key], now + Duration::from_secs(3_000))
    };
    for key in 0..20 {
        let trials = live.iter().filter(|own| treatment(own, key) == Treatment::Probe);
        assert_eq!(trials.count(), 1, "key {key}");
    }
}

/// Guards against strikes that arrive after an answer that has cleared their crashes.
#[test]
fn an_answer_clears_strikes_of_earlier_crashes_that_arrive_later() {
    let now = Instant::now();
    let mut node = CrashEvidence::default();
    node.acquit(&[SOUND_PART], now);
    let earlier = KeyStrike { age_ms: 500, ..strike(SOUND_PART, 1, PROBE_RANK) };
    node.add(earlier, now + ms(100));
    assert_eq!(node.treatment(&[SOUND_PART], now + ms(100)), Treatment::Normal);
    node.add(strike(SOUND_PART, 2, PROBE_RANK), now + ms(200));
    assert_eq!(node.treatment(&[SOUND_PART], now + ms(200)), Treatment::Probe);
}

/// Guards against several probes of one part at a node, and against a part that cannot be probed
/// after its probe has ended.
#[test]
fn a_node_probes_a_key_once_at_a_time() {
    let now = Instant::now();
    let mut node = CrashEvidence::default();
    node.add(strike(BAD_PART, 1, PROBE_RANK), now);
    let probe = [PREAMBLE, BAD_PART];
    assert!(node.try_begin_probe(&probe, now));
    assert!(!node.try_begin_probe(&[BAD_PART], now));
    node.add(strike(SOUND_PART, 1, PROBE_RANK), now);
    let sibling = [PREAMBLE, SOUND_PART];
    assert!(node.try_begin_probe(&sibling, now), "the preamble needs no probe");
    node.end_probe(&sibling);
    node.end_probe(&probe);
    assert!(node.try_begin_probe(&[BAD_PART], now));
}

/// Guards against work that is cubic in the keys of a request: the test then runs for minutes.
#[test]
fn crashes_of_requests_with_many_keys_are_judged() {
    const KEYS: u64 = 2_647;
    let now = Instant::now();
    let mut evidence = CrashEvidence::default();
    let keys: Vec<SuspectKey> = (100..100 + KEYS).collect();
    for server in 1..=8 {
        let ranked = evidence.ranked(&keys, now);
        let server_id = format_smolstr!("s{server}");
        for strike in evidence.strikes_of_crash(&server_id, server, &ranked, now) {
            evidence.add(strike, now);
        }
    }
    let all = evidence.refused(&keys, now);
    let treatment = evidence.treatment(&keys, now);
    // Requests with all keys are refused; a single key has others that explain its crashes as well.
    assert!(matches!(treatment, Treatment::Refused { .. }), "{treatment:?}");
    assert!(all.is_empty());
    assert_eq!(evidence.treatment(&[1], now), Treatment::Normal);
}
