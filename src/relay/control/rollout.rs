//! Rollouts of weights: takes the lease, carries out the decision's commands, and tells partners.

use super::RelayEvent;
use super::state::ControlState;
use crate::decision::relay::RegisterLease;
use crate::decision::relay::heard_notices::{HeardNotice, HeardNotices};
use crate::decision::relay::register_lease::{FencingNumber, RegisterRecord};
use crate::decision::relay::rollout::{
    Rollout, RolloutCommand, RolloutServer, RolloutSettings, WeightsOrderOutcome, WeightsReport,
};
use crate::decision::relay::server::{Server, ServerState};
use crate::links::PartnerMessage;
use crate::links::message::RolloutNotice;
use crate::metrics::labels::ReasonLabels;
use crate::ports::{Replacement, WeightsOrder};
use crate::types::{InstanceId, ModelId, PeerResult, ServerId, WeightsRevision};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a server stays closed after the last notice of its rollout.
const CLOSED_PERIOD: Duration = Duration::from_millis(1_200);

/// Period in which the coordinator repeats its notice.
const NOTICE_PERIOD: Duration = Duration::from_millis(250);

/// Time without a notice after which another node takes over.
const COORDINATOR_SILENCE: Duration = Duration::from_millis(900);

/// Time by which nodes that would coordinate start one after the other.
const CANDIDATE_STEP: Duration = Duration::from_millis(250);

/// Wait before the register is tried again.
const REGISTER_RETRY: Duration = Duration::from_millis(300);

/// Time that a report or order may take: several round trips between availability zones. What is
/// unanswered by then is found out by the next report.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Rollouts as one node sees and coordinates them.
pub(super) struct RolloutControl {
    instance: InstanceId,
    lease: RegisterLease,
    rollouts: BTreeMap<ModelId, Rollout>,
    /// Since when servers have been outdated and nobody was heard to coordinate.
    needed_since: Option<Instant>,
    last_notice_at: Option<Instant>,
    last_coordinator: Option<InstanceId>,
    next_notice_at: Instant,
    /// Number of the next notice.
    notice_number: u64,
    heard_notices: HeardNotices,
    register_busy_until: Option<Instant>,
    next_register_at: Instant,
}

impl RolloutControl {
    /// Returns the rollouts of a node that has just started.
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
            notice_number: 0,
            heard_notices: HeardNotices::default(),
            register_busy_until: None,
            next_register_at: now,
        }
    }

    /// Whether this node coordinates or may have to.
    pub(super) fn is_active(&self) -> bool {
        self.needed_since.is_some() || !self.rollouts.is_empty()
    }

    /// Drops the lease, since its deadline may have passed unnoticed.
    pub(super) fn drop_lease(&mut self) {
        self.lease.drop_held();
        self.rollouts.clear();
    }

    fn notice(&mut self, model: &ModelId) -> Option<RolloutNotice> {
        let rollout = self.rollouts.get(model)?;
        self.notice_number += 1;
        Some(RolloutNotice {
            number: self.notice_number,
            model: model.clone(),
            closed: rollout.closed().cloned().collect(),
            evicted: rollout.evicted().cloned().collect(),
            changed: Vec::new(),
            reopened: Vec::new(),
            lease: self.lease.known()?.clone(),
        })
    }
}

impl ControlState {
    /// Does the periodic work of rollouts.
    pub(super) fn tick_rollouts(&mut self, now: Instant) {
        let models: Vec<ModelId> = self.targets.keys().cloned().collect();
        let outdated: Vec<ModelId> =
            models.into_iter().filter(|model| self.has_outdated(model)).collect();
        if outdated.is_empty() && self.rollout.rollouts.values().all(|r| r.closed().count() == 0) {
            self.rollout.needed_since = None;
            self.rollout.rollouts.clear();
            return;
        }
        self.rollout.needed_since.get_or_insert(now);
        if self.rollout.lease.held(now).is_none() {
            self.rollout.rollouts.clear();
            self.try_lease(now);
            return;
        }
        if self.rollout.lease.is_renewal_due(now) {
            self.replace_register(now);
        }
        for model in outdated {
            self.ensure_rollout(&model);
        }
        let running: Vec<ModelId> = self.rollout.rollouts.keys().cloned().collect();
        for model in running {
            let servers = self.rollout_servers(&model);
            let Some(rollout) = self.rollout.rollouts.get_mut(&model) else { continue };
            let commands = rollout.tick(&servers, now);
            self.carry_out(&model, commands, now);
        }
        if now >= self.rollout.next_notice_at {
            self.send_notices(now);
        }
    }

