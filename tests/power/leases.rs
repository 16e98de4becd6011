//! Property test of leases: despite pauses, restarts, log outages and drifting clocks, a lease must
//! not have two holders, and no order of an earlier holder may apply after one of a later holder.

use crate::proptest_config;
use crate::world::{Clock, FakeLog};
use coriandertide::decision::leases::{
    LeaseCommand, LeaseEvent, LeaseKind, LeaseSettings, LeaseState,
};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;

const KIND: LeaseKind = LeaseKind::Placement;
const STEP_MS: u64 = 200;
/// Retention of the log: records younger than this never expire.
const RETENTION_MS: u64 = 120_000;
/// Rates of the nodes' clocks, in thousandths of true time.
const CLOCK_RATES_PER_MILLE: [u64; 3] = [996, 1_000, 1_004];

#[derive(Clone, Debug)]
enum Op {
    Advance { steps: u64 },
    Pause { node: usize, ms: u64 },
    Outage { ms: u64 },
    Restart { node: usize, is_graceful: bool },
    Expire,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (1..100u64).prop_map(|steps| Op::Advance { steps }),
        2 => (0..3usize, 100..200_000u64).prop_map(|(node, ms)| Op::Pause { node, ms }),
        1 => (100..30_000u64).prop_map(|ms| Op::Outage { ms }),
        1 => (0..3usize, any::<bool>())
            .prop_map(|(node, is_graceful)| Op::Restart { node, is_graceful }),
        1 => Just(Op::Expire),
    ]
}

struct Node {
    clock: Clock,
    state: LeaseState,
    paused_until_ms: u64,
}

#[derive(Clone, Copy)]
struct Order {
    fencing_number: u64,
    arrives_at_ms: u64,
    checks_fencing: bool,
}

/// Three nodes, the log, and two engines, of which only one checks fencing numbers.
struct World {
    settings: LeaseSettings,
    now_ms: u64,
    random: fastrand::Rng,
    log: FakeLog,
    nodes: Vec<Node>,
    restarts: u64,
    orders: Vec<Order>,
    highest_fencing_number: u64,
    /// Fencing numbers of applied orders: index 1 for the engine that checks them, 0 for the other.
    applied_fencing_numbers: [Vec<u64>; 2],
    acquisitions: usize,
}

