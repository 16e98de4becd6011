//! Weight rollouts on the control thread. The node that holds the rollout lease coordinates them.

mod lease;
mod notices;
mod orders;

use super::state::ControlState;
use crate::decision::relay::received_notices::ReceivedNotices;
use crate::decision::relay::rollout::{Rollout, RolloutServer, RolloutSettings};
use crate::decision::relay::server::Server;
use crate::decision::relay::{Fleet, RegisterLease};
use crate::types::{InstanceId, ModelId, ServerId, StoreEra, WeightsRevision};
use std::collections::BTreeMap;
use std::time::Instant;

/// Servers that a coordinator has reopened.
#[derive(Clone, Debug, Default)]
struct ServerChanges {
    /// Servers that have switched weights, with the new revision.
    changed: Vec<(ServerId, WeightsRevision)>,
    /// Servers that did not answer.
    reopened: Vec<ServerId>,
}

/// State of rollouts at one node.
pub(super) struct RolloutControl {
    instance: InstanceId,
    lease: RegisterLease,
    rollouts: BTreeMap<ModelId, Rollout>,
    /// Since when a rollout has been needed, `None` if none is.
    needed_since: Option<Instant>,
    /// When a notice of another coordinator last arrived.
    last_notice_at: Option<Instant>,
    last_coordinator: Option<InstanceId>,
    /// When the notices are next repeated.
    next_notice_at: Instant,
    /// When the last notice of this node was sent, `None` before the first.
    notice_sent_at: Option<Instant>,
    /// Changes that the next notice of each rollout announces.
    unsent_changes: BTreeMap<ModelId, ServerChanges>,
    /// Number of the last notice of this node.
    notice_number: u64,
    received_notices: ReceivedNotices,
    /// When the pending call to the lease register times out, `None` if no call is pending.
    register_call_until: Option<Instant>,
    /// Earliest time of the next attempt to acquire the lease.
    next_acquire_at: Instant,
}

impl RolloutControl {
    /// Returns the state of a node without rollouts.
    pub(super) fn new(instance: InstanceId, lease_ms: u64) -> Self {
        let now = Instant::now();
        Self {
            lease: RegisterLease::new(instance.clone(), lease_ms),
            instance,
            rollouts: BTreeMap::new(),
            needed_since: None,
            last_notice_at: None,
            last_coordinator: None,
            next_notice_at: now,
            notice_sent_at: None,
            unsent_changes: BTreeMap::new(),
            notice_number: 0,
            received_notices: ReceivedNotices::default(),
            register_call_until: None,
            next_acquire_at: now,
        }
    }

    /// Whether a rollout is needed or under way.
    pub(super) fn is_active(&self) -> bool {
        self.needed_since.is_some() || !self.rollouts.is_empty()
    }

    /// Records the era of the store, in which leases of earlier ones end by their deadlines.
    pub(super) fn observe_era(&mut self, era: StoreEra, now: Instant) {
        self.lease.observe_era(era, now);
    }

    /// Whether this node coordinates rollouts.
    pub(super) fn is_coordinator(&self) -> bool {
        !self.rollouts.is_empty()
    }

    /// Drops the lease and all rollouts.
    pub(super) fn drop_lease(&mut self) {
        self.lease.drop_lease();
        self.end_rollouts();
    }

    fn end_rollouts(&mut self) {
        self.rollouts.clear();
        self.unsent_changes.clear();
    }
}