    fn has_outdated(&self, model: &ModelId) -> bool {
        let Some(target) = self.targets.get(model) else { return false };
        let fleet = self.context.fleet();
        fleet.servers().any(|server| is_takeable(server) && is_older(server, model, *target))
    }

    fn rollout_servers(&self, model: &ModelId) -> Vec<RolloutServer> {
        let now = Instant::now();
        let fleet = self.context.fleet();
        let target = fleet.targets().get(model);
        let servers = fleet.servers().filter(|server| is_takeable(server));
        servers
            .filter_map(|server| {
                let revision = *server.weights.get(model)?;
                Some(RolloutServer {
                    id: server.entry.id.clone(),
                    revision,
                    requests: server.total_load(now).requests,
                    outdated_since: target.and_then(|target| target.outdated_since(revision)),
                })
            })
            .collect()
    }

    fn ensure_rollout(&mut self, model: &ModelId) {
        let Some(target) = self.context.fleet().targets().get(model).cloned() else { return };
        let revision = target.revision();
        match self.rollout.rollouts.get_mut(model) {
            Some(rollout) => rollout.retarget(revision),
            None => {
                log::info!("event=rollout_started model={model} revision={revision}");
                let settings = if self.loads.is_tree() {
                    RolloutSettings::many_nodes()
                } else {
                    RolloutSettings::default()
                };
                let rollout = Rollout::new(settings, model.clone(), revision);
                self.rollout.rollouts.insert(model.clone(), rollout);
            }
        }
    }

    /// Takes the lease if it is this node's turn.
    fn try_lease(&mut self, now: Instant) {
        let Some(needed_since) = self.rollout.needed_since else { return };
        let own_turn_at = needed_since + CANDIDATE_STEP * self.candidate_rank();
        let silent_at = self.rollout.last_notice_at.map(|at| at + COORDINATOR_SILENCE);
        if now < own_turn_at || silent_at.is_some_and(|at| now < at) {
            return;
        }
        let is_busy = self.rollout.register_busy_until.is_some_and(|until| now < until);
        if is_busy || now < self.rollout.next_register_at {
            return;
        }
        if self.rollout.lease.known().is_none() {
            self.read_register(now);
        } else if self.rollout.lease.replaceable(now).is_some() {
            self.replace_register(now);
        }
    }

    /// Returns after how many other nodes this one tries: the last coordinator goes first, the
    /// others follow in an order that differs from one rollout to the next.
    fn candidate_rank(&self) -> u32 {
        if self.rollout.last_coordinator.as_ref() == Some(&self.rollout.instance) {
            return 0;
        }
        let seed = self.targets.values().sum();
        let rank = |instance: &InstanceId| xxh3_64_with_seed(instance.as_bytes(), seed);
        let own = rank(&self.rollout.instance);
        let live = self.partners.live_instances();
        let earlier = live.iter().filter(|instance| rank(instance) < own).count();
        let last_is_live = self.rollout.last_coordinator.as_ref().is_some_and(|c| live.contains(c));
        u32::try_from(earlier + usize::from(last_is_live)).unwrap_or(u32::MAX)
    }

    fn read_register(&mut self, now: Instant) {
        self.rollout.register_busy_until = Some(now + Duration::from_secs(2));
        self.rollout.next_register_at = now + REGISTER_RETRY;
        let context = Arc::clone(&self.context);
        self.spawn(async move {
            let read = context.ports.store.read_register().await;
            context.tell_control(RelayEvent::RegisterRead(read));
        });
    }

