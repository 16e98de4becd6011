//! Claims under every interleaving of nodes, log, pauses, losses, duplicates and crashes.

use crate::claims_world::{AppendFate, CallFate, World};
use crate::proptest_config;
use coriandertide::decision::claims::ClaimEvent;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Begin { node: usize, key: u8, fingerprint: u64 },
    Append { node: usize, fate: AppendFate },
    AppendLate,
    Read { node: usize, limit: usize, late: bool },
    DeliverLatePage,
    RunCall { node: usize, fate: CallFate },
    Advance { ms: u64 },
    Tick { node: usize },
    Crash { node: usize },
}

const NODES: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let append_fate = prop_oneof![
        6 => Just(AppendFate::Done),
        1 => Just(AppendFate::AnswerLost),
        1 => Just(AppendFate::Lost),
        1 => Just(AppendFate::Late),
        1 => Just(AppendFate::LateTwice),
    ];
    let call_fate = prop_oneof![
        3 => Just(CallFate::Answer),
        2 => Just(CallFate::NotSent),
        1 => Just(CallFate::Unknown),
    ];
    let fingerprint = prop_oneof![6 => Just(1u64), 1 => Just(2)];
    let limit = prop_oneof![4 => Just(usize::MAX), 1 => Just(1)];
    let ms = prop_oneof![8 => 0..300u64, 2 => 300..3_000u64, 1 => 3_000..40_000u64];
    prop_oneof![
        6 => (node.clone(), 0..10u8, fingerprint)
            .prop_map(|(node, key, fingerprint)| Step::Begin { node, key, fingerprint }),
        8 => (node.clone(), append_fate).prop_map(|(node, fate)| Step::Append { node, fate }),
        2 => Just(Step::AppendLate),
        9 => (node.clone(), limit, prop::bool::weighted(0.15))
            .prop_map(|(node, limit, late)| Step::Read { node, limit, late }),
        1 => Just(Step::DeliverLatePage),
        6 => (node.clone(), call_fate).prop_map(|(node, fate)| Step::RunCall { node, fate }),
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
                Step::Append { node, fate } => world.append(node, fate),
                Step::AppendLate => world.append_late(),
                Step::Read { node, limit, late } => world.read(node, limit, late),
                Step::DeliverLatePage => world.deliver_late_page(),
                Step::RunCall { node, fate } => world.run_call(node, fate),
                Step::Advance { ms } => world.advance(ms),
                Step::Tick { node } => world.apply(node, ClaimEvent::Tick),
                Step::Crash { node } => world.crash(node),
            }
        }
        world.settle();
    }
}
