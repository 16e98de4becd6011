//! Placement: gives the orders that the decision plans, while this node holds the lease.

use super::{ControlContext, ControlEvent, ControlState, poll_tasks};
use crate::decision::leases::{HeldLease, LeaseKind};
use crate::decision::placement::{PlacementCommand, PlacementEvent, PlacementReason};
use crate::decision::routing::AnswerFeedback;
use crate::metrics::ReasonLabels;
use crate::ports::{EngineOrder, EngineOrderKind, LoadReport, LoadedModel, OrderOutcome};
use crate::types::{LogOffset, PeerResult, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

/// Answer of a server to an order.
#[derive(Debug)]
pub struct OrderAnswer {
    /// Server.
    pub server: ServerId,
    /// Fencing number of the order.
    pub fencing_number: LogOffset,
    /// Answer, or an error after which the order may still take effect.
    pub result: PeerResult<OrderOutcome>,
}

impl ControlState {
    /// Plans and gives orders.
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
                    self.context.spawn(give_order(context, held, server, address, order));
                }
            }
        }
    }

    /// Takes in a server's report.
    pub(super) fn place_by_report(
        &mut self,
        server: &ServerId,
        report: &LoadReport,
        polled_at: Instant,
        now: Instant,
    ) {
        let (server, report) = (server.clone(), report.clone());
        self.placement.apply(PlacementEvent::Report { server, report, polled_at }, now);
    }

    /// Takes in that a server did not report.
    pub(super) fn place_without_report(&mut self, server: &ServerId, now: Instant) {
        self.placement.apply(PlacementEvent::PollFailed { server: server.clone() }, now);
    }

    /// Takes in the work of an answer.
    pub(super) fn place_by_answer(&mut self, feedback: &AnswerFeedback, now: Instant) {
        let Some(timing) = &feedback.timing else { return };
        let decode = timing.ended_at.saturating_duration_since(timing.first_token_at);
        let event = PlacementEvent::AnswerCompleted {
            model: feedback.model.clone(),
            computed_tokens: feedback.prompt_tokens.saturating_sub(feedback.cached_tokens),
            decode_ms: u64::try_from(decode.as_millis()).unwrap_or(u64::MAX),
        };
        self.placement.apply(event, now);
    }

    /// Takes in the answer to an order.
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

/// Gives an order unless the lease has lapsed meanwhile.
async fn give_order(
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
    context.send(ControlEvent::Ordered(answer)).await;
}

fn log_order(server: &ServerId, order: &EngineOrder, reason: PlacementReason) {
    let EngineOrderKind::ServeModels { models } = &order.kind;
    let models: Vec<String> = models.iter().map(describe).collect();
    log::info!(
        "event=placement_order server={server} models={} reason={reason} fencing_number={}",
        models.join(","),
        order.fencing_number,
    );
}

fn describe(loaded: &LoadedModel) -> String {
    let LoadedModel { model, weights_version, adapters } = loaded;
    if adapters.is_empty() {
        return format!("{model}@{weights_version}");
    }
    format!("{model}@{weights_version}+{}", adapters.join("+"))
}
