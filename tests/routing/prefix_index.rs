//! The prefix index against a naive reference index, and its maximum size.

use crate::fixture::{Node, document, idle_report, levels, server};
use crate::naive::NaiveIndex;
use crate::proptest_config;
use coriandertide::decision::routing::{
    PrefixLevel, RoutingConfig, RoutingEvent, RoutingPolicy, RoutingState, SentRequest,
};
use coriandertide::ports::{CacheEvent, CacheEventPage};
use proptest::prelude::*;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const KEYS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Report { server: usize, incarnation: u64 },
    Sent { server: usize, keys: usize },
    Answer { server: usize, incarnation: u64, keys: usize },
    Stored { server: usize, incarnation: u64, key: usize },
    Evicted { server: usize, incarnation: u64, key: usize },
    Failed { server: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let server = 0..SERVERS;
    let incarnation = 1u64..4;
    prop_oneof![
        (server.clone(), incarnation.clone())
            .prop_map(|(server, incarnation)| Step::Report { server, incarnation }),
        (server.clone(), 1..=KEYS).prop_map(|(server, keys)| Step::Sent { server, keys }),
        (server.clone(), incarnation.clone(), 1..=KEYS)
            .prop_map(|(server, incarnation, keys)| { Step::Answer { server, incarnation, keys } }),
        (server.clone(), incarnation.clone(), 0..KEYS)
            .prop_map(|(server, incarnation, key)| { Step::Stored { server, incarnation, key } }),
        (server.clone(), incarnation, 0..KEYS)
            .prop_map(|(server, incarnation, key)| { Step::Evicted { server, incarnation, key } }),
        server.prop_map(|server| Step::Failed { server }),
    ]
}

static ALL_LEVELS: LazyLock<Vec<PrefixLevel>> = LazyLock::new(|| {
    let mut all = levels("survey", "1", "manual ", "a");
    all.extend(levels("survey", "1", "other ", "b"));
    all
});

fn all_levels() -> Vec<PrefixLevel> {
    ALL_LEVELS.clone()
}

fn event_page(incarnation: u64, event: CacheEvent) -> CacheEventPage {
    CacheEventPage { incarnation, next_event: 0, events: vec![event] }
}

fn apply_both(node: &mut Node, naive: &mut NaiveIndex, step: &Step) {
    let all = all_levels();
    let now = node.now;
    match *step {
        Step::Report { server: number, incarnation } => {
            node.report(number, idle_report(incarnation));
            naive.observe(number as u32, incarnation);
        }
        Step::Sent { server: number, keys } => {
            node.sent(&server(number), &all[..keys]);
            if let Some(incarnation) = naive.confirmed(number as u32) {
                all[..keys]
                    .iter()
                    .for_each(|it| naive.store(it.key, number as u32, incarnation, now));
            }
        }
        Step::Answer { server: number, incarnation, keys } => {
            node.answer(&server(number), incarnation, &all[..keys], 0, Duration::ZERO);
            if naive.observe(number as u32, incarnation) {
                all[..keys]
                    .iter()
                    .for_each(|it| naive.store(it.key, number as u32, incarnation, now));
            }
        }
        Step::Stored { server: number, incarnation, key } => {
            let prefix_key = all[key].key;
            let event = CacheEvent::Stored { sequence: 0, prefix_key, tokens: 1 };
            let page = event_page(incarnation, event);
            node.apply(RoutingEvent::CacheEvents { server: server(number), page });
            if naive.observe(number as u32, incarnation) {
                naive.store(prefix_key, number as u32, incarnation, now);
            }
        }
        Step::Evicted { server: number, incarnation, key } => {
            let prefix_key = all[key].key;
            let page = event_page(incarnation, CacheEvent::Evicted { sequence: 0, prefix_key });
            node.apply(RoutingEvent::CacheEvents { server: server(number), page });
            if naive.observe(number as u32, incarnation) {
                naive.remove(prefix_key, number as u32);
            }
        }
        Step::Failed { server: number } => {
            node.apply(RoutingEvent::ServerFailed { server: server(number) });
            naive.mark_unconfirmed(number as u32);
        }
    }
}

fn holders(node: &Node, key: u64) -> Vec<(u32, Instant)> {
    let Some(entry) = node.state.prefixes().get(key) else { return Vec::new() };
    let is_valid = |server: u32, incarnation: u64| {
        let state = node.state.server(&crate::fixture::server(server as usize)).unwrap();
        state.incarnations.confirmed() == Some(incarnation)
    };
    let valid = entry.holders.iter().filter(|it| is_valid(it.server, it.incarnation));
    let mut holders: Vec<(u32, Instant)> = valid.map(|it| (it.server, it.used_at)).collect();
    holders.sort_unstable();
    holders
}

proptest! {
    #![proptest_config(proptest_config(43))]

    #[test]
    fn holders_match_the_naive_index(steps in proptest::collection::vec(step(), 1..60)) {
        let mut node = Node::new(SERVERS);
        let mut naive = NaiveIndex::default();
        for step in &steps {
            node.advance(Duration::from_millis(7));
            apply_both(&mut node, &mut naive, step);
            for level in all_levels() {
                prop_assert_eq!(holders(&node, level.key), naive.holders(level.key), "{:?}", step);
            }
        }
    }

    #[test]
    fn index_stays_within_its_maximum_size(keys in proptest::collection::vec(0u64..500, 1..600)) {
        let config = RoutingConfig { max_prefixes: 50, max_holders: 2, ..RoutingConfig::default() };
        let mut state = RoutingState::new(RoutingPolicy::Coriandertide, "norte".into(), config);
        let mut now = Instant::now();
        state.apply(RoutingEvent::Document(document(SERVERS)), now);
        for number in 0..SERVERS {
            let report = idle_report(1);
            let event = RoutingEvent::Load { server: server(number), report, requested_at: now };
            state.apply(event, now);
        }
        for key in keys {
            now += Duration::from_millis(100);
            let mut levels = all_levels();
            levels.truncate(1);
            levels[0].key = key;
            let sent = SentRequest { server: server(key as usize % 4), runner_up: None, levels };
            state.apply(RoutingEvent::Sent(sent), now);
            prop_assert!(state.prefixes().len() <= 50);
            prop_assert!(state.prefixes().get(key).is_some());
        }
    }
}
