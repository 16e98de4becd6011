//! Rollouts over simulated servers that load, wait for requests, lose orders and carry them out
//! late.

use super::fixture::ms;
use coriandertide::decision::relay::rollout::{
    Rollout, RolloutCommand, RolloutServer, RolloutSettings, RunPolicy, WeightsOrderOutcome,
    WeightsReport,
};
use coriandertide::types::{ServerId, ServiceId};
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const LOAD_MS: u64 = 420;
const REPORT_LAG_MS: u64 = 200;

/// Simulated server; it loads once its requests have ended.
#[derive(Clone, Debug)]
struct SimulatedServer {
    service: ServiceId,
    revision: u64,
    accepted_orders: u64,
    runs_end_at: Instant,
    load: Option<(Instant, u64)>,
    closed_since: Option<Instant>,
    history: Vec<(Instant, u64, u64, bool)>,
    late_orders: Vec<(Instant, u64, u64)>,
    is_unresponsive: bool,
    rejected_ms: u64,
}

struct Simulation {
    start: Instant,
    servers: BTreeMap<ServerId, SimulatedServer>,
    closed: BTreeSet<ServerId>,
    max_closed: usize,
    /// Most servers of a service that were closed at once.
    max_closed_of_service: BTreeMap<ServiceId, usize>,
    believed: BTreeMap<ServerId, u64>,
    ordered: u32,
    lose_every: Option<u32>,
    keep_orders: u32,
}

impl Simulation {
    fn new(count: u16, start: Instant) -> Self {
        let server = SimulatedServer {
            service: "models".into(),
            revision: 1,
            accepted_orders: 0,
            runs_end_at: start,
            load: None,
            closed_since: None,
            history: vec![(start, 1, 0, false)],
            late_orders: Vec::new(),
            is_unresponsive: false,
            rejected_ms: 0,
        };
        let ids = (0..count).map(|index| format_smolstr!("s{index}"));
        let servers: BTreeMap<_, _> = ids.map(|id| (id, server.clone())).collect();
        Self {
            start,
            believed: servers.keys().map(|id| (id.clone(), 1)).collect(),
            servers,
            closed: BTreeSet::new(),
            max_closed: 0,
            max_closed_of_service: BTreeMap::new(),
            ordered: 0,
            lose_every: None,
            keep_orders: 0,
        }
    }

    fn accept(server: &mut SimulatedServer, revision: u64, expected: u64, now: Instant) -> bool {
        if server.accepted_orders != expected || server.load.is_some() {
            return false;
        }
        server.accepted_orders += 1;
        server.load = Some((server.runs_end_at.max(now) + ms(LOAD_MS), revision));
        true
    }

    fn advance(&mut self, now: Instant) {
        for (id, server) in &mut self.servers {
            let due: Vec<_> =
                server.late_orders.iter().copied().filter(|(at, ..)| *at <= now).collect();
            server.late_orders.retain(|(at, ..)| *at > now);
            for (_, revision, expected) in due {
                Self::accept(server, revision, expected, now);
            }
            if let Some((at, revision)) = server.load
                && now >= at
            {
                server.revision = revision;
                server.load = None;
            }
            // An open server has a request that lasts half a second; a closed one gets no more.
            if self.closed.contains(id) {
                server.closed_since.get_or_insert(now);
            } else {
                server.closed_since = None;
                server.runs_end_at = now + ms(500);
                if server.load.is_some() {
                    server.rejected_ms += 5;
                }
            }
            let state = (now, server.revision, server.accepted_orders, server.load.is_some());
            server.history.push(state);
        }
        self.max_closed = self.max_closed.max(self.closed.len());
        let mut closed = BTreeMap::<ServiceId, usize>::new();
        for id in &self.closed {
            *closed.entry(self.servers[id].service.clone()).or_default() += 1;
        }
        for (service, closed) in closed {
            let most = self.max_closed_of_service.entry(service).or_default();
            *most = closed.max(*most);
        }
    }

    fn view(&self, revision: u64, now: Instant) -> Vec<RolloutServer> {
        let live = self.servers.iter().filter(|(_, server)| !server.is_unresponsive);
        live.map(|(id, server)| RolloutServer {
            id: id.clone(),
            service: server.service.clone(),
            revision: self.believed[id],
            requests: u32::from(now < server.runs_end_at),
            outdated_since: (self.believed[id] < revision).then_some(self.start),
        })
        .collect()
    }

    fn report(&self, id: &ServerId, now: Instant) -> Option<WeightsReport> {
        let server = &self.servers[id];
        if server.is_unresponsive {
            return None;
        }
        let reported_at = now.checked_sub(ms(REPORT_LAG_MS)).unwrap_or(self.start);
        let (_, revision, accepted_orders, is_busy) = *server
            .history
            .iter()
            .rev()
            .find(|(at, ..)| *at <= reported_at)
            .unwrap_or(&server.history[0]);
        Some(WeightsReport { weights: [("m".into(), revision)].into(), is_busy, accepted_orders })
    }

