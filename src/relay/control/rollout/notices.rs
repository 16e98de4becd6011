//! Notices that the coordinator sends to all nodes: which servers are closed, and which have new
//! weights.

use super::{RolloutControl, ServerChanges};
use crate::decision::relay::received_notices::NoticeOrder;
use crate::links::PartnerMessage;
use crate::links::message::RolloutNotice;
use crate::relay::control::state::ControlState;
use crate::types::{InstanceId, ModelId};
use std::time::{Duration, Instant};

/// Time for which a server stays closed without a further notice.
const CLOSED_PERIOD: Duration = Duration::from_millis(1_200);

/// Period at which the coordinator repeats its notices.
const NOTICE_PERIOD: Duration = Duration::from_millis(250);

/// Minimum time between two notices that are forwarded along a tree of nodes, where each reaches
/// all nodes with the list of all closed servers.
const TREE_NOTICE_GAP: Duration = Duration::from_millis(150);

impl RolloutControl {
    /// Returns a new notice about the rollout of `model` with all unsent changes, `None` without a
    /// rollout or a known lease record.
    pub(super) fn next_notice(&mut self, model: &ModelId) -> Option<RolloutNotice> {
        self.notice_number += 1;
        let changes = self.unsent_changes.remove(model).unwrap_or_default();
        self.build_notice(model, changes)
    }

    fn build_notice(&self, model: &ModelId, changes: ServerChanges) -> Option<RolloutNotice> {
        let rollout = self.rollouts.get(model)?;
        Some(RolloutNotice {
            number: self.notice_number,
            model: model.clone(),
            closed: rollout.closed().cloned().collect(),
            evicted: rollout.evicted().cloned().collect(),
            changed: changes.changed,
            reopened: changes.reopened,
            lease: self.lease.known()?.clone(),
        })
    }
}

impl ControlState {
    /// Applies the reopened servers in `changes` and the currently closed ones, and announces them.
    /// On a tree of nodes the notice may wait for the changes of the next moments.
    pub(super) fn announce_changes(
        &mut self,
        model: &ModelId,
        changes: ServerChanges,
        now: Instant,
    ) {
        if let Some(notice) = self.rollout.build_notice(model, changes.clone()) {
            self.apply_notice_locally(&notice, now);
        }
        let unsent = self.rollout.unsent_changes.entry(model.clone()).or_default();
        unsent.changed.extend(changes.changed);
        unsent.reopened.extend(changes.reopened);
        let due_at = match self.rollout.notice_sent_at {
            Some(sent_at) if self.loads.is_tree() => sent_at + TREE_NOTICE_GAP,
            _ => now,
        };
        self.rollout.next_notice_at = self.rollout.next_notice_at.min(due_at);
        if due_at <= now {
            self.send_notices(now);
        }
    }

    /// Applies and sends a notice for each rollout.
    pub(super) fn send_notices(&mut self, now: Instant) {
        self.rollout.next_notice_at = now + NOTICE_PERIOD;
        self.rollout.notice_sent_at = Some(now);
        let models: Vec<ModelId> = self.rollout.rollouts.keys().cloned().collect();
        for model in models {
            let Some(notice) = self.rollout.next_notice(&model) else { continue };
            self.apply_notice_locally(&notice, now);
            self.broadcast(None, &PartnerMessage::Rollout(notice));
        }
    }

    /// Applies a notice received from a partner. On a tree of nodes it is also forwarded, since the
    /// coordinator has links to some nodes only: it sends each notice over all its links, so that
    /// the parts of a broken tree get it too.
    pub(in crate::relay::control) fn receive_rollout_notice(
        &mut self,
        source: &InstanceId,
        mut notice: RolloutNotice,
        now: Instant,
    ) {
        if notice.lease.holder == self.rollout.instance {
            return;
        }
        match self.rollout.received_notices.record(notice.lease.number, notice.number) {
            NoticeOrder::Duplicate => return,
            NoticeOrder::Newest => {}
            NoticeOrder::Late => {
                // Its changes are still valid, but a newer notice says which servers are closed.
                notice.closed.clear();
                notice.evicted.clear();
            }
        }
        self.apply_rollout_notice(&notice, now);
        if self.loads.is_tree() {
            self.send_along_tree(Some(source), &PartnerMessage::Rollout(notice));
        }
    }

    fn apply_rollout_notice(&mut self, notice: &RolloutNotice, now: Instant) {
        let known = self.rollout.lease.known().map_or(0, |record| record.number);
        if notice.lease.number < known {
            log::info!("event=rollout_notice_ignored number={} known={known}", notice.lease.number);
            return;
        }
        self.rollout.lease.observe(notice.lease.clone(), now);
        self.rollout.last_notice_at = Some(now);
        self.rollout.last_coordinator = Some(notice.lease.holder.clone());
        self.apply_notice_locally(notice, now);
        if !self.loads.is_tree() {
            // The coordinator waits for the end of the requests at closed servers.
            self.send_load(now);
        }
    }

    /// Applies a notice to this node's servers.
    pub(super) fn apply_notice_locally(&self, notice: &RolloutNotice, now: Instant) {
        let mut fleet = self.context.fleet();
        for (id, revision) in &notice.changed {
            fleet.set_weights(id, &notice.model, *revision);
        }
        for (id, _) in &notice.changed {
            if let Some(server) = fleet.server_mut(id) {
                server.reopen();
            }
        }
        for id in &notice.reopened {
            if let Some(server) = fleet.server_mut(id) {
                server.reopen_unresponsive(now);
            }
        }
        for id in &notice.closed {
            if let Some(server) = fleet.server_mut(id) {
                server.close_until(now + CLOSED_PERIOD, notice.evicted.contains(id));
            }
        }
    }
}
