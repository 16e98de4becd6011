//! Poll planning within the byte budget, in virtual time.

use crate::fixture::server;
use crate::proptest_config;
use coriandertide::decision::routing::{PollConfig, PollKind, PollPlanner};
use proptest::prelude::*;
use std::time::{Duration, Instant};

proptest! {
    #![proptest_config(proptest_config(44))]

    #[test]
    fn polls_stay_within_the_budget(
        servers in 1usize..60,
        answer_bytes in proptest::collection::vec(50usize..4_000, 1..20),
    ) {
        let config = PollConfig::default();
        let (budget, burst) = (config.budget_bytes_per_s, config.burst_bytes);
        let mut planner = PollPlanner::new(config);
        let started_at = Instant::now();
        let mut spent_bytes = 0;
        let mut polled = std::collections::BTreeSet::new();
        for step in 0..400u64 {
            let now = started_at + Duration::from_millis(step * 100);
            (0..servers).for_each(|number| planner.mark_used(&server(number), now));
            for (index, poll) in planner.plan(now).into_iter().enumerate() {
                let bytes = answer_bytes[(step as usize + index) % answer_bytes.len()];
                spent_bytes += bytes;
                planner.complete(&poll, bytes);
                if poll.kind == PollKind::Load {
                    polled.insert(poll.server);
                }
            }
            let overdraft = 4_000.0 * servers as f64 * 2.0;
            let allowed = burst + budget * (step as f64) / 10.0 + overdraft;
            prop_assert!((spent_bytes as f64) <= allowed, "{spent_bytes} above {allowed}");
        }
        prop_assert_eq!(polled.len(), servers);
    }
}

#[test]
fn only_servers_in_use_without_a_pending_poll_are_polled() {
    let mut planner = PollPlanner::new(PollConfig::default());
    let now = Instant::now();
    planner.mark_used(&server(1), now);
    let first = planner.plan(now);
    assert_eq!(first.len(), 2);
    assert!(planner.plan(now + Duration::from_millis(300)).is_empty(), "answers are pending");
    assert!(first.iter().all(|poll| poll.server == server(1)));
    first.iter().for_each(|poll| planner.complete(poll, 300));
    assert_eq!(planner.plan(now + Duration::from_millis(300)).len(), 1);
    assert!(planner.plan(now + Duration::from_secs(6)).is_empty(), "no longer in use");
}

#[test]
fn a_load_report_with_an_answer_postpones_the_poll() {
    let mut planner = PollPlanner::new(PollConfig::default());
    let start = Instant::now();
    planner.mark_used(&server(1), start);
    planner.plan(start).iter().for_each(|poll| planner.complete(poll, 300));
    let mut polls = 0;
    for step in 1..=10 {
        let now = start + Duration::from_millis(step * 250);
        planner.mark_used(&server(1), now);
        planner.postpone_load_poll(&server(1), now);
        let due = planner.plan(now);
        polls += due.iter().filter(|poll| poll.kind == PollKind::Load).count();
        due.iter().for_each(|poll| planner.complete(poll, 300));
    }
    assert_eq!(polls, 0);
}
