//! Sends and receives load messages.

use super::state::ControlState;
use crate::decision::relay::load_exchange::RelayLoad;
use crate::links::PartnerMessage;
use crate::types::InstanceId;
use std::time::Instant;

impl ControlState {
    /// Sends the load to the neighbours if a round is due.
    pub(super) fn tick_loads(&mut self, now: Instant) {
        if self.loads.start_round_if_due(self.rollout.is_active(), now) {
            self.send_load(now);
        }
    }

    /// Sends the load to the neighbours that do not have it yet.
    pub(super) fn send_load(&mut self, now: Instant) {
        let mut fleet = self.context.fleet();
        self.loads.queue_new_prefixes(&mut fleet);
        let peers: Vec<InstanceId> = self.loads.neighbours().cloned().collect();
        let mut messages = Vec::with_capacity(peers.len());
        for peer in peers.into_iter().filter(|peer| self.partners.has_link(peer)) {
            if let Some(load) = self.loads.next_message(&peer, &fleet, now) {
                messages.push((peer, load));
            }
        }
        drop(fleet);
        for (peer, load) in messages {
            self.partners.send(&peer, &PartnerMessage::RelayLoad(load));
        }
    }

    /// Applies a load received from a partner.
    pub(super) fn apply_load(&mut self, peer: &InstanceId, load: &RelayLoad, now: Instant) {
        let live_nodes = u32::try_from(self.partners.live_nodes().len()).unwrap_or(u32::MAX);
        let mut fleet = self.context.fleet();
        let received = self.loads.receive(peer, load, live_nodes, &mut fleet, now);
        drop(fleet);
        match received {
            Ok(changes) => {
                for (server, change) in changes {
                    log::info!("event=server_{change} server={server} told_by={peer}");
                }
                if self.loads.is_tree() {
                    self.tick_loads(now);
                }
            }
            Err(reason) => {
                log::debug!("event=load_ignored peer={peer} reason={reason} nodes={}", load.nodes);
            }
        }
    }
}
