//! Power: the draw of the whole site against one ledger that knows everything.

use crate::world::{Clock, FakeLog, config};
use coriandertide::decision::power::{
    PowerAccount, PowerAnswer, PowerCommand, PowerEvent, PowerMessage, PowerRequest, PowerSettings,
    PowerState,
};
use coriandertide::document::{Document, RawDocument};
use coriandertide::types::{InstanceId, Priority, RequestId};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STEP_MS: u64 = 200;
const SERVERS: usize = 3;
const IDLE_WATTS: u64 = 100;
const BUDGETS_WATTS: [u64; 3] = [1_500, 3_300, 900];
const RETENTION_MS: u64 = 150_000;
const CLOCK_PER_MILLE: [u64; 4] = [996, 1_000, 1_004, 999];

fn settings() -> PowerSettings {
    PowerSettings {
        lease_ms: 60_000,
        renew_ms: 10_000,
        repeat_ms: 1_000,
        work_limit_ms: 20_000,
        transit_ms: 2_000,
        ..PowerSettings::default()
    }
}

fn document(budget_watts: u64) -> Arc<Document> {
    let servers: serde_json::Map<_, _> = (0..SERVERS)
        .map(|index| {
            let server = serde_json::json!({
                "address": format!("127.0.0.1:{}", 9_000 + index), "availability_zone": "couva",
                "concurrent_requests": 64, "idle_watts": IDLE_WATTS,
                "request_watts": 30 + 40 * index,
            });
            (format!("server-{index}"), server)
        })
        .collect();
    let site = serde_json::json!({ "budget_watts": budget_watts, "max_nodes": 5 });
    let raw = serde_json::json!({ "servers": servers, "site": site });
    let raw: RawDocument = serde_json::from_value(raw).unwrap();
    Arc::new(Document::try_from(raw).unwrap())
}

#[derive(Clone, Debug)]
enum Op {
    Advance { steps: u64 },
    Start { node: usize, server: usize, work_ms: u64, count: u64 },
    Finish { pick: usize },
    Pause { node: usize, ms: u64 },
    Outage { ms: u64 },
    Partition { node: usize, ms: u64 },
    Restart { node: usize, keeps_address: bool, is_graceful: bool },
    Edit { budget: usize },
    ReadDocument { node: usize },
    Expire,
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..CLOCK_PER_MILLE.len();
    prop_oneof![
        6 => (1..100u64).prop_map(|steps| Op::Advance { steps }),
        12 => (node.clone(), 0..SERVERS, 1_000..20_000u64, 1..30u64).prop_map(
            |(node, server, work_ms, count)| Op::Start { node, server, work_ms, count }),
        3 => any::<usize>().prop_map(|pick| Op::Finish { pick }),
        1 => (node.clone(), 100..90_000u64).prop_map(|(node, ms)| Op::Pause { node, ms }),
        1 => (100..90_000u64).prop_map(|ms| Op::Outage { ms }),
        1 => (node.clone(), 100..90_000u64).prop_map(|(node, ms)| Op::Partition { node, ms }),
        1 => (node.clone(), any::<bool>(), any::<bool>()).prop_map(
            |(node, keeps_address, is_graceful)| Op::Restart { node, keeps_address, is_graceful }),
        1 => (0..BUDGETS_WATTS.len()).prop_map(|budget| Op::Edit { budget }),
        3 => node.prop_map(|node| Op::ReadDocument { node }),
        1 => Just(Op::Expire),
    ]
}

/// Work as the server runs it.
struct Work {
    request: RequestId,
    /// Run of the node process that started it.
    run: InstanceId,
    watts: u64,
    priority: Priority,
    ends_at_ms: u64,
    /// Budget in force where it was started, as last seen by a process that can still cancel it.
    budget_watts: u64,
}

struct Node {
    clock: Clock,
    run: InstanceId,
    address: String,
    state: PowerState,
    account: Arc<PowerAccount>,
    budget: usize,
    paused_until_ms: u64,
    cut_until_ms: u64,
}