impl ControlState {
    /// Starts, advances and ends rollouts, acquiring or renewing the lease as needed.
    pub(super) fn tick_rollouts(&mut self, now: Instant) {
        let models: Vec<ModelId> = self.targets.keys().cloned().collect();
        let outdated: Vec<ModelId> =
            models.into_iter().filter(|model| self.has_outdated_servers(model)).collect();
        if outdated.is_empty() && self.rollout.rollouts.values().all(|r| r.closed().count() == 0) {
            if !self.rollout.unsent_changes.is_empty() {
                self.send_notices(now);
            }
            self.rollout.needed_since = None;
            self.rollout.end_rollouts();
            return;
        }
        self.rollout.needed_since.get_or_insert(now);
        if self.has_lost_servers() {
            self.hand_over_rollouts();
            return;
        }
        if self.rollout.lease.fencing_number(now).is_none() {
            self.rollout.end_rollouts();
            self.try_acquire_lease(now);
            return;
        }
        if self.rollout.lease.is_renewal_due(now) {
            self.replace_register(now);
        }
        for model in outdated {
            self.start_or_retarget(&model);
        }
        let running: Vec<ModelId> = self.rollout.rollouts.keys().cloned().collect();
        for model in running {
            let servers = self.rollout_servers(&model);
            let Some(rollout) = self.rollout.rollouts.get_mut(&model) else { continue };
            let commands = rollout.tick(&servers, now);
            self.execute(&model, commands, now);
        }
        if now >= self.rollout.next_notice_at {
            self.send_notices(now);
        }
    }

    /// Whether this node has lost the servers of a model with target weights.
    fn has_lost_servers(&self) -> bool {
        let lost = self.context.reach().lost_services();
        let fleet = self.context.fleet();
        let mut servers = fleet
            .servers()
            .filter(|server| self.targets.keys().any(|model| server.weights.contains_key(model)));
        !lost.is_empty() && servers.any(|server| lost.contains(&server.entry.service))
    }

    /// Leaves rollouts to nodes that reach the servers.
    fn hand_over_rollouts(&mut self) {
        if self.rollout.is_coordinator() {
            log::warn!("event=rollout_handed_over reason=servers_lost");
        }
        self.rollout.drop_lease();
        self.rollout.last_coordinator = None;
    }

    /// Whether a server has weights older than the target of `model`.
    fn has_outdated_servers(&self, model: &ModelId) -> bool {
        let Some(target) = self.targets.get(model) else { return false };
        let fleet = self.context.fleet();
        fleet
            .servers()
            .any(|server| is_eligible(&fleet, server) && has_older_weights(server, model, *target))
    }

    fn rollout_servers(&self, model: &ModelId) -> Vec<RolloutServer> {
        let now = Instant::now();
        let fleet = self.context.fleet();
        let target = fleet.targets().get(model);
        let servers = fleet.servers().filter(|server| is_eligible(&fleet, server));
        servers
            .filter_map(|server| {
                let revision = *server.weights.get(model)?;
                Some(RolloutServer {
                    id: server.entry.id.clone(),
                    service: server.entry.service.clone(),
                    revision,
                    requests: server.total_load(now).requests,
                    outdated_since: target.and_then(|target| target.outdated_since(revision)),
                })
            })
            .collect()
    }

    /// Starts a rollout of the target weights of `model`, or sets the target of the running one.
    fn start_or_retarget(&mut self, model: &ModelId) {
        let Some(target) = self.context.fleet().targets().get(model).cloned() else { return };
        let revision = target.revision();
        match self.rollout.rollouts.get_mut(model) {
            Some(rollout) => rollout.retarget(revision),
            None => {
                log::info!("event=rollout_started model={model} revision={revision}");
                let settings = if self.loads.is_tree() {
                    RolloutSettings::for_many_nodes()
                } else {
                    RolloutSettings::default()
                };
                let rollout = Rollout::new(settings, model.clone(), revision);
                self.rollout.rollouts.insert(model.clone(), rollout);
            }
        }
    }
}

/// Whether a server takes part in rollouts. One that does not answer, or has asked for a pause, is
/// updated once it accepts requests.
fn is_eligible(fleet: &Fleet, server: &Server) -> bool {
    let now = Instant::now();
    let is_available = server.suspended_until(now).is_none() && server.paused_until(now).is_none();
    is_available && fleet.is_in_service(server) && !server.is_entry_missing()
}

fn has_older_weights(server: &Server, model: &ModelId, revision: WeightsRevision) -> bool {
    server.weights.get(model).is_some_and(|loaded| *loaded < revision)
}
