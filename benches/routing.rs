//! Benchmarks of routing decisions and state updates at the target fleet size.
#![allow(missing_docs, reason = "criterion generates the entry points")]

#[path = "../examples/support/fleet.rs"]
mod fleet;

use coriandertide::decision::routing::{RoutingEvent, RoutingPolicy, SentRequest};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use fleet::{FleetSize, FleetState, KNOWN_PREFIXES, route_query, server_id};
use std::hint::black_box;

fn decisions(criterion: &mut Criterion) {
    for policy in [RoutingPolicy::Coriandertide, RoutingPolicy::PrefixHash] {
        let fleet = FleetState::new(policy, FleetSize::TARGET);
        let view = fleet.state.view();
        let queries: Vec<_> = (0..1_000).map(|number| route_query(number * 97)).collect();
        let mut next = 0;
        criterion.bench_function(&format!("decision_{policy}"), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % queries.len();
                black_box(view.route(&queries[next], fleet.now))
            });
        });
    }
}

fn events(criterion: &mut Criterion) {
    let mut fleet = FleetState::new(RoutingPolicy::Coriandertide, FleetSize::TARGET);
    let mut number = 0;
    criterion.bench_function("sent_request_and_view", |bencher| {
        bencher.iter_batched(
            || {
                number += 131;
                let query = route_query(number % KNOWN_PREFIXES);
                SentRequest { server: server_id(number), runner_up: None, levels: query.levels }
            },
            |sent| {
                fleet.state.apply(RoutingEvent::Sent(sent), fleet.now);
                black_box(fleet.state.view())
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, decisions, events);
criterion_main!(benches);
