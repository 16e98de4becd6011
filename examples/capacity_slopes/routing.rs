//! Costs of routing: time of a decision, a load report and cache events, and memory.

#[path = "../support/fleet.rs"]
mod fleet;

use crate::fit::{Point, Slope};
use crate::resource_usage::{mean_us, measure_allocation};
use coriandertide::decision::routing::{RoutingEvent, RoutingPolicy};
use coriandertide::ports::{CacheEvent, CacheEventPage};
use fleet::{FleetSize, FleetState, load_report, route_query, server_id};
use std::hint::black_box;

/// Measured numbers of servers.
const SERVER_COUNTS: [usize; 3] = [62, 310, 620];
/// Measured numbers of cached prefixes.
const PREFIX_COUNTS: [usize; 3] = [25_000, 50_000, 100_000];
/// Measured numbers of cache events in a page.
const EVENT_COUNTS: [u64; 3] = [10, 100, 1_000];
/// Bytes of a cache event in JSON.
pub const EVENT_BYTES: f64 = 80.0;
/// Pages of cache events per measurement.
const PAGES: u32 = 50;
/// Decisions or load reports per measurement.
const REPEATS: u32 = 2_000;

/// Costs of the routing subsystem.
pub struct RoutingCosts {
    /// Microseconds of a routing decision, by servers.
    pub decision_us: Slope,
    /// Microseconds to apply a load report and publish a view, by servers.
    pub load_report_us: Slope,
    /// Microseconds to apply a page of cache events, by events.
    pub events_us: Slope,
    /// Bytes of memory, by cached prefixes.
    pub memory_bytes: Slope,
}

/// Measures the costs of routing.
pub fn measure() -> anyhow::Result<RoutingCosts> {
    let mut retained_fleets = Vec::new();
    let mut memory_points = Vec::new();
    for prefixes in PREFIX_COUNTS {
        let size = FleetSize { prefixes, ..FleetSize::TARGET };
        let build = || Ok(FleetState::new(RoutingPolicy::Coriandertide, size));
        let (bytes, fleet) = measure_allocation(build)?;
        memory_points.push(Point { size: prefixes as f64, cost: bytes });
        retained_fleets.push(fleet);
    }
    let mut decision_points = Vec::new();
    let mut report_points = Vec::new();
    for servers in SERVER_COUNTS {
        let size = FleetSize { servers, ..FleetSize::TARGET };
        let mut fleet = FleetState::new(RoutingPolicy::Coriandertide, size);
        let servers = servers as f64;
        decision_points.push(Point { size: servers, cost: decision_us(&fleet) });
        report_points.push(Point { size: servers, cost: load_report_us(&mut fleet) });
    }
    let mut fleet = FleetState::new(RoutingPolicy::Coriandertide, FleetSize::TARGET);
    let event_points = EVENT_COUNTS
        .map(|events| Point { size: events as f64, cost: events_us(&mut fleet, events) });
    Ok(RoutingCosts {
        events_us: Slope::fit("routing: us a page of cache events, by events", event_points.into()),
        decision_us: Slope::fit("routing: us a decision, by servers", decision_points),
        load_report_us: Slope::fit("routing: us a load report, by servers", report_points),
        memory_bytes: Slope::fit("routing: bytes of memory, by prefixes", memory_points),
    })
}

fn decision_us(fleet: &FleetState) -> f64 {
    let view = fleet.state.view();
    mean_us(REPEATS, |number| {
        black_box(view.route(&route_query(number as usize * 97), fleet.now));
    })
}

fn load_report_us(fleet: &mut FleetState) -> f64 {
    let now = fleet.now;
    mean_us(REPEATS, |number| {
        let number = number as usize % SERVER_COUNTS[0];
        let event = RoutingEvent::Load {
            server: server_id(number),
            report: load_report(number),
            requested_at: now,
        };
        fleet.state.apply(event, now);
        black_box(fleet.state.view());
    })
}

fn events_us(fleet: &mut FleetState, events: u64) -> f64 {
    let now = fleet.now;
    let mut next_event = 0;
    mean_us(PAGES, |_| {
        let first = next_event;
        next_event += events;
        let stored = (first..next_event).map(|sequence| CacheEvent::Stored {
            sequence,
            prefix_key: sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            tokens: 2_000,
        });
        let page = CacheEventPage { incarnation: 1, next_event, events: stored.collect() };
        fleet.state.apply(RoutingEvent::CacheEvents { server: server_id(0), page }, now);
    })
}