    /// Simulates `length` of the rollout; returns when all responsive servers have loaded
    /// `revision`.
    fn run(&mut self, rollout: &mut Rollout, revision: u64, length: Duration) -> Option<Duration> {
        let mut done_at = None;
        let mut now = self.start;
        while now < self.start + length {
            self.advance(now);
            let view = self.view(revision, now);
            let mut queue = rollout.tick(&view, now);
            while let Some(command) = (!queue.is_empty()).then(|| queue.remove(0)) {
                queue.extend(self.carry_out(rollout, command, now));
            }
            let live = self.servers.values().filter(|server| !server.is_unresponsive);
            let all_loaded = live.clone().all(|server| server.revision >= revision);
            if all_loaded && self.closed.is_empty() {
                done_at.get_or_insert(now - self.start);
            }
            now += ms(5);
        }
        done_at
    }

    fn carry_out(
        &mut self,
        rollout: &mut Rollout,
        command: RolloutCommand,
        now: Instant,
    ) -> Vec<RolloutCommand> {
        match command {
            RolloutCommand::Close(id) => {
                self.closed.insert(id);
                Vec::new()
            }
            RolloutCommand::Evict(id) => {
                self.servers.get_mut(&id).unwrap().runs_end_at = now;
                Vec::new()
            }
            RolloutCommand::Report(id) => {
                let report = self.report(&id, now);
                rollout.on_report(&id, report.as_ref(), now)
            }
            RolloutCommand::Order { server: id, accepted_orders, runs } => {
                self.ordered += 1;
                self.keep_orders += u32::from(runs == RunPolicy::Keep);
                let revision = rollout.revision();
                let is_lost =
                    self.lose_every.is_some_and(|every| self.ordered.is_multiple_of(every));
                let server = self.servers.get_mut(&id).unwrap();
                if is_lost {
                    server.late_orders.push((now + ms(3_000), revision, accepted_orders));
                    return rollout.on_order_outcome(&id, WeightsOrderOutcome::Unknown, now);
                }
                let accepted = Self::accept(server, revision, accepted_orders, now);
                let outcome = if accepted {
                    WeightsOrderOutcome::Accepted
                } else {
                    WeightsOrderOutcome::Conflict
                };
                rollout.on_order_outcome(&id, outcome, now)
            }
            RolloutCommand::Finish { server, revision } => {
                self.closed.remove(&server);
                self.believed.insert(server, revision);
                Vec::new()
            }
            RolloutCommand::Abandon(id) => {
                self.closed.remove(&id);
                Vec::new()
            }
        }
    }
}

fn rollout() -> Rollout {
    Rollout::new(RolloutSettings::default(), "m".into(), 2)
}

#[test]
fn twelve_servers_load_within_four_seconds_with_at_most_a_third_closed() {
    let mut simulation = Simulation::new(12, Instant::now());
    let took = simulation.run(&mut rollout(), 2, ms(8_000)).unwrap();
    assert!(took < ms(4_000), "{took:?}");
    assert!(simulation.max_closed <= 4, "{}", simulation.max_closed);
    assert_eq!((simulation.ordered, simulation.keep_orders), (12, 0));
}

#[test]
fn a_single_server_is_updated() {
    let mut simulation = Simulation::new(1, Instant::now());
    assert!(simulation.run(&mut rollout(), 2, ms(4_000)).is_some());
}

/// Guards against a service all of whose servers are closed at once, since the servers of another service
/// with the same model count as the open ones.
#[test]
fn each_service_keeps_half_of_its_servers_open() {
    let mut simulation = Simulation::new(7, Instant::now());
    for index in 4..7 {
        let server = simulation.servers.get_mut(&format_smolstr!("s{index}")).unwrap();
        server.service = "other".into();
    }
    assert!(simulation.run(&mut rollout(), 2, ms(8_000)).is_some());
    let expected = [("models".into(), 2), ("other".into(), 2)];
    assert_eq!(simulation.max_closed_of_service, expected.into());
}

#[test]
fn no_open_server_loads() {
    let mut simulation = Simulation::new(12, Instant::now());
    simulation.run(&mut rollout(), 2, ms(8_000));
    let rejected: u64 = simulation.servers.values().map(|server| server.rejected_ms).sum();
    assert_eq!(rejected, 0);
}

/// Servers leave half of the orders unanswered and carry them out seconds later.
#[test]
fn all_servers_are_updated_despite_lost_and_late_orders() {
    let mut simulation = Simulation::new(12, Instant::now());
    simulation.lose_every = Some(2);
    let took = simulation.run(&mut rollout(), 2, ms(12_000)).unwrap();
    assert!(took < ms(8_000), "{took:?}");
    assert!(simulation.servers.values().all(|server| server.revision == 2));
}

/// A quarter of the servers is unresponsive and must not block the batches of the others.
#[test]
fn unresponsive_servers_do_not_block_the_others() {
    let mut simulation = Simulation::new(12, Instant::now());
    for index in 0..3 {
        simulation.servers.get_mut(&format_smolstr!("s{index}")).unwrap().is_unresponsive = true;
    }
    let took = simulation.run(&mut rollout(), 2, ms(8_000)).unwrap();
    assert!(took < ms(4_000), "{took:?}");
}

#[test]
fn a_newer_revision_replaces_the_running_rollout() {
    let mut simulation = Simulation::new(12, Instant::now());
    let mut rollout = rollout();
    assert_eq!(simulation.run(&mut rollout, 9, ms(1_000)), None);
    rollout.retarget(3);
    simulation.start += ms(1_000);
    let took = simulation.run(&mut rollout, 3, ms(8_000)).unwrap();
    assert!(took < ms(6_000), "{took:?}");
    assert!(simulation.servers.values().all(|server| server.revision == 3));
}
