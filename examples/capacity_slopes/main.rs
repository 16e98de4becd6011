//! Measures how the cost of each subsystem grows with the size of a site, and derives the resource
//! budget of a node at the target size.
//!
//! Run it with `cargo run --release --example capacity_slopes`. It takes less than a minute, and
//! its nodes and stand-ins use loopback only.

mod budget;
mod claims;
mod configuration;
mod fit;
mod membership;
mod nodes;
mod power;
mod resource_usage;
mod routing;

use budget::Costs;

fn main() -> anyhow::Result<()> {
    let membership = membership::measure();
    let claims = claims::measure()?;
    let power = power::measure()?;
    let configuration = configuration::measure()?;
    let routing = routing::measure()?;
    let nodes = nodes::measure()?;
    println!("{:<44} {:>12} {:>12} {:>7}  points", "slope", "base", "per unit", "error");
    let slopes = [
        &membership.tick_us,
        &membership.member_set_bytes,
        &claims.record_bytes,
        &claims.memory_bytes,
        &claims.fold_us,
        &power.tick_us,
        &power.checkpoint_bytes,
        &configuration.snapshot_bytes,
        &configuration.edit_us,
        &configuration.memory_bytes,
        &routing.decision_us,
        &routing.load_report_us,
        &routing.events_us,
        &routing.memory_bytes,
        &nodes.control_us_per_s,
        &nodes.link_bytes_per_s,
        &nodes.memory_bytes,
    ];
    slopes.iter().for_each(|slope| println!("{slope}"));
    println!();
    let costs = Costs { membership, claims, power, configuration, routing, nodes };
    print!("{}", budget::target_budget(&costs));
    Ok(())
}
