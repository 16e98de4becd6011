//! Executes the commands of a rollout: report requests and orders to servers, and notices.

use super::ServerChanges;
use crate::decision::relay::register_lease::FencingNumber;
use crate::decision::relay::rollout::{RolloutCommand, WeightsOrderOutcome, WeightsReport};
use crate::metrics::labels::ReasonLabels;
use crate::ports::WeightsOrder;
use crate::relay::control::RelayControlEvent;
use crate::relay::control::state::ControlState;
use crate::relay::peers::reach;
use crate::types::{ModelId, PeerResult, ServerId, Step};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of a report request or order: several round trips between availability zones. The next
/// report shows whether an unanswered order was carried out.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay of the next attempt to acquire the lease after an order was rejected for a higher fencing
/// number.
const FENCED_RETRY_DELAY: Duration = Duration::from_millis(1_200);

impl ControlState {
    /// Applies the report of a server, or the failure to get it.
    pub(in crate::relay::control) fn apply_report(
        &mut self,
        model: &ModelId,
        server: &ServerId,
        report: PeerResult<WeightsReport>,
        now: Instant,
    ) {
        if let Err(error) = &report {
            log::info!("event=report_failed server={server} {error}");
            let service = self.context.fleet().server(server).map(|s| s.entry.service.clone());
            if let Some(service) = service.filter(|_| error.step == Step::Connect) {
                reach::record_unreachable(&self.context, &service, server);
            }
        }
        let Some(rollout) = self.rollout.rollouts.get_mut(model) else { return };
        let commands = rollout.on_report(server, report.as_ref().ok(), now);
        self.execute(model, commands, now);
    }

    /// Applies the outcome of an order.
    pub(in crate::relay::control) fn apply_order(
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
            self.rollout.next_acquire_at = now + FENCED_RETRY_DELAY;
            return;
        }
        let Some(rollout) = self.rollout.rollouts.get_mut(model) else { return };
        let commands = rollout.on_order_outcome(server, outcome, now);
        self.execute(model, commands, now);
    }

    /// Executes the commands of the rollout of `model`.
    pub(super) fn execute(&mut self, model: &ModelId, commands: Vec<RolloutCommand>, now: Instant) {
        let mut changes = ServerChanges::default();
        let mut is_notice_due = false;
        for command in commands {
            match command {
                RolloutCommand::Close(server) => {
                    log::info!("event=server_closed server={server} model={model}");
                    is_notice_due = true;
                }
                RolloutCommand::Evict(_) => is_notice_due = true,
                RolloutCommand::Report(server) => self.request_report(model, server),
                RolloutCommand::Order { server, accepted_orders, runs } => {
                    let Some(fencing_number) = self.rollout.lease.fencing_number(now) else {
                        continue;
                    };
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
                    self.send_order(order);
                }
                RolloutCommand::Finish { server, revision } => {
                    log::info!(
                        "event=server_changed server={server} model={model} revision={revision}"
                    );
                    changes.changed.push((server, revision));
                    is_notice_due = true;
                }
                RolloutCommand::Abandon(server) => {
                    log::info!("event=server_reopened server={server} reason=no_answer");
                    changes.reopened.push(server);
                    is_notice_due = true;
                }
            }
        }
        if is_notice_due {
            self.announce_changes(model, changes, now);
        }
    }

    fn request_report(&self, model: &ModelId, server: ServerId) {
        let context = Arc::clone(&self.context);
        let model = model.clone();
        let Some(address) = context.fleet().server(&server).map(|known| known.entry.address) else {
            return;
        };
        self.spawn(async move {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let report = context.ports.engines.weights_report(&server, address, deadline).await;
            context.notify_control(RelayControlEvent::ReportEnded { model, server, report });
        });
    }

    fn send_order(&self, order: WeightsOrder) {
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
            context.notify_control(RelayControlEvent::OrderEnded {
                model,
                server,
                fencing_number,
                outcome,
            });
        });
    }
}