    fn replace_register(&mut self, now: Instant) {
        let is_busy = self.rollout.register_busy_until.is_some_and(|until| now < until);
        let Some(number) = self.rollout.lease.replaceable(now).filter(|_| !is_busy) else { return };
        self.rollout.register_busy_until = Some(now + Duration::from_secs(2));
        self.rollout.next_register_at = now + REGISTER_RETRY;
        let context = Arc::clone(&self.context);
        let holder = self.rollout.instance.clone();
        self.spawn(async move {
            let outcome = context.ports.store.replace_register(number, &holder).await;
            context.tell_control(RelayEvent::RegisterReplaced { sent_at: now, outcome });
        });
    }

    /// Takes in what the register holds.
    pub(super) fn apply_register(&mut self, read: PeerResult<RegisterRecord>, now: Instant) {
        self.rollout.register_busy_until = None;
        match read {
            Ok(record) => {
                log::info!("event=lease_read number={} holder={}", record.number, record.holder);
                self.rollout.lease.observe(record, now);
                self.rollout.next_register_at = now;
                self.tick_rollouts(now);
            }
            Err(error) => log::warn!("event=lease_read_failed {error}"),
        }
    }

    /// Takes in the outcome of taking the lease.
    pub(super) fn apply_replaced(
        &mut self,
        sent_at: Instant,
        outcome: PeerResult<Replacement>,
        now: Instant,
    ) {
        self.rollout.register_busy_until = None;
        match outcome {
            Ok(Replacement::Done(number)) => {
                log::info!("event=lease_taken fencing_number={number}");
                self.rollout.lease.take(number, sent_at);
                self.rollout.last_coordinator = Some(self.rollout.instance.clone());
                self.tick_rollouts(now);
            }
            Ok(Replacement::Outdated) => {
                log::info!("event=lease_not_taken reason=outdated");
                self.read_register(now);
            }
            Err(error) => {
                log::warn!("event=lease_unknown {error}");
                self.read_register(now);
            }
        }
    }

    /// Takes in a report of a server.
    pub(super) fn apply_report(
        &mut self,
        model: &ModelId,
        server: &ServerId,
        report: PeerResult<WeightsReport>,
        now: Instant,
    ) {
        if let Err(error) = &report {
            log::info!("event=report_failed server={server} {error}");
        }
        let Some(rollout) = self.rollout.rollouts.get_mut(model) else { return };
        let commands = rollout.reported(server, report.as_ref().ok(), now);
        self.carry_out(model, commands, now);
    }

    /// Takes in the answer to an order.
    pub(super) fn apply_order(
        &mut self,
        model: &ModelId,
        server: &ServerId,
        fencing_number: FencingNumber,
        outcome: WeightsOrderOutcome,
        now: Instant,
    ) {
        let labels = ReasonLabels { reason: outcome.to_string() };
        self.context.metrics.orders.get_or_create(&labels).inc();
        log::info!(
            "event=order_answered server={server} model={model} fencing_number={fencing_number} \
             outcome={outcome}"
        );
        if outcome == WeightsOrderOutcome::Fenced {
            self.rollout.drop_lease();
            self.rollout.last_coordinator = None;
            self.rollout.next_register_at = now + CLOSED_PERIOD;
            return;
        }
        let Some(rollout) = self.rollout.rollouts.get_mut(model) else { return };
        let commands = rollout.ordered(server, outcome, now);
        self.carry_out(model, commands, now);
    }