impl World {
    fn new(seed: u64, lease_ms: u64) -> Self {
        let settings = LeaseSettings { lease_ms, ..LeaseSettings::default() };
        let epoch = Instant::now();
        let nodes = CLOCK_RATES_PER_MILLE.iter().enumerate().map(|(index, per_mille)| Node {
            clock: Clock::new(epoch, *per_mille),
            state: new_state(index, 0, settings),
            paused_until_ms: 0,
        });
        Self {
            settings,
            now_ms: 1_000,
            random: fastrand::Rng::with_seed(seed),
            log: FakeLog::default(),
            nodes: nodes.collect(),
            restarts: 0,
            orders: Vec::new(),
            highest_fencing_number: 0,
            applied_fencing_numbers: [Vec::new(), Vec::new()],
            acquisitions: 0,
        }
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Advance { steps } => (0..*steps).for_each(|_| self.step()),
            Op::Pause { node, ms } => self.nodes[*node].paused_until_ms = self.now_ms + ms,
            Op::Outage { ms } => self.log.down_until_ms = self.now_ms + ms,
            Op::Expire => self.log.expire(self.now_ms.saturating_sub(RETENTION_MS)),
            Op::Restart { node, is_graceful } => {
                if *is_graceful && self.now_ms >= self.nodes[*node].paused_until_ms {
                    self.apply(*node, LeaseEvent::Stop);
                }
                self.restarts += 1;
                self.nodes[*node].state = new_state(*node, self.restarts, self.settings);
                self.nodes[*node].paused_until_ms = 0;
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.log.advance(self.now_ms);
        for index in 0..self.nodes.len() {
            if self.now_ms < self.nodes[index].paused_until_ms {
                continue;
            }
            let from_offset = self.nodes[index].state.next_offset();
            if let Some(page) =
                self.log.read(from_offset, self.now_ms).filter(|_| self.random.u8(..) > 40)
            {
                self.apply(index, LeaseEvent::Page { page, from_offset });
            }
            self.apply(index, LeaseEvent::Tick);
            self.send_orders(index);
        }
        self.deliver_orders();
        self.check_holders();
    }

    fn apply(&mut self, index: usize, event: LeaseEvent) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now_ms);
        for command in node.state.apply(event, now) {
            match command {
                LeaseCommand::Append(record) => {
                    let payload = serde_json::to_vec(&record).unwrap();
                    self.log.send(payload, self.now_ms, &mut self.random);
                }
                LeaseCommand::Acquired { .. } => self.acquisitions += 1,
                LeaseCommand::Lost { .. } => {}
            }
        }
    }

    /// Sends an order to each engine. An order may take as long as the settings allow, and much
    /// longer to the engine that checks fencing numbers.
    fn send_orders(&mut self, index: usize) {
        let node = &self.nodes[index];
        let now = node.clock.at(self.now_ms);
        let Some(held) = node.state.held(KIND, now) else { return };
        let order_transit_ms = LeaseSettings::default().order_transit_ms * 9 / 10;
        for (checks_fencing, max_transit_ms) in [(true, 60_000), (false, order_transit_ms)] {
            if !checks_fencing && now < held.unfenced_orders_allowed_at {
                continue;
            }
            let arrives_at_ms = self.now_ms + self.random.u64(0..max_transit_ms);
            let fencing_number = held.fencing_number;
            self.orders.push(Order { fencing_number, arrives_at_ms, checks_fencing });
        }
    }

    fn deliver_orders(&mut self) {
        let now_ms = self.now_ms;
        let mut due: Vec<Order> =
            self.orders.iter().copied().filter(|order| order.arrives_at_ms <= now_ms).collect();
        self.orders.retain(|order| order.arrives_at_ms > now_ms);
        due.sort_by_key(|order| order.arrives_at_ms);
        for order in due {
            if order.checks_fencing && order.fencing_number < self.highest_fencing_number {
                continue;
            }
            if order.checks_fencing {
                self.highest_fencing_number = order.fencing_number;
            }
            self.applied_fencing_numbers[usize::from(order.checks_fencing)]
                .push(order.fencing_number);
        }
    }

    /// Counts paused nodes as well: they may resume at any moment.
    fn check_holders(&self) {
        let holders = self
            .nodes
            .iter()
            .filter(|node| node.state.held(KIND, node.clock.at(self.now_ms)).is_some())
            .count();
        assert!(holders <= 1, "{holders} holders at {} ms", self.now_ms);
    }

    fn check_orders(&self) {
        for applied in &self.applied_fencing_numbers {
            assert!(applied.is_sorted(), "an old holder's order took effect: {applied:?}");
        }
    }
}

fn new_state(index: usize, restarts: u64, settings: LeaseSettings) -> LeaseState {
    let mut state = LeaseState::new(format!("node-{index}-{restarts}").into(), settings);
    let desired = BTreeSet::from([KIND]);
    assert_eq!(state.apply(LeaseEvent::Desired(desired), Instant::now()), Vec::new());
    state
}

proptest! {
    #![proptest_config(proptest_config(51))]

    #[test]
    fn at_most_one_holder_and_orders_in_fencing_order(
        seed in any::<u64>(),
        lease_ms in prop_oneof![Just(10_000u64), Just(150_000u64)],
        ops in prop::collection::vec(op(), 1..60),
    ) {
        let mut world = World::new(seed, lease_ms);
        for op in &ops {
            world.run(op);
            world.check_orders();
        }
        // Without an outage the lease is acquired and both engines get orders, so the checks above
        // are not vacuous.
        world.log.down_until_ms = 0;
        let both_engines_ordered =
            |world: &World| world.applied_fencing_numbers.iter().all(|applied| !applied.is_empty());
        for _ in 0..4_000 {
            if both_engines_ordered(&world) {
                break;
            }
            world.step();
        }
        world.check_orders();
        prop_assert!(world.acquisitions > 0 && both_engines_ordered(&world));
    }
}

#[test]
fn takeover_after_a_crash_waits_until_the_lease_lapses() {
    let mut world = World::new(7, 10_000);
    (0..50).for_each(|_| world.step());
    let holder_before_crash = world
        .nodes
        .iter()
        .position(|node| node.state.held(KIND, node.clock.at(world.now_ms)).is_some());
    let holder_before_crash = holder_before_crash.unwrap();
    let crashed_at_ms = world.now_ms;
    world.nodes[holder_before_crash].paused_until_ms = u64::MAX;
    while !world.nodes.iter().enumerate().any(|(index, node)| {
        index != holder_before_crash && node.state.held(KIND, node.clock.at(world.now_ms)).is_some()
    }) {
        world.step();
    }
    let takeover_ms = world.now_ms - crashed_at_ms;
    insta::assert_snapshot!(takeover_ms, @"7200");
}
