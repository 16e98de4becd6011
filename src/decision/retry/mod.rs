//! Whether a failed attempt of an idempotent request is followed by another.

pub mod budget;

pub use budget::RetryBudget;

use crate::types::Delivery;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// Least time left for another attempt to make sense.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// Delivery of the failed attempt.
    pub delivery: Delivery,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Another attempt on another server.
    Retry,
    /// No further attempt.
    GiveUp(GiveUpReason),
}

/// Reason why no further attempt is made.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum GiveUpReason {
    /// The request had as many attempts as it may have.
    AttemptsUsed,
    /// Too little time is left.
    DeadlineNear,
    /// Retries of all requests exceed their share of the traffic.
    BudgetUsed,
}

/// Decides whether `attempt` is followed by another; takes from `budget` if so.
///
/// An attempt that the server refused without acting costs no budget: it caused no work.
pub fn decide(attempt: FailedAttempt, budget: &mut RetryBudget, now: Instant) -> RetryDecision {
    if attempt.attempts >= MAX_ATTEMPTS {
        return RetryDecision::GiveUp(GiveUpReason::AttemptsUsed);
    }
    if now + MIN_ATTEMPT_TIME > attempt.deadline {
        return RetryDecision::GiveUp(GiveUpReason::DeadlineNear);
    }
    let is_free = attempt.delivery == Delivery::Refused;
    if is_free || budget.try_take(now) {
        return RetryDecision::Retry;
    }
    RetryDecision::GiveUp(GiveUpReason::BudgetUsed)
}