struct Mail {
    due_ms: u64,
    from: InstanceId,
    to: InstanceId,
    message: PowerMessage,
}

/// Nodes, log, links and servers, with the ledger of what the servers really run.
struct World {
    now_ms: u64,
    random: fastrand::Rng,
    log: FakeLog,
    nodes: Vec<Node>,
    mail: Vec<Mail>,
    works: Vec<Work>,
    documents: Vec<Arc<Document>>,
    edited: usize,
    counter: u64,
    peak_watts: u64,
    transfers: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            now_ms: 1_000,
            random: fastrand::Rng::with_seed(seed),
            log: FakeLog::default(),
            nodes: Vec::new(),
            mail: Vec::new(),
            works: Vec::new(),
            documents: BUDGETS_WATTS.iter().map(|watts| document(*watts)).collect(),
            edited: 0,
            counter: 0,
            peak_watts: 0,
            transfers: 0,
        };
        let epoch = Instant::now();
        for (index, per_mille) in CLOCK_PER_MILLE.iter().enumerate() {
            let node = world.boot(Clock::new(epoch, *per_mille), format!("10.0.0.{index}:7000"), 0);
            world.nodes.push(node);
        }
        world.announce();
        world
    }

    fn boot(&mut self, clock: Clock, address: String, budget: usize) -> Node {
        self.counter += 1;
        let run = InstanceId::from(format!("run-{}", self.counter));
        let account = Arc::new(PowerAccount::default());
        let now = clock.at(self.now_ms);
        let mut state = PowerState::new(
            run.clone(),
            address.as_str().into(),
            settings(),
            Arc::clone(&account),
            now,
        );
        let document = Arc::clone(&self.documents[budget]);
        assert!(state.apply(PowerEvent::Document(document), now).is_empty());
        Node { clock, run, address, state, account, budget, paused_until_ms: 0, cut_until_ms: 0 }
    }

    /// Tells every node who its partners are.
    fn announce(&mut self) {
        let runs: Vec<InstanceId> = self.nodes.iter().map(|node| node.run.clone()).collect();
        for index in 0..self.nodes.len() {
            let mut partners = runs.clone();
            partners.remove(index);
            let live_nodes = runs.len() as u32;
            self.apply(index, PowerEvent::Membership { partners, live_nodes });
        }
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Advance { steps } => (0..*steps).for_each(|_| self.step()),
            Op::Start { node, server, work_ms, count } => {
                (0..*count).for_each(|_| self.start(*node, *server, *work_ms));
            }
            Op::Finish { pick } if !self.works.is_empty() => {
                let work = self.works.swap_remove(pick % self.works.len());
                self.finish(&work);
            }
            Op::Finish { .. } => {}
            Op::Pause { node, ms } => self.nodes[*node].paused_until_ms = self.now_ms + ms,
            Op::Outage { ms } => self.log.down_until_ms = self.now_ms + ms,
            Op::Partition { node, ms } => self.nodes[*node].cut_until_ms = self.now_ms + ms,
            Op::Restart { node, keeps_address, is_graceful } => {
                self.restart(*node, *keeps_address, *is_graceful);
            }
            Op::Edit { budget } => self.edited = *budget,
            Op::ReadDocument { node } => self.read_document(*node),
            Op::Expire => self.log.expire(self.now_ms.saturating_sub(RETENTION_MS)),
        }
        self.check();
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now_ms < self.nodes[index].paused_until_ms
    }

    /// Starts a request; the server ends it at its deadline at the latest, late by less than the
    /// transit time because the request was under way.
    fn start(&mut self, index: usize, server: usize, work_ms: u64) {
        if self.is_paused(index) {
            return;
        }
        self.counter += 1;
        let node = &self.nodes[index];
        let now = node.clock.at(self.now_ms);
        let start = PowerRequest {
            request: format!("request-{}", self.counter).into(),
            server: format!("server-{server}").into(),
            priority: [Priority::Batch, Priority::Interactive][self.random.usize(..2)],
            work_deadline: now + Duration::from_millis(work_ms),
        };
        if node.account.try_start(&start, now) != PowerAnswer::Started {
            return;
        }
        let late_ms = self.random.u64(..settings().transit_ms * 9 / 10);
        self.works.push(Work {
            request: start.request,
            run: node.run.clone(),
            watts: 30 + 40 * server as u64,
            priority: start.priority,
            ends_at_ms: node.clock.true_ms(start.work_deadline) + late_ms,
            budget_watts: BUDGETS_WATTS[node.budget],
        });
    }

    /// Tells the node, if it still runs, that a request has ended.
    fn finish(&self, work: &Work) {
        if let Some(node) = self.nodes.iter().find(|node| node.run == work.run) {
            node.account.finish(&work.request);
        }
    }

    fn restart(&mut self, index: usize, keeps_address: bool, is_graceful: bool) {
        if is_graceful && !self.is_paused(index) {
            self.apply(index, PowerEvent::Stop);
        }
        let clock = self.nodes[index].clock;
        let mut address = self.nodes[index].address.clone();
        if !keeps_address {
            address = format!("10.0.1.{}:7000", self.counter);
        }
        let node = self.boot(clock, address, self.edited);
        self.nodes[index] = node;
        self.announce();
    }

    fn read_document(&mut self, index: usize) {
        if self.is_paused(index) {
            return;
        }
        let budget = self.edited;
        self.nodes[index].budget = budget;
        let run = self.nodes[index].run.clone();
        for work in self.works.iter_mut().filter(|work| work.run == run) {
            work.budget_watts = BUDGETS_WATTS[budget];
        }
        let document = Arc::clone(&self.documents[budget]);
        self.apply(index, PowerEvent::Document(document));
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.log.advance(self.now_ms);
        self.deliver_mail();
        let now_ms = self.now_ms;
        let (ended, running) =
            std::mem::take(&mut self.works).into_iter().partition(|work| work.ends_at_ms <= now_ms);
        self.works = running;
        ended.iter().for_each(|work| self.finish(work));
        for index in 0..self.nodes.len() {
            if self.is_paused(index) {
                continue;
            }
            let from = self.nodes[index].state.next_offset();
            if let Some(page) = self.log.read(from, now_ms).filter(|_| self.random.u8(..) > 40) {
                self.apply(index, PowerEvent::Page { page, from });
            }
            self.apply(index, PowerEvent::Tick);
        }
        self.check();
    }

    fn deliver_mail(&mut self) {
        let now_ms = self.now_ms;
        let (due, waiting) =
            std::mem::take(&mut self.mail).into_iter().partition(|mail| mail.due_ms <= now_ms);
        self.mail = waiting;
        let mut due: Vec<Mail> = due;
        due.sort_by_key(|mail| mail.due_ms);
        for mail in due {
            let Some(index) = self.nodes.iter().position(|node| node.run == mail.to) else {
                continue;
            };
            let Mail { from, message, .. } = mail;
            self.apply(index, PowerEvent::Message { from, message });
        }
    }

    fn apply(&mut self, index: usize, event: PowerEvent) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now_ms);
        for command in node.state.apply(event, now) {
            let node = &self.nodes[index];
            match command {
                PowerCommand::Append(record) => {
                    let payload = serde_json::to_vec(&record).unwrap();
                    self.log.send(payload, self.now_ms, &mut self.random);
                }
                PowerCommand::Send { to, message } => {
                    let mail = (node.run.clone(), to, message);
                    let is_cut = self.now_ms < node.cut_until_ms;
                    self.send(mail, is_cut);
                }
                PowerCommand::Shed(requests) => {
                    let account = Arc::clone(&node.account);
                    self.shed(&requests, &account);
                }
            }
        }
    }

    /// Sends a message that may be lost, late or doubled.
    fn send(&mut self, (from, to, message): (InstanceId, InstanceId, PowerMessage), is_cut: bool) {
        self.transfers += usize::from(matches!(message, PowerMessage::Grant { .. }));
        let copies = if is_cut { 0 } else { [0, 1, 1, 1, 1, 2][self.random.usize(..6)] };
        for _ in 0..copies {
            let longest_ms = if self.random.u8(..) < 25 { 30_000 } else { 150 };
            let due_ms = self.now_ms + self.random.u64(1..longest_ms);
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.mail.push(Mail { due_ms, from, to, message });
        }
    }

    fn shed(&mut self, requests: &[RequestId], account: &PowerAccount) {
        for request in requests {
            account.finish(request);
            let Some(shed) = self.works.iter().position(|work| work.request == *request) else {
                continue;
            };
            let shed = self.works.swap_remove(shed);
            let mut kept = self.works.iter().filter(|work| work.run == shed.run);
            let later = |work: &Work| !requests.contains(&work.request);
            let is_lowest = kept.all(|work| !later(work) || work.priority >= shed.priority);
            assert!(is_lowest, "{request} was shed before work of lower priority");
        }
    }

    /// The draw is within the largest budget that is in force anywhere, for a node or for work
    /// that a dead node left behind.
    fn check(&mut self) {
        let draw_watts =
            SERVERS as u64 * IDLE_WATTS + self.works.iter().map(|work| work.watts).sum::<u64>();
        let in_force = self.nodes.iter().map(|node| BUDGETS_WATTS[node.budget]);
        let left_behind = self.works.iter().map(|work| work.budget_watts);
        let budget_watts = in_force.chain(left_behind).max().unwrap_or(0);
        self.peak_watts = self.peak_watts.max(draw_watts);
        assert!(
            draw_watts <= budget_watts,
            "{draw_watts} W drawn of {budget_watts} W at {} ms",
            self.now_ms
        );
    }
}

