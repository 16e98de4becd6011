//! The fair queue against a naive reference queue.

use super::naive_queue::NaiveQueue;
use super::proptest_config;
use coriandertide::decision::admission::FairQueue;
use coriandertide::decision::admission::fair_queue::Waiter;
use coriandertide::types::Priority;
use proptest::prelude::*;
use smol_str::format_smolstr;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
enum Step {
    Push { workspace: u8, priority: Priority, tokens: u32, wait_ms: u64 },
    Pop { blocked: u8 },
    Charge { workspace: u8, tokens: u32 },
    Remove { nth: usize },
    Expire { at_ms: u64 },
}

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![Just(Priority::Batch), Just(Priority::Normal), Just(Priority::Interactive)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_u8, priority(), 0..2_000_u32, 0..500_u64).prop_map(
            |(workspace, priority, tokens, wait_ms)| Step::Push { workspace, priority, tokens, wait_ms }
        ),
        3 => (0..8_u8).prop_map(|blocked| Step::Pop { blocked }),
        1 => (0..5_u8, 0..2_000_u32).prop_map(|(workspace, tokens)| Step::Charge { workspace, tokens }),
        1 => (0..20_usize).prop_map(|nth| Step::Remove { nth }),
        1 => (0..500_u64).prop_map(|at_ms| Step::Expire { at_ms }),
    ]
}

proptest! {
    #![proptest_config(proptest_config(41))]

    #[test]
    fn the_queue_matches_the_naive_queue(steps in proptest::collection::vec(step(), 1..120)) {
        let start = Instant::now();
        let mut queue = FairQueue::default();
        let mut naive = NaiveQueue::default();
        for (id, step) in (0_u64..).zip(steps) {
            match step {
                Step::Push { workspace, priority, tokens, wait_ms } => {
                    let waiter = Waiter {
                        id,
                        workspace: format_smolstr!("w{workspace}"),
                        priority,
                        tokens,
                        expires_at: start + Duration::from_millis(wait_ms),
                    };
                    let ahead = queue.requests_ahead(&waiter.workspace, priority);
                    prop_assert_eq!(ahead, naive.requests_ahead(&waiter.workspace, priority));
                    queue.push(waiter.clone());
                    naive.waiting.push(waiter);
                }
                Step::Pop { blocked } => {
                    let blocked = format_smolstr!("w{blocked}");
                    let popped = queue.pop(|workspace| *workspace != blocked);
                    prop_assert_eq!(popped, naive.pop(|workspace| *workspace != blocked));
                }
                Step::Charge { workspace, tokens } => {
                    let workspace = format_smolstr!("w{workspace}");
                    queue.charge(&workspace, tokens);
                    naive.charge(&workspace, tokens);
                }
                Step::Remove { nth } => {
                    let Some(id) = naive.waiting.get(nth).map(|waiter| waiter.id) else {
                        continue;
                    };
                    prop_assert!(queue.remove(id).is_some());
                    naive.waiting.remove(nth);
                }
                Step::Expire { at_ms } => {
                    let now = start + Duration::from_millis(at_ms);
                    let mut expired: Vec<u64> =
                        queue.remove_expired(now).iter().map(|waiter| waiter.id).collect();
                    expired.sort_unstable();
                    let expected: Vec<u64> = naive
                        .waiting
                        .iter()
                        .filter(|waiter| waiter.expires_at <= now)
                        .map(|waiter| waiter.id)
                        .collect();
                    naive.waiting.retain(|waiter| waiter.expires_at > now);
                    prop_assert_eq!(expired, expected);
                }
            }
            prop_assert_eq!(queue.len(), naive.waiting.len());
        }
    }
}
