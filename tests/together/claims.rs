//! Property test of claims: under random interleavings of requests, appends, reads, crashes and
//! delayed, lost or duplicate messages, a call must not run twice or be reported "not run" after it
//! ran.

use crate::claims_world::{AppendOutcome, CallOutcome, World};
use crate::proptest_config;
use coriandertide::decision::claims::ClaimEvent;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Begin { node: usize, key: u8, fingerprint: u64 },
    Append { node: usize, outcome: AppendOutcome },
    DeliverDelayedAppend,
    Read { node: usize, limit: usize, delayed: bool },
    DeliverDelayedPage,
    RunCall { node: usize, outcome: CallOutcome },
    Advance { ms: u64 },
    Tick { node: usize },
    Crash { node: usize },
}

const NODES: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let append_outcome = prop_oneof![
        6 => Just(AppendOutcome::Done),
        1 => Just(AppendOutcome::AnswerLost),
        1 => Just(AppendOutcome::Lost),
        1 => Just(AppendOutcome::Delayed),
        1 => Just(AppendOutcome::DelayedTwice),
    ];
    let call_outcome = prop_oneof![
        3 => Just(CallOutcome::Answer),
        2 => Just(CallOutcome::NotSent),
        1 => Just(CallOutcome::Unknown),
    ];
    let fingerprint = prop_oneof![6 => Just(1u64), 1 => Just(2)];
    let limit = prop_oneof![4 => Just(usize::MAX), 1 => Just(1)];
    let ms = prop_oneof![8 => 0..300u64, 2 => 300..3_000u64, 1 => 3_000..40_000u64];
    prop_oneof![
        6 => (node.clone(), 0..10u8, fingerprint)
            .prop_map(|(node, key, fingerprint)| Step::Begin { node, key, fingerprint }),
        8 => (node.clone(), append_outcome)
            .prop_map(|(node, outcome)| Step::Append { node, outcome }),
        2 => Just(Step::DeliverDelayedAppend),
        9 => (node.clone(), limit, prop::bool::weighted(0.15))
            .prop_map(|(node, limit, delayed)| Step::Read { node, limit, delayed }),
        1 => Just(Step::DeliverDelayedPage),
        6 => (node.clone(), call_outcome)
            .prop_map(|(node, outcome)| Step::RunCall { node, outcome }),
        4 => ms.prop_map(|ms| Step::Advance { ms }),
        2 => node.clone().prop_map(|node| Step::Tick { node }),
        1 => node.prop_map(|node| Step::Crash { node }),
    ]
}

proptest! {
    #![proptest_config(proptest_config(0x7e11))]

    #[test]
    fn keys_run_at_most_once(steps in prop::collection::vec(step(), 20..400)) {
        let mut world = World::new(NODES);
        for step in steps {
            match step {
                Step::Begin { node, key, fingerprint } => {
                    world.begin(node, key, fingerprint);
                }
                Step::Append { node, outcome } => world.append(node, outcome),
                Step::DeliverDelayedAppend => world.deliver_delayed_append(),
                Step::Read { node, limit, delayed } => world.read(node, limit, delayed),
                Step::DeliverDelayedPage => world.deliver_delayed_page(),
                Step::RunCall { node, outcome } => world.run_call(node, outcome),
                Step::Advance { ms } => world.advance(ms),
                Step::Tick { node } => world.apply(node, ClaimEvent::Tick),
                Step::Crash { node } => world.crash(node),
            }
        }
        world.settle();
    }
}
