//! Requests at a node that knows that its configuration is outdated.

use super::RelayContext;
use super::refusal::{Refusal, RefusalReason};
use smol::Timer;
use std::time::{Duration, Instant};

/// Maximum time that a request waits for the newer configuration.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Period at which a waiting request checks for it.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Time after which a refused caller may return; other nodes have the newer configuration.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Waits until the node may decide by the configuration that it has.
///
/// # Errors
///
/// A refusal if it still lacks a newer one that it knows of.
pub async fn wait_until_current(
    context: &RelayContext,
    arrived_at: Instant,
) -> Result<(), Refusal> {
    loop {
        let now = Instant::now();
        let period = context.outdated_period.load();
        if !period.as_ref().is_some_and(|period| period.contains(&now)) {
            return Ok(());
        }
        if now >= arrived_at + MAX_WAIT {
            return Err(Refusal::with_retry(RefusalReason::Outdated, now + RETRY_DELAY));
        }
        Timer::after(CHECK_PERIOD).await;
    }
}