proptest! {
    #![proptest_config(config(52))]

    #[test]
    fn draw_stays_within_the_budget(
        seed in any::<u64>(),
        ops in prop::collection::vec(op(), 1..120),
    ) {
        let mut world = World::new(seed);
        (0..100).for_each(|_| world.step());
        for op in &ops {
            world.run(op);
        }
    }
}

/// One node under load reaches most of the site's power through transfers, within two seconds.
#[test]
fn unused_watts_reach_a_node_that_lacks_them() {
    let mut world = World::new(3);
    (0..200).for_each(|_| world.step());
    let started_at_ms = world.now_ms;
    let allowed_before =
        world.nodes[0].account.allowed_watts(world.nodes[0].clock.at(world.now_ms));
    let wanted_watts = (BUDGETS_WATTS[0] - SERVERS as u64 * IDLE_WATTS) * 9 / 10;
    let drawn = |world: &World| world.works.iter().map(|work| work.watts).sum::<u64>();
    while drawn(&world) < wanted_watts && world.now_ms < started_at_ms + 20_000 {
        (0..40).for_each(|_| world.start(0, 0, 20_000));
        world.step();
    }
    insta::assert_snapshot!(
        format!(
            "allowed before {allowed_before} W, drawn {} W after {} ms",
            drawn(&world),
            world.now_ms - started_at_ms
        ),
        @"allowed before 300 W, drawn 1200 W after 1400 ms"
    );
}

/// The property test means something: without faults the whole budget can be used, and is.
#[test]
fn all_nodes_together_use_the_budget() {
    let mut world = World::new(5);
    for _ in 0..600 {
        (0..4).for_each(|node| (0..10).for_each(|_| world.start(node, 0, 5_000)));
        world.step();
    }
    insta::assert_snapshot!(format!("{} of {} W", world.peak_watts, BUDGETS_WATTS[0]), @"1500 of 1500 W");
}
