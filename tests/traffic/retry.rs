//! The retry budget limits retries to a fraction of the traffic.

use coriandertide::decision::retry::{
    FailedAttempt, GiveUpReason, RetryBudget, RetryDecision, decide,
};
use coriandertide::types::Delivery;
use std::time::{Duration, Instant};

fn failed(delivery: Delivery, deadline: Instant) -> FailedAttempt {
    FailedAttempt { attempts: 1, delivery, deadline }
}

#[test]
fn retries_stay_a_fraction_of_the_traffic_while_everything_fails() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    let mut retries = 0;
    for request in 0..10_000_u64 {
        let now = start + Duration::from_millis(request);
        budget.record_first_attempt(now);
        let attempt = failed(Delivery::Unknown, now + Duration::from_secs(60));
        if decide(attempt, &mut budget, now) == RetryDecision::Retry {
            retries += 1;
        }
    }
    let max_retries = 20 + 10_000 / 10 + 10;
    assert!(
        retries <= max_retries,
        "{retries} retries of 10000 requests in 10 s, at most {max_retries}"
    );
}

#[test]
fn each_case_without_a_retry_has_its_reason() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let mut full = RetryBudget::new(now);
    let mut empty = RetryBudget::new(now);
    while empty.try_take(now) {}
    let give_up = |reason| RetryDecision::GiveUp(reason);
    let used = FailedAttempt { attempts: 4, ..failed(Delivery::Refused, later) };
    assert_eq!(decide(used, &mut full, now), give_up(GiveUpReason::AttemptsUsed));
    let near = failed(Delivery::Refused, now + Duration::from_millis(10));
    assert_eq!(decide(near, &mut full, now), give_up(GiveUpReason::DeadlineNear));
    let unknown = failed(Delivery::Unknown, later);
    assert_eq!(decide(unknown, &mut empty, now), give_up(GiveUpReason::BudgetUsed));
    let refused = failed(Delivery::Refused, later);
    assert_eq!(decide(refused, &mut empty, now), RetryDecision::Retry);
}