    fn carry_out(&mut self, model: &ModelId, commands: Vec<RolloutCommand>, now: Instant) {
        let Some(mut notice) = self.rollout.notice(model).filter(|_| !commands.is_empty()) else {
            return;
        };
        let mut tells = false;
        for command in commands {
            match command {
                RolloutCommand::Close(server) => {
                    log::info!("event=server_closed server={server} model={model}");
                    tells = true;
                }
                RolloutCommand::Evict(_) => tells = true,
                RolloutCommand::Report(server) => self.ask_report(model, server),
                RolloutCommand::Order { server, accepted_orders, runs } => {
                    let Some(fencing_number) = self.rollout.lease.held(now) else { continue };
                    let Some(rollout) = self.rollout.rollouts.get(model) else { continue };
                    let order = WeightsOrder {
                        server,
                        model: model.clone(),
                        revision: rollout.revision(),
                        runs,
                        holder: self.rollout.instance.clone(),
                        fencing_number,
                        accepted_orders,
                    };
                    self.give_order(order);
                }
                RolloutCommand::Finish { server, revision } => {
                    log::info!(
                        "event=server_changed server={server} model={model} revision={revision}"
                    );
                    notice.changed.push((server, revision));
                    tells = true;
                }
                RolloutCommand::GiveUp(server) => {
                    log::info!("event=server_reopened server={server} reason=no_answer");
                    notice.reopened.push(server);
                    tells = true;
                }
            }
        }
        if tells {
            self.apply_notice_locally(&notice, now);
            self.send_partners(None, &PartnerMessage::Rollout(notice));
        }
    }

    fn ask_report(&self, model: &ModelId, server: ServerId) {
        let context = Arc::clone(&self.context);
        let model = model.clone();
        let Some(address) = context.fleet().server(&server).map(|known| known.entry.address) else {
            return;
        };
        self.spawn(async move {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let report = context.ports.engines.report(&server, address, deadline).await;
            context.tell_control(RelayEvent::Reported { model, server, report });
        });
    }

    fn give_order(&self, order: WeightsOrder) {
        let context = Arc::clone(&self.context);
        let Some(address) = context.fleet().server(&order.server).map(|known| known.entry.address)
        else {
            return;
        };
        log::info!(
            "event=order_sent server={} model={} revision={} runs={} fencing_number={} \
             accepted_orders={}",
            order.server,
            order.model,
            order.revision,
            order.runs,
            order.fencing_number,
            order.accepted_orders
        );
        self.spawn(async move {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let outcome = context.ports.engines.order(address, &order, deadline).await;
            let WeightsOrder { model, server, fencing_number, .. } = order;
            context.tell_control(RelayEvent::Ordered { model, server, fencing_number, outcome });
        });
    }

    fn send_notices(&mut self, now: Instant) {
        self.rollout.next_notice_at = now + NOTICE_PERIOD;
        let models: Vec<ModelId> = self.rollout.rollouts.keys().cloned().collect();
        for model in models {
            let Some(notice) = self.rollout.notice(&model) else { continue };
            self.apply_notice_locally(&notice, now);
            self.send_partners(None, &PartnerMessage::Rollout(notice));
        }
    }

    /// Takes in a coordinator's notice from a partner and passes it on, since a coordinator has links
    /// to some nodes only.
    pub(super) fn receive_rollout_notice(
        &mut self,
        source: &InstanceId,
        mut notice: RolloutNotice,
        now: Instant,
    ) {
        if notice.lease.holder == self.rollout.instance {
            return;
        }
        match self.rollout.heard_notices.hear(notice.lease.number, notice.number) {
            HeardNotice::Again => return,
            HeardNotice::Newest => {}
            HeardNotice::Late => {
                // What changed still holds; which servers are closed has been told since.
                notice.closed.clear();
                notice.evicted.clear();
            }
        }
        self.apply_rollout_notice(&notice, now);
        if self.loads.is_tree() {
            self.send_partners(Some(source), &PartnerMessage::Rollout(notice));
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
        // The coordinator waits for the requests that are still at closed servers.
        self.send_load(now);
    }

    fn apply_notice_locally(&self, notice: &RolloutNotice, now: Instant) {
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
                server.reopen_unanswered(now);
            }
        }
        for id in &notice.closed {
            if let Some(server) = fleet.server_mut(id) {
                server.close_until(now + CLOSED_PERIOD, notice.evicted.contains(id));
            }
        }
    }
}

/// Whether a server takes part in rollouts: one that does not answer is brought up to date once it
/// does.
fn is_takeable(server: &Server) -> bool {
    let is_suspended = server.suspended_until(Instant::now()).is_some();
    server.entry.state == ServerState::Ready && !server.is_vanished() && !is_suspended
}

fn is_older(server: &Server, model: &ModelId, revision: WeightsRevision) -> bool {
    server.weights.get(model).is_some_and(|held| *held < revision)
}
