//! Measures the memory of the routing state at the target's size.
//!
//! `cargo run --release --example routing_memory`

#[path = "support/fleet.rs"]
mod fleet;

use coriandertide::decision::routing::RoutingPolicy;
use fleet::{KNOWN_PREFIXES, TargetFleet, query};
use std::fs;

/// Returns a field of the process's status, in bytes.
fn status_bytes(field: &str) -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes.unwrap_or("0").parse()?;
    Ok(kilobytes * 1_024)
}

fn main() -> anyhow::Result<()> {
    let before = status_bytes("VmRSS")?;
    let fleet = TargetFleet::new(RoutingPolicy::Coriandertide);
    let after = status_bytes("VmRSS")?;
    let prefixes = fleet.state.beliefs().len();
    let decision = fleet.state.view().route(&query(0), fleet.now);
    anyhow::ensure!(decision.is_some(), "no server was chosen");
    let grown = after.saturating_sub(before);
    println!("known_prefixes={prefixes} wanted_prefixes={KNOWN_PREFIXES}");
    println!("resident_bytes_before={before} resident_bytes_after={after}");
    println!("bytes_per_prefix={}", grown / prefixes.max(1) as u64);
    Ok(())
}
