//! Other nodes by way of which requests reach servers that this node has lost.

use super::peer_node::PeerNode;
use crate::types::{AvailabilityZone, InstanceId, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which the answer of a node is believed.
const ANSWER_LIFETIME: Duration = Duration::from_millis(1_500);

/// Nodes of the own availability zone, and as many of others, that are asked in one round.
const ASKED_NODES: usize = 4;

/// Requests that a node of another availability zone must have fewer to be preferred.
const CROSS_ZONE_COST: f64 = 2.0;

/// Processor that a node without a stated one counts with, in percent of a core.
const DEFAULT_PROCESSOR_PERCENT: u32 = 100;

/// What a node says of its links to servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReachAnswer {
    /// Services among those asked for whose servers it reaches.
    #[serde(rename = "s")]
    pub reached: Vec<ServiceId>,
    /// Requests of other nodes that it is sending on.
    #[serde(rename = "f")]
    pub forwarded: u32,
}

#[derive(Clone, Debug)]
struct Gateway {
    node: PeerNode,
    answer: ReachAnswer,
    expires_at: Instant,
    /// Requests of this node that it is sending on.
    in_flight: u32,
    /// The same when it answered, which its own count includes.
    in_flight_at_answer: u32,
}

impl Gateway {
    /// Returns the requests of other nodes that it is sending on, by what it can carry.
    fn load(&self) -> f64 {
        let others = self.answer.forwarded.saturating_sub(self.in_flight_at_answer);
        let percent = match self.node.processor_percent {
            0 => DEFAULT_PROCESSOR_PERCENT,
            percent => percent,
        };
        f64::from(others + self.in_flight) * f64::from(DEFAULT_PROCESSOR_PERCENT)
            / f64::from(percent)
    }
}

/// Nodes that may send requests on.
#[derive(Clone, Debug, Default)]
pub struct Gateways {
    own_zone: AvailabilityZone,
    /// Other live nodes: those of the own availability zone first.
    near: Vec<PeerNode>,
    far: Vec<PeerNode>,
    gateways: BTreeMap<InstanceId, Gateway>,
    /// Rounds in which nodes were asked.
    rounds: usize,
}

impl Gateways {
    /// Returns the state of a node in an availability zone.
    pub fn new(own_zone: AvailabilityZone) -> Self {
        Self { own_zone, ..Self::default() }
    }

    /// Sets the other live nodes. Each node asks them in another order, so that the requests of
    /// several nodes without servers spread.
    pub fn set_nodes(&mut self, own: &InstanceId, mut nodes: Vec<PeerNode>) {
        let seed = xxh3_64(own.as_bytes());
        nodes.sort_by_key(|node| xxh3_64(node.instance.as_bytes()) ^ seed);
        let live: BTreeSet<&InstanceId> = nodes.iter().map(|node| &node.instance).collect();
        self.gateways.retain(|instance, _| live.contains(instance));
        (self.near, self.far) =
            nodes.into_iter().partition(|node| node.availability_zone == self.own_zone);
    }

    /// Returns the nodes that are asked in this round: those that reach servers, and some others.
    pub fn asked_nodes(&mut self, now: Instant) -> Vec<SocketAddr> {
        let known = self.gateways.values().filter(|gateway| now < gateway.expires_at);
        let mut asked: Vec<SocketAddr> =
            known.take(2 * ASKED_NODES).map(|gateway| gateway.node.address).collect();
        for nodes in [&self.near, &self.far] {
            let start = self.rounds * ASKED_NODES;
            for offset in 0..ASKED_NODES.min(nodes.len()) {
                let address = nodes[(start + offset) % nodes.len()].address;
                if !asked.contains(&address) {
                    asked.push(address);
                }
            }
        }
        self.rounds = self.rounds.wrapping_add(1);
        asked
    }

    /// Records the answer of the node at `address`; returns its id if it reaches servers and did not
    /// before.
    pub fn record_answer(
        &mut self,
        address: SocketAddr,
        answer: ReachAnswer,
        now: Instant,
    ) -> Option<InstanceId> {
        let mut nodes = self.near.iter().chain(&self.far);
        let node = nodes.find(|node| node.address == address)?.clone();
        let instance = node.instance.clone();
        let known = self.gateways.get(&instance);
        let was_gateway = known.is_some_and(|known| now < known.expires_at);
        let in_flight = known.map_or(0, |known| known.in_flight);
        let is_gateway = !answer.reached.is_empty();
        let expires_at = if is_gateway { now + ANSWER_LIFETIME } else { now };
        let gateway =
            Gateway { node, answer, expires_at, in_flight, in_flight_at_answer: in_flight };
        self.gateways.insert(instance.clone(), gateway);
        (is_gateway && !was_gateway).then_some(instance)
    }

    /// Returns the node by way of which a request reaches a service, other than those in `tried`:
    /// the least loaded one, rather of the own availability zone.
    pub fn choose(
        &self,
        service: &ServiceId,
        tried: &[InstanceId],
        now: Instant,
    ) -> Option<PeerNode> {
        let usable = self.gateways.values().filter(|gateway| {
            now < gateway.expires_at
                && gateway.answer.reached.contains(service)
                && !tried.contains(&gateway.node.instance)
        });
        let cost = |gateway: &Gateway| {
            let is_near = gateway.node.availability_zone == self.own_zone;
            gateway.load() + if is_near { 0.0 } else { CROSS_ZONE_COST }
        };
        let best = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map(|gateway| gateway.node.clone())
    }

    /// Records that a request is sent by way of a node.
    pub fn begin_request(&mut self, instance: &InstanceId) {
        if let Some(gateway) = self.gateways.get_mut(instance) {
            gateway.in_flight += 1;
        }
    }

    /// Records that a request by way of a node has ended.
    pub fn end_request(&mut self, instance: &InstanceId) {
        if let Some(gateway) = self.gateways.get_mut(instance) {
            gateway.in_flight = gateway.in_flight.saturating_sub(1);
        }
    }

    /// Records that a node cannot be reached or has refused a request, so that others come first
    /// until it answers again.
    pub fn record_failure(&mut self, instance: &InstanceId, now: Instant) {
        if let Some(gateway) = self.gateways.get_mut(instance) {
            gateway.expires_at = now;
        }
    }
}
