//! Links between nodes, and restarts of nodes.

use super::{CONTACT_MS, Event, NODES, Node, Run, UPDATE_MS, World};
use coriandertide::decision::poison::{CrashEvidence, KeyStrike};
use std::rc::Rc;

impl World {
    pub(super) fn stop_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.is_down {
            return;
        }
        node.is_down = true;
        node.restarts += 1;
        node.is_earlier_build &= self.at < UPDATE_MS;
        node.evidence = CrashEvidence::default();
        let is_cut = |run: &Run| self.requests[run.request].node == index;
        let runs = self
            .servers
            .iter_mut()
            .flat_map(|server| server.runs.extract_if(.., |run| is_cut(run)));
        let cut: Vec<usize> = runs.map(|run| run.request).collect();
        cut.into_iter().for_each(|request| self.fail(request));
        self.schedule(500..2_000, Event::NodeUp(index));
    }

    pub(super) fn set_link(&mut self, node: usize, other: Option<usize>, is_cut: bool) {
        let change =
            |count: &mut u32| *count = count.wrapping_add_signed(if is_cut { 1 } else { -1 });
        if other.is_none() {
            change(&mut self.nodes[node].isolations);
            self.nodes[node].connected_at = Some(self.at);
        }
        for other in other.map_or(0..NODES, |other| other..other + 1) {
            change(&mut self.cuts[node][other]);
            change(&mut self.cuts[other][node]);
            self.greet(node, other);
        }
    }

    /// Both ends of a new link send all of their strikes.
    pub(super) fn greet(&mut self, node: usize, other: usize) {
        let now = self.now();
        for (from, to) in [(node, other), (other, node)] {
            let strikes = self.nodes[from].evidence.strikes(now);
            self.transmit(from, to, &strikes.into());
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, strikes: &[KeyStrike]) {
        let now = self.now();
        let node = &mut self.nodes[to];
        if node.is_down {
            return;
        }
        let is_new = |strike: &&KeyStrike| node.evidence.add((*strike).clone(), now);
        let strikes: Vec<KeyStrike> = strikes.iter().filter(is_new).cloned().collect();
        self.broadcast(to, Some(from), &strikes);
    }

    pub(super) fn broadcast(&mut self, from: usize, source: Option<usize>, strikes: &[KeyStrike]) {
        let strikes = strikes.into();
        let partners = (0..NODES).filter(|partner| Some(*partner) != source);
        partners.for_each(|partner| self.transmit(from, partner, &strikes));
    }

    pub(super) fn transmit(&mut self, from: usize, to: usize, strikes: &Rc<[KeyStrike]>) {
        let is_deaf = |node: &Node| node.is_earlier_build || node.is_down;
        let is_cut =
            self.cuts[from][to] > 0 || [from, to].iter().any(|end| is_deaf(&self.nodes[*end]));
        if from != to && !is_cut && !strikes.is_empty() {
            self.schedule(1..60, Event::Deliver { from, to, strikes: Rc::clone(strikes) });
        }
    }

    /// Whether a node is up, and connected to others, for so long that it must know of crashes.
    pub(super) fn is_in_touch(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.isolations == 0 && node.connected_at.is_none_or(|at| self.at > at + CONTACT_MS)
    }
}
