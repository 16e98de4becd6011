//! Routing: time of a decision and of a load report by servers, memory by known prefixes.

#[path = "../support/fleet.rs"]
mod fleet;

use crate::fit::{Point, Slope};
use crate::usage::{grown_bytes, mean_us};
use coriandertide::decision::routing::{RoutingEvent, RoutingPolicy};
use coriandertide::ports::{CacheEvent, CacheEventPage};
use fleet::{FleetSize, TargetFleet, query, report, server};
use std::hint::black_box;

/// Servers measured.
const SERVERS: [usize; 3] = [62, 310, 620];
/// Prefixes measured.
const PREFIXES: [usize; 3] = [25_000, 50_000, 100_000];
/// Cache events in a page.
const EVENTS: [u64; 3] = [10, 100, 1_000];
/// Bytes of a cache event in JSON.
pub const EVENT_BYTES: f64 = 80.0;
/// Pages of a measurement.
const PAGES: u32 = 50;
/// Decisions and reports of a measurement.
const REPEATS: u32 = 2_000;

/// Costs of routing.
pub struct RoutingCosts {
    /// Microseconds of a decision, by servers.
    pub decision_us: Slope,
    /// Microseconds to take in a load report and publish a view, by servers.
    pub load_report_us: Slope,
    /// Microseconds to take in a page of cache events, by events.
    pub events_us: Slope,
    /// Bytes of memory, by known prefixes.
    pub memory_bytes: Slope,
}

/// Measures routing.
pub fn measure() -> anyhow::Result<RoutingCosts> {
    let mut kept = Vec::new();
    let mut memory_points = Vec::new();
    for prefixes in PREFIXES {
        let size = FleetSize { prefixes, ..FleetSize::TARGET };
        let build = || Ok(TargetFleet::new(RoutingPolicy::Coriandertide, size));
        let (bytes, fleet) = grown_bytes(build)?;
        memory_points.push(Point { size: prefixes as f64, cost: bytes });
        kept.push(fleet);
    }
    let mut decision_points = Vec::new();
    let mut report_points = Vec::new();
    for servers in SERVERS {
        let size = FleetSize { servers, ..FleetSize::TARGET };
        let mut fleet = TargetFleet::new(RoutingPolicy::Coriandertide, size);
        let servers = servers as f64;
        decision_points.push(Point { size: servers, cost: decision_us(&fleet) });
        report_points.push(Point { size: servers, cost: load_report_us(&mut fleet) });
    }
    let mut fleet = TargetFleet::new(RoutingPolicy::Coriandertide, FleetSize::TARGET);
    let event_points =
        EVENTS.map(|events| Point { size: events as f64, cost: events_us(&mut fleet, events) });
    Ok(RoutingCosts {
        events_us: Slope::fit("routing: us a page of cache events, by events", event_points.into()),
        decision_us: Slope::fit("routing: us a decision, by servers", decision_points),
        load_report_us: Slope::fit("routing: us a load report, by servers", report_points),
        memory_bytes: Slope::fit("routing: bytes of memory, by prefixes", memory_points),
    })
}

fn decision_us(fleet: &TargetFleet) -> f64 {
    let view = fleet.state.view();
    mean_us(REPEATS, |number| {
        black_box(view.route(&query(number as usize * 97), fleet.now));
    })
}

fn load_report_us(fleet: &mut TargetFleet) -> f64 {
    let now = fleet.now;
    mean_us(REPEATS, |number| {
        let number = number as usize % SERVERS[0];
        let event = RoutingEvent::Load {
            server: server(number),
            report: report(number),
            requested_at: now,
        };
        fleet.state.apply(event, now);
        black_box(fleet.state.view());
    })
}

fn events_us(fleet: &mut TargetFleet, events: u64) -> f64 {
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
        fleet.state.apply(RoutingEvent::CacheEvents { server: server(0), page }, now);
    })
}
