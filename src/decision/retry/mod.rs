//! Decides whether a failed attempt of an idempotent request is retried.

pub mod budget;

pub use budget::RetryBudget;

use crate::types::Delivery;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 4;

/// Minimum time until the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Failed attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Attempts made so far, including this one.
    pub attempts: u32,
    /// Whether the failed attempt may have reached the server.
    pub delivery: Delivery,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Decision on a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry on another server.
    Retry,
    /// Make no further attempt.
    GiveUp(GiveUpReason),
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum GiveUpReason {
    /// The request has reached the maximum number of attempts.
    AttemptsUsed,
    /// Too little time is left until the deadline.
    DeadlineNear,
    /// The retry budget of the node is used up.
    BudgetUsed,
}

/// Decides whether to retry after `attempt`; a retry is taken from `budget`.
///
/// A retry of an attempt that the server refused is free, because the refusal caused no work.
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
