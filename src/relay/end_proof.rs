//! Proof that a server has outlived the end of its answer.
//!
//! An answer without a length or chunks ends with its connection. The kernel ends the connections of a
//! killed process in the same way, so that the end alone does not show that the answer is complete. A
//! server that answers another call afterwards, in the same incarnation, has ended it on purpose.

use super::in_flight::InFlightAttempt;
use crate::types::{Delivery, PeerError, PeerResult, Step};
use anyhow::anyhow;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time in which the server must answer; longer than a sound server may fall silent.
const MAX_PROOF_TIME: Duration = Duration::from_millis(1_500);

/// Proof that is being sought.
pub type EndProof = Pin<Box<dyn Future<Output = PeerResult<()>> + Send>>;

/// Asks the server of an attempt, whose answer has just ended, whether it still runs.
pub fn prove_end(in_flight: &InFlightAttempt, deadline: Instant) -> EndProof {
    let context = Arc::clone(in_flight.context());
    let (server, address) = (in_flight.server.clone(), in_flight.address());
    let (expected, is_by_node) = (in_flight.incarnation(), in_flight.is_by_node());
    Box::pin(async move {
        let unproved =
            |error| PeerError::new(Step::ReadBody, server.clone(), Delivery::Unknown, error);
        if is_by_node {
            return Err(unproved(anyhow!("a node's answer ended with its connection")));
        }
        let ended_at = Instant::now();
        let deadline = deadline.min(ended_at + MAX_PROOF_TIME);
        let incarnation = context.ports.engines.incarnation(&server, address, deadline).await;
        let fault = match incarnation {
            Ok(Some(found)) if expected.is_some_and(|expected| expected != found) => {
                anyhow!("the server started again (incarnation {found})")
            }
            Ok(_) => return Ok(()),
            Err(error) => anyhow!("the server does not answer any more: {error}"),
        };
        log::info!(
            "event=end_unproved server={server} waited_ms={} error=\"{fault:#}\"",
            ended_at.elapsed().as_millis()
        );
        Err(unproved(fault))
    })
}
