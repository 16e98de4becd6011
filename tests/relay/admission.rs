//! Pattern: an overload that lasts. Every server has more work than it can begin within the latency
//! objective, so that without admission each request is answered, and each too late.

use coriandertide::decision::relay::AdmissionRequest;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const OBJECTIVE_MS: f64 = 400.0;
const TIMEOUT_MS: f64 = 5_000.0;
const READ_MS: u64 = 100;

fn request(remaining_ms: f64) -> AdmissionRequest {
    AdmissionRequest {
        remaining_ms,
        timeout_ms: TIMEOUT_MS,
        latency_objective_ms: OBJECTIVE_MS,
        has_started: false,
    }
}

#[test]
fn a_request_is_refused_once_it_cannot_be_on_time_and_told_when_there_is_room() {
    let now = Instant::now();
    let new = request(TIMEOUT_MS);
    assert_eq!(new.refusal_retry_at(300.0, now), None);
    let retry_at = new.refusal_retry_at(600.0, now).unwrap();
    let wait_ms = (retry_at - now).as_millis();
    assert!((300..=600).contains(&wait_ms), "{wait_ms}");
}

#[test]
fn a_caller_that_comes_back_is_served_behind_those_that_can_be_on_time() {
    let now = Instant::now();
    let returned = request(4_000.0);
    assert!(returned.is_retry());
    assert_eq!(returned.refusal_retry_at(1_400.0, now), None);
    // Callers leave a stream that has not begun after two seconds.
    assert!(returned.refusal_retry_at(1_900.0, now).is_some());
    assert_eq!((returned.server_priority(1), request(TIMEOUT_MS).server_priority(1)), (2, 1));
}

#[test]
fn a_request_with_little_time_left_is_refused_at_once() {
    assert!(request(50.0).refusal_retry_at(100.0, Instant::now()).is_some());
}

/// Pattern: servers crash under load, and the streams that they ran go on elsewhere.
#[test]
fn a_stream_that_has_begun_is_not_refused() {
    let begun = AdmissionRequest { has_started: true, ..request(TIMEOUT_MS) };
    assert_eq!(begun.refusal_retry_at(3_000.0, Instant::now()), None);
}

/// One server at 130% load for 20 s: what share of all requests begins within the objective?
fn on_time_share(admits: bool) -> f64 {
    let start = Instant::now();
    let mut free_at = 0_u64;
    let mut arrivals: VecDeque<(u64, u64)> =
        (0..260).map(|index| (index * 77, index * 77)).collect();
    let (mut on_time, mut all) = (0, 0);
    while let Some((at, first_at)) = arrivals.pop_front() {
        let is_new = at == first_at;
        all += u32::from(is_new);
        let expected_ms = (free_at.saturating_sub(at) + READ_MS) as f64;
        let asks = request(TIMEOUT_MS - (at - first_at) as f64);
        let now = start + Duration::from_millis(at);
        match asks.refusal_retry_at(expected_ms, now).filter(|_| admits) {
            Some(retry_at) if is_new => {
                let back_at = at + (retry_at - now).as_millis() as u64;
                let position = arrivals.partition_point(|(other, _)| *other <= back_at);
                arrivals.insert(position, (back_at, first_at));
            }
            Some(_) => {}
            None => {
                free_at = free_at.max(at) + READ_MS;
                on_time += u32::from((free_at - first_at) as f64 <= OBJECTIVE_MS);
            }
        }
    }
    f64::from(on_time) / f64::from(all)
}

#[test]
fn under_lasting_overload_admission_keeps_most_answers_on_time() {
    let (with, without) = (on_time_share(true), on_time_share(false));
    assert!(without < 0.1, "{without}");
    assert!(with > 0.45, "{with}");
}
