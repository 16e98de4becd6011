//! Requests at servers whose weights are outdated: by when they must have begun, and their withdrawal.

use super::RelayContext;
use super::answer::{AttemptOutcome, ReceivedHead};
use super::request::RelayedRequest;
use crate::decision::relay::Choice;
use crate::types::{Delivery, ModelId, PeerError, ServerId, Step, WeightsRevision};
use anyhow::anyhow;
use futures_lite::future::pending;
use smol::Timer;
use std::time::{Duration, Instant};

/// Time in which a server takes notice that a request was withdrawn.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(300);

/// Period at which an attempt checks whether newer weights were announced.
const OUTDATED_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time by which a request may reach its server later than the withdrawal allows for: a connection is opened
/// after the server's deadline was worked out.
const CONNECTION_OPEN_TIME: Duration = Duration::from_millis(200);

/// Returns the model of a request and the weights of its server, `None` at a server without weights. A
/// request without a prompt may need any of the server's models.
pub fn choice_weights(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
) -> Option<(ModelId, WeightsRevision)> {
    if let Some((prompt, planned)) = request.head.prompt.as_ref().zip(choice.prompt.as_ref()) {
        return Some((prompt.model.clone(), planned.weights));
    }
    context.fleet().first_outdated_weights(&choice.server)
}

/// Returns when a request must have begun on weights, `None` while they are current.
pub fn begins_by(context: &RelayContext, weights: &(ModelId, WeightsRevision)) -> Option<Instant> {
    let (model, revision) = weights;
    let usable_until = context.fleet().weights_usable_until(model, *revision)?;
    Some(usable_until.checked_sub(WITHDRAWAL_TIME).unwrap_or(usable_until))
}

/// Returns until when a server may work on a request. One that must have begun at `begins_by` ends there:
/// not every server notices that a waiting request was withdrawn.
pub fn work_deadline(request: &RelayedRequest, begins_by: Option<Instant>) -> Instant {
    let begins_by = begins_by.and_then(|begins_by| begins_by.checked_sub(CONNECTION_OPEN_TIME));
    begins_by.map_or(request.deadline, |begins_by| begins_by.min(request.deadline))
}

/// Waits until the weights of the chosen server have been outdated for so long that no request may begin
/// on them; never returns while they are current.
pub async fn await_outdated(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
) -> ReceivedHead {
    let Some(weights) = choice_weights(context, request, choice) else { return pending().await };
    loop {
        let now = Instant::now();
        match begins_by(context, &weights) {
            Some(begins_by) if now >= begins_by => break,
            Some(begins_by) => Timer::at(begins_by).await,
            None => Timer::after(OUTDATED_CHECK_PERIOD).await,
        };
    }
    let error = outdated(&choice.server);
    log::info!("event=attempt_outdated request={} weights={} {error}", request.id, weights.1);
    ReceivedHead::None(AttemptOutcome::Unknown(error))
}

/// Returns the error of an attempt that has not begun on weights before these were outdated for too long.
pub fn outdated(server: &ServerId) -> PeerError {
    let error = anyhow!("the request has not begun, and the weights are outdated");
    PeerError::new(Step::Refused, server.clone(), Delivery::Unknown, error)
}
