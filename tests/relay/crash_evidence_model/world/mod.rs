//! Nodes, servers, links and requests in virtual time.

mod links;
mod repeats;
mod requests;

use crate::fixture::ms;
use coriandertide::decision::poison::{CrashEvidence, KeyStrike, RankedKey, SuspectKey};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

const NODES: usize = 20;
const SLOTS: usize = 48;
const ZONES: usize = 3;
const END_MS: u64 = 30_000;
const MAX_ATTEMPTS: u32 = 3;
/// When the nodes of an earlier build restart with the present one.
const UPDATE_MS: u64 = 15_000;
/// Time after a restart or an isolation in which a node need not know of crashes yet.
const CONTACT_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Bad requests among cut links, restarts and losses of servers and zones.
    Disturbed,
    /// Like `Disturbed`, with some nodes that neither send nor understand strikes.
    EarlierBuilds,
    /// Losses of servers and zones, no bad requests.
    LossesOnly,
    /// Requests that come again at any node until they are answered, among the same disturbances.
    Repeated(Repeats),
}

/// Requests that their callers repeat, all at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Repeats {
    /// Callers that repeat the same bad request.
    pub bad_callers: usize,
    /// Callers that each repeat a sound request with the same home server.
    pub companions: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Bad,
    /// A sound request with the preamble of the bad ones.
    Sibling,
    Unrelated,
    /// A sound request that is repeated together with a bad one.
    Companion,
}

/// What became of a request's first attempt.
pub struct Arrival {
    pub at: u64,
    pub kind: Kind,
    pub has_begun: bool,
    pub is_refused: bool,
}

struct Request {
    node: usize,
    /// Number of restarts of the node when the request arrived.
    restarts: u32,
    kind: Kind,
    keys: Vec<SuspectKey>,
    attempts: u32,
    is_probe: bool,
    /// Index of its arrival, if the node is in touch and knows of strikes.
    arrival: Option<usize>,
    /// Number of the caller that repeats it.
    repeated_by: Option<usize>,
}

/// An attempt of a request at an incarnation of a server.
#[derive(Clone)]
struct Run {
    request: usize,
    server: usize,
    incarnation: u64,
    sent: Vec<RankedKey>,
}

enum Event {
    Arrive,
    /// A caller sends its request again.
    Repeat(usize),
    /// A request waits for a free slot.
    Retry(usize),
    Reach(Run),
    Begin(Run),
    Complete(Run),
    Cut(Run),
    Lose {
        servers: Vec<usize>,
    },
    ServerUp(usize),
    NodeDown(usize),
    NodeUp(usize),
    /// A link is cut or opened, or all links of a node.
    Link {
        node: usize,
        other: Option<usize>,
        is_cut: bool,
    },
    Deliver {
        from: usize,
        to: usize,
        strikes: Rc<[KeyStrike]>,
    },
}

#[derive(Default)]
struct Node {
    evidence: CrashEvidence,
    is_down: bool,
    restarts: u32,
    is_earlier_build: bool,
    isolations: u32,
    /// When the node last restarted or was connected again.
    connected_at: Option<u64>,
}

#[derive(Default)]
struct Server {
    incarnation: u64,
    is_down: bool,
    runs: Vec<Run>,
}

pub struct World {
    rng: Rng,
    scenario: Scenario,
    /// When the first bad requests arrive and the first servers are lost.
    disturbed_from: u64,
    start: Instant,
    at: u64,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// Number of reasons for which the link between two nodes is cut.
    cuts: [[u32; NODES]; NODES],
    requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    /// Attempts with the bad part that reached servers, sent by nodes in touch.
    pub bad_runs_at: Vec<u64>,
    pub bad_crashes_at: Vec<u64>,
    pub other_crashes_at: Vec<u64>,
    /// Callers whose repeated request was answered.
    pub answered_callers: BTreeSet<usize>,
}

