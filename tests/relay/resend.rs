//! All nodes together never exceed the resend allowance of the site in any window.

use super::proptest_config;
use coriandertide::decision::relay::ResendBudget;
use coriandertide::decision::relay::resend::ResendSettings;
use proptest::prelude::*;
use std::time::{Duration, Instant};

proptest! {
    #![proptest_config(proptest_config(0xb0d6))]

    #[test]
    fn no_window_holds_more_resends_than_allowed(
        events in prop::collection::vec((0_u64..60, 0_usize..6, 0_u32..3), 1..900),
    ) {
        let settings = ResendSettings { ratio: 0.2, slack: 52.0, window_ms: 10_000 };
        let start = Instant::now();
        let mut budgets = vec![ResendBudget::new(settings, 6, start); 6];
        let (mut first_attempts, mut resends, mut at) = (Vec::new(), Vec::new(), 0);
        for (pause, node, tries) in events {
            at += pause;
            let now = start + Duration::from_millis(at);
            budgets[node].count_first_attempt(&"s".into(), now);
            first_attempts.push(at);
            for _ in 0..tries {
                if budgets[node].try_take(&"s".into(), now) {
                    resends.push(at);
                }
            }
        }
        for end in &resends {
            let is_within = |at: &&u64| **at <= *end && **at + 10_000 > *end;
            let allowed = 0.2 * first_attempts.iter().filter(is_within).count() as f64 + 52.0;
            prop_assert!(resends.iter().filter(is_within).count() as f64 <= allowed);
        }
    }
}

#[test]
fn the_slack_allows_resends_without_first_attempts() {
    let settings = ResendSettings { ratio: 0.2, slack: 52.0, window_ms: 10_000 };
    let now = Instant::now();
    let mut budget = ResendBudget::new(settings, 6, now);
    let taken = (0..20).filter(|_| budget.try_take(&"s".into(), now)).count();
    assert_eq!(taken, 6);
    assert!(budget.try_take(&"other".into(), now));
    assert!(budget.try_take(&"s".into(), now + Duration::from_millis(10_000)));
}

/// Guards against nodes that are killed together and spend their allowance of the window once more,
/// each taking itself for the only one until it knows the others.
#[test]
fn a_kill_of_all_nodes_does_not_renew_the_allowance() {
    let settings = ResendSettings { ratio: 0.2, slack: 176.0, window_ms: 10_000 };
    let service = "s".into();
    for nodes in [6_u32, 68, 295] {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let take_all = |budgets: &mut [ResendBudget], ms: u64| -> usize {
            let taken = |budget: &mut ResendBudget| {
                (0..400).take_while(|_| budget.try_take(&service, at(ms))).count()
            };
            budgets.iter_mut().map(taken).sum()
        };
        let mut budgets: Vec<_> =
            (0..nodes).map(|_| ResendBudget::new(settings, nodes, at(0))).collect();
        let before = take_all(&mut budgets, 4_000);
        // All are killed and start again; they know each other a second later.
        let mut budgets: Vec<_> =
            (0..nodes).map(|_| ResendBudget::restarted(settings, at(6_000))).collect();
        let alone = take_all(&mut budgets, 6_100);
        budgets.iter_mut().for_each(|budget| budget.set_nodes(nodes));
        let linked = take_all(&mut budgets, 7_100);
        let in_window = before + alone + linked;
        assert!(in_window as f64 <= settings.slack, "{nodes}: {before} + {alone} + {linked}");
        assert!(nodes > 100 || take_all(&mut budgets, 16_100) > 0, "{nodes}: no slack later");
    }
}
