//! Routing: time of a decision and of a load report by servers, memory by known prefixes.

#[path = "../support/fleet.rs"]
mod fleet;

use crate::fit::{Point, Slope};
use crate::resident::{grown_bytes, mean_us};
use coriandertide::decision::routing::{RoutingEvent, RoutingPolicy};
use fleet::{FleetSize, TargetFleet, query, report, server};
use std::hint::black_box;

/// Servers measured.
const SERVERS: [usize; 3] = [62, 310, 620];
/// Prefixes measured.
const PREFIXES: [usize; 3] = [25_000, 50_000, 100_000];
/// Decisions and reports of a measurement.
const REPEATS: u32 = 2_000;

/// Costs of routing.
pub struct RoutingCosts {
    /// Microseconds of a decision, by servers.
    pub decision_us: Slope,
    /// Microseconds to take in a load report and publish a view, by servers.
    pub load_report_us: Slope,
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
    Ok(RoutingCosts {
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
        let event =
            RoutingEvent::Load { server: server(number), report: report(number), asked_at: now };
        fleet.state.apply(event, now);
        black_box(fleet.state.view());
    })
}
