//! Admission under lasting overload: without it every server has more work than fits into the
//! latency objective, so every request is answered, but too late.

use coriandertide::decision::relay::AdmissionRequest;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const OBJECTIVE_MS: f64 = 400.0;
const TIMEOUT_MS: f64 = 5_000.0;
const PREFILL_MS: u64 = 100;

fn request(remaining_ms: f64) -> AdmissionRequest {
    AdmissionRequest {
        remaining_ms,
        timeout_ms: TIMEOUT_MS,
        latency_objective_ms: OBJECTIVE_MS,
        has_started: false,
    }
}

#[test]
fn late_requests_are_refused_with_a_time_to_retry() {
    let now = Instant::now();
    let first_try = request(TIMEOUT_MS);
    assert_eq!(first_try.refusal_retry_at(300.0, now), None);
    let retry_at = first_try.refusal_retry_at(600.0, now).unwrap();
    let wait_ms = (retry_at - now).as_millis();
    assert!((300..=600).contains(&wait_ms), "{wait_ms}");
}

#[test]
fn retries_are_admitted_with_a_lower_priority() {
    let now = Instant::now();
    let retry = request(4_000.0);
    assert!(retry.is_retry());
    assert_eq!(retry.refusal_retry_at(1_400.0, now), None);
    // Callers drop a stream that has not begun after two seconds.
    assert!(retry.refusal_retry_at(1_900.0, now).is_some());
    assert_eq!((retry.server_priority(1), request(TIMEOUT_MS).server_priority(1)), (2, 1));
}

#[test]
fn requests_with_little_time_left_are_refused() {
    assert!(request(50.0).refusal_retry_at(100.0, Instant::now()).is_some());
}

/// Servers crash under load, and their streams resume elsewhere.
#[test]
fn started_streams_are_not_refused() {
    let started = AdmissionRequest { has_started: true, ..request(TIMEOUT_MS) };
    assert_eq!(started.refusal_retry_at(3_000.0, Instant::now()), None);
}

/// Returns the fraction of requests that begin within the objective at one server with 130% load
/// for 20 s.
fn on_time_fraction(admits: bool) -> f64 {
    let start = Instant::now();
    let mut free_at = 0_u64;
    let mut arrivals: VecDeque<(u64, u64)> =
        (0..260).map(|index| (index * 77, index * 77)).collect();
    let (mut on_time, mut all) = (0, 0);
    while let Some((at, first_at)) = arrivals.pop_front() {
        let is_new = at == first_at;
        all += u32::from(is_new);
        let expected_ms = (free_at.saturating_sub(at) + PREFILL_MS) as f64;
        let attempt = request(TIMEOUT_MS - (at - first_at) as f64);
        let now = start + Duration::from_millis(at);
        match attempt.refusal_retry_at(expected_ms, now).filter(|_| admits) {
            Some(retry_at) if is_new => {
                let retried_at = at + (retry_at - now).as_millis() as u64;
                let position = arrivals.partition_point(|(other, _)| *other <= retried_at);
                arrivals.insert(position, (retried_at, first_at));
            }
            Some(_) => {}
            None => {
                free_at = free_at.max(at) + PREFILL_MS;
                on_time += u32::from((free_at - first_at) as f64 <= OBJECTIVE_MS);
            }
        }
    }
    f64::from(on_time) / f64::from(all)
}

#[test]
fn admission_keeps_most_answers_on_time_under_overload() {
    let (with, without) = (on_time_fraction(true), on_time_fraction(false));
    assert!(without < 0.1, "{without}");
    assert!(with > 0.45, "{with}");
}
