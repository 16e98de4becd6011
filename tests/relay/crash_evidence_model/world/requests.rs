//! Course of requests: admission, attempts, answers and crashes.

use super::{Arrival, Event, Kind, Request, Run, Scenario, World};
use super::{MAX_ATTEMPTS, NODES, SLOTS};
use coriandertide::decision::poison::evidence::PROBE_RANK;
use coriandertide::decision::poison::{SuspectKey, Treatment};
use smol_str::format_smolstr;

impl World {
    pub(super) fn arrive(&mut self) {
        let node = self.rng.usize(0..NODES);
        if self.nodes[node].is_down {
            return;
        }
        let kind = match self.rng.u32(0..100) {
            0..8 if self.has_bad_arrivals() => Kind::Bad,
            0..25 => Kind::Sibling,
            _ => Kind::Unrelated,
        };
        let whole = 1_000 + self.requests.len() as u64;
        let keys = match kind {
            Kind::Bad => vec![1, 2, whole],
            Kind::Sibling => vec![1, self.rng.u64(3..9), whole],
            Kind::Unrelated | Kind::Companion => vec![self.rng.u64(10..30), whole],
        };
        let arrival = (!self.nodes[node].is_earlier_build && self.is_in_touch(node)).then(|| {
            let (at, has_begun, is_refused) = (self.at, false, false);
            self.arrivals.push(Arrival { at, kind, has_begun, is_refused });
            self.arrivals.len() - 1
        });
        self.receive(node, kind, keys, arrival, None);
    }

    fn has_bad_arrivals(&self) -> bool {
        let is_disturbed = self.at >= self.disturbed_from;
        is_disturbed && matches!(self.scenario, Scenario::Disturbed | Scenario::EarlierBuilds)
    }

    pub(super) fn receive(
        &mut self,
        node: usize,
        kind: Kind,
        keys: Vec<SuspectKey>,
        arrival: Option<usize>,
        repeated_by: Option<usize>,
    ) {
        let restarts = self.nodes[node].restarts;
        self.requests.push(Request {
            node,
            restarts,
            kind,
            keys,
            attempts: 0,
            is_probe: false,
            arrival,
            repeated_by,
        });
        self.admit(self.requests.len() - 1);
    }

    /// Sends a request that has just arrived, unless it is refused or must wait for a probe.
    pub(super) fn admit(&mut self, index: usize) {
        if !self.is_current(index) {
            return self.fail(index);
        }
        let now = self.now();
        let request = &mut self.requests[index];
        let node = &mut self.nodes[request.node];
        if !node.is_earlier_build {
            match node.evidence.treatment(&request.keys, now) {
                Treatment::Normal => {}
                Treatment::Probe => {
                    if !node.evidence.try_begin_probe(&request.keys, now) {
                        return self.fail(index);
                    }
                    request.is_probe = true;
                }
                Treatment::Refused { .. } | Treatment::Waits { .. } => {
                    if let Some(arrival) = request.arrival {
                        self.arrivals[arrival].is_refused = true;
                    }
                    return self.fail(index);
                }
            }
        }
        self.send(index);
    }

    pub(super) fn send(&mut self, index: usize) {
        let is_free = |server: &usize| {
            !self.servers[*server].is_down && self.servers[*server].runs.len() < SLOTS
        };
        let free: Vec<usize> = (0..self.servers.len()).filter(is_free).collect();
        let is_repeated = self.requests[index].repeated_by.is_some();
        let home = free.first().filter(|_| is_repeated).copied();
        let Some(server) = home.or_else(|| self.rng.choice(&free).copied()) else {
            self.end_probe(index);
            return self.schedule(100..101, Event::Retry(index));
        };
        let now = self.now();
        let request = &mut self.requests[index];
        request.attempts += 1;
        let sent = self.nodes[request.node].evidence.ranked(&request.keys, now);
        let incarnation = self.servers[server].incarnation;
        let run = Run { request: index, server, incarnation, sent };
        self.schedule(1..20, Event::Reach(run));
    }

    pub(super) fn reach(&mut self, run: Run) {
        let server = &mut self.servers[run.server];
        if server.is_down || server.incarnation != run.incarnation {
            // Nothing answers the request, so that the end of the server is no strike.
            return self.resend(run.request);
        }
        server.runs.push(run.clone());
        let request = &self.requests[run.request];
        let node = &self.nodes[request.node];
        if request.kind == Kind::Bad && !node.is_earlier_build && self.is_in_touch(request.node) {
            self.bad_runs_at.push(self.at);
        }
        self.schedule(30..300, Event::Begin(run));
    }

    pub(super) fn begin(&mut self, run: Run) {
        if !self.is_running(&run) {
            return;
        }
        let request = &self.requests[run.request];
        if request.kind == Kind::Bad {
            self.bad_crashes_at.push(self.at);
            if self.nodes[request.node].is_earlier_build {
                self.other_crashes_at.push(self.at);
            }
            return self.crash(run.server);
        }
        if let Some(arrival) = request.arrival.filter(|_| request.attempts == 1) {
            self.arrivals[arrival].has_begun = true;
        }
        self.schedule(100..3_000, Event::Complete(run));
    }

    pub(super) fn complete(&mut self, run: Run) {
        if !self.is_running(&run) {
            return;
        }
        self.servers[run.server].runs.retain(|other| other.request != run.request);
        self.end_probe(run.request);
        self.answered_callers.extend(self.requests[run.request].repeated_by);
        let now = self.now();
        let request = &self.requests[run.request];
        let node = request.node;
        if !self.nodes[node].is_earlier_build {
            let cleared = self.nodes[node].evidence.acquit(&request.keys, now);
            self.broadcast(node, None, &cleared);
        }
    }

    pub(super) fn crash(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if state.is_down {
            return;
        }
        state.is_down = true;
        state.incarnation += 1;
        for run in std::mem::take(&mut state.runs) {
            self.schedule(1..100, Event::Cut(run));
        }
        self.schedule(1_000..4_000, Event::ServerUp(server));
    }

    /// A node has noticed that a server crashed on a request, and checked it.
    pub(super) fn cut(&mut self, run: Run) {
        if !self.is_current(run.request) {
            return self.fail(run.request);
        }
        self.end_probe(run.request);
        let now = self.now();
        let index = self.requests[run.request].node;
        let node = &mut self.nodes[index];
        if !node.is_earlier_build {
            let server = format_smolstr!("s{}", run.server);
            let mut strikes =
                node.evidence.strikes_of_crash(&server, run.incarnation, &run.sent, now);
            strikes.retain(|strike| node.evidence.add(strike.clone(), now));
            self.broadcast(index, None, &strikes);
        }
        self.resend(run.request);
    }

    pub(super) fn resend(&mut self, index: usize) {
        let request = &self.requests[index];
        let node = &self.nodes[request.node];
        let mut ranks = node.evidence.ranked(&request.keys, self.now()).into_iter();
        if self.is_current(index)
            && request.attempts < MAX_ATTEMPTS
            && ranks.all(|key| key.rank < PROBE_RANK)
        {
            self.send(index);
        } else {
            self.end_probe(index);
            self.fail(index);
        }
    }

    pub(super) fn end_probe(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if std::mem::take(&mut request.is_probe) {
            self.nodes[request.node].evidence.end_probe(&request.keys);
        }
    }
}
