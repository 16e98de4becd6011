//! Placement: sends the planned orders to backend servers while this node holds the lease.

use super::{ControlContext, ControlEvent, ControlState, poll_tasks};
use crate::decision::leases::{HeldLease, LeaseKind};
use crate::decision::placement::{PlacementCommand, PlacementEvent, PlacementReason};
use crate::decision::routing::AnswerFeedback;
use crate::metrics::ReasonLabels;
use crate::ports::{EngineOrder, EngineOrderKind, LoadReport, LoadedModel, OrderOutcome};
use crate::types::{LogOffset, PeerResult, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

/// Answer of a server to an order, or its failure.
#[derive(Debug)]
pub struct OrderAnswer {
    /// Server.
    pub server: ServerId,
    /// Fencing number of the order.
    pub fencing_number: LogOffset,
    /// Outcome that the server reported, or an error after which the order may still take effect.
    pub result: PeerResult<OrderOutcome>,
}

impl ControlState {
    /// Polls servers and sends the orders that are due.
    pub(super) fn tick_placement(&mut self, now: Instant) {
        let held = self.held_lease(LeaseKind::Placement);
        for command in self.placement.apply(PlacementEvent::Tick(held), now) {
            match command {
                PlacementCommand::Poll { server, address } => {
                    self.context.spawn(poll_tasks::poll_load(
                        self.context.clone(),
                        server,
                        address,
                    ));
                }
                PlacementCommand::Order { server, address, order, reason } => {
                    let Some(held) = held else { continue };
                    log_order(&server, &order, reason);
                    let labels = ReasonLabels { reason: reason.to_string() };
                    self.context.metrics.placement_orders.get_or_create(&labels).inc();
                    let context = self.context.clone();
                    self.context.spawn(send_order(context, held, server, address, order));
                }
            }
        }
    }

    /// Applies a load report to placement.
    pub(super) fn apply_placement_report(
        &mut self,
        server: &ServerId,
        report: &LoadReport,
        polled_at: Instant,
        now: Instant,
    ) {
        let (server, report) = (server.clone(), report.clone());
        self.placement.apply(PlacementEvent::Report { server, report, polled_at }, now);
    }

    /// Applies a failed poll for a load report to placement.
    pub(super) fn apply_placement_poll_failure(&mut self, server: &ServerId, now: Instant) {
        self.placement.apply(PlacementEvent::PollFailed { server: server.clone() }, now);
    }

    /// Adds the work of a completed answer to the demand; answers without timing are ignored.
    pub(super) fn apply_placement_answer(&mut self, feedback: &AnswerFeedback, now: Instant) {
        let Some(timing) = &feedback.timing else { return };
        let decode = timing.ended_at.saturating_duration_since(timing.first_token_at);
        let event = PlacementEvent::AnswerCompleted {
            model: feedback.model.clone(),
            prefilled_tokens: feedback.prompt_tokens.saturating_sub(feedback.cached_tokens),
            decode_ms: u64::try_from(decode.as_millis()).unwrap_or(u64::MAX),
        };
        self.placement.apply(event, now);
    }

    /// Applies the answer to an order.
    pub(super) fn apply_order_answer(&mut self, answer: OrderAnswer, now: Instant) {
        let OrderAnswer { server, fencing_number, result } = answer;
        match result {
            Ok(outcome) => {
                log::info!(
                    "event=placement_answer server={server} fencing_number={fencing_number} \
                     outcome={outcome:?}"
                );
                let event = PlacementEvent::OrderAnswered { server, fencing_number, outcome };
                self.placement.apply(event, now);
            }
            Err(error) => {
                log::warn!(
                    "event=placement_order_failed server={server} \
                     fencing_number={fencing_number} {error}"
                );
            }
        }
    }
}

/// Sends an order, unless the lease has lapsed meanwhile, and reports the answer.
async fn send_order(
    context: ControlContext,
    held: HeldLease,
    server: ServerId,
    address: SocketAddr,
    order: EngineOrder,
) {
    let fencing_number = order.fencing_number;
    if Instant::now() >= held.deadline {
        log::warn!("event=placement_order_dropped server={server} reason=lease_lapsed");
        return;
    }
    let result = context.engines.order(address, order).await;
    let answer = OrderAnswer { server, fencing_number, result };
    context.send(ControlEvent::OrderAnswered(answer)).await;
}

fn log_order(server: &ServerId, order: &EngineOrder, reason: PlacementReason) {
    let EngineOrderKind::ServeModels { models } = &order.kind;
    let models: Vec<String> = models.iter().map(format_model).collect();
    log::info!(
        "event=placement_order server={server} models={} reason={reason} fencing_number={}",
        models.join(","),
        order.fencing_number,
    );
}

fn format_model(loaded: &LoadedModel) -> String {
    let LoadedModel { model, weights_version, adapters } = loaded;
    if adapters.is_empty() {
        return format!("{model}@{weights_version}");
    }
    format!("{model}@{weights_version}+{}", adapters.join("+"))
}