impl World {
    pub fn run(seed: u64, scenario: Scenario, servers: usize, disturbed_from: u64) -> Self {
        let mut world = Self {
            rng: Rng::with_seed(seed),
            scenario,
            disturbed_from,
            start: Instant::now(),
            at: 0,
            events: BTreeMap::new(),
            number: 0,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            cuts: [[0; NODES]; NODES],
            requests: Vec::new(),
            arrivals: Vec::new(),
            bad_runs_at: Vec::new(),
            bad_crashes_at: Vec::new(),
            other_crashes_at: Vec::new(),
            answered_callers: BTreeSet::new(),
        };
        world.plan();
        while let Some(((at, _), event)) = world.events.pop_first() {
            world.at = at;
            world.handle(event);
        }
        world
    }

    fn plan(&mut self) {
        if self.scenario == Scenario::EarlierBuilds {
            for node in 0..3 {
                self.nodes[node].is_earlier_build = true;
                self.schedule_at(UPDATE_MS, Event::NodeDown(node));
            }
        }
        if let Scenario::Repeated(repeats) = self.scenario {
            for caller in 0..repeats.bad_callers + repeats.companions {
                self.schedule_at(self.disturbed_from, Event::Repeat(caller));
            }
        }
        for _ in 0..END_MS / 15 {
            let at = self.rng.u64(0..END_MS);
            self.schedule_at(at, Event::Arrive);
        }
        for _ in 0..8 {
            let at = self.rng.u64(self.disturbed_from..END_MS);
            let servers = vec![self.rng.usize(0..self.servers.len())];
            self.schedule_at(at, Event::Lose { servers });
        }
        let (at, zone) = (self.rng.u64(self.disturbed_from..END_MS), self.rng.usize(0..ZONES));
        let servers = (0..self.servers.len()).filter(|server| server % ZONES == zone).collect();
        self.schedule_at(at, Event::Lose { servers });
        for _ in 0..60 {
            let (node, other) = (self.rng.usize(0..NODES), self.rng.usize(0..NODES));
            self.plan_cut(node, Some(other));
        }
        for _ in 0..2 {
            let node = self.rng.usize(0..NODES);
            self.plan_cut(node, None);
            let (node, at) = (self.rng.usize(0..NODES), self.rng.u64(0..END_MS));
            self.schedule_at(at, Event::NodeDown(node));
        }
    }

    fn plan_cut(&mut self, node: usize, other: Option<usize>) {
        let from = self.rng.u64(0..END_MS);
        let until = from + self.rng.u64(500..6_000);
        self.schedule_at(from, Event::Link { node, other, is_cut: true });
        self.schedule_at(until, Event::Link { node, other, is_cut: false });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Repeat(caller) => self.repeat(caller),
            Event::Retry(index) if self.requests[index].attempts > 0 => self.resend(index),
            Event::Retry(index) => self.admit(index),
            Event::Reach(run) => self.reach(run),
            Event::Begin(run) => self.begin(run),
            Event::Complete(run) => self.complete(run),
            Event::Cut(run) => self.cut(run),
            Event::Lose { servers } => {
                self.other_crashes_at.push(self.at);
                servers.into_iter().for_each(|server| self.crash(server));
            }
            Event::ServerUp(server) => self.servers[server].is_down = false,
            Event::NodeDown(node) => self.stop_node(node),
            Event::NodeUp(node) => {
                self.nodes[node].is_down = false;
                self.nodes[node].connected_at = Some(self.at);
                (0..NODES).for_each(|other| self.greet(node, other));
            }
            Event::Link { node, other, is_cut } => self.set_link(node, other, is_cut),
            Event::Deliver { from, to, strikes } => self.deliver(from, to, &strikes),
        }
    }

    fn is_running(&self, run: &Run) -> bool {
        let server = &self.servers[run.server];
        server.incarnation == run.incarnation
            && server.runs.iter().any(|other| other.request == run.request)
    }

    fn is_current(&self, index: usize) -> bool {
        let request = &self.requests[index];
        self.nodes[request.node].restarts == request.restarts
    }

    fn now(&self) -> Instant {
        self.start + ms(self.at)
    }

    fn schedule(&mut self, delay_ms: std::ops::Range<u64>, event: Event) {
        let at = self.at + self.rng.u64(delay_ms);
        self.schedule_at(at, event);
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }
}
