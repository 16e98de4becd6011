//! Resource budget of a node at the target size, from the fitted slopes.

use crate::claims::ClaimCosts;
use crate::configuration::ConfigurationCosts;
use crate::membership::{LINKS, MembershipCosts};
use crate::nodes::NodeCosts;
use crate::power::PowerCosts;
use crate::routing::{EVENT_BYTES, RoutingCosts};
use coriandertide::control::log_tail::read_period;
use coriandertide::decision::power::PowerSettings;
use coriandertide::settings::RawSettings;
use std::fmt::Write;
use std::time::Duration;

// Sizes and rates of the target site.
const NODES: f64 = 370.0;
const SERVERS: f64 = 620.0;
const WORKSPACES: f64 = 810.0;
const REQUESTS_PER_S: f64 = 2_900.0;
const CACHE_EVENTS_PER_S: f64 = 580_000.0;
const EDITS_PER_DAY: f64 = 2_900.0;
const MEMBER_CHANGES_PER_DAY: f64 = 2.0 * (12.0 + 72.0);
const KNOWN_PREFIXES: f64 = 100_000.0;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Ticks of the control thread per second.
const TICKS_PER_S: f64 = 10.0;
/// Nodes in the largest measured site, whose cost per node is the base of the budget.
const MEASURED_NODES: f64 = 9.0;
/// Bytes of a load report, with the HTTP heads of its request and response.
const LOAD_REPORT_BYTES: f64 = 490.0;
/// Bytes of an empty read of a log stream, with the HTTP heads of its request and response.
const LOG_READ_BYTES: f64 = 133.0;
/// Bytes that the log's response adds to each record's payload.
const RECORD_OVERHEAD_BYTES: f64 = 70.0;
/// Factor by which base64 enlarges a payload.
const BASE64_FACTOR: f64 = 4.0 / 3.0;

// Limits of a node's budget: percent of one core, memory, and bytes on the network.
const MAX_CORE_PERCENT: f64 = 4.7;
const MAX_MEMORY_MB: f64 = 64.0;
const MAX_BYTES_PER_S: f64 = 14_000.0;

/// Measured costs of all subsystems.
pub struct Costs {
    /// Costs of membership.
    pub membership: MembershipCosts,
    /// Costs of claims.
    pub claims: ClaimCosts,
    /// Costs of power.
    pub power: PowerCosts,
    /// Costs of configuration.
    pub configuration: ConfigurationCosts,
    /// Costs of routing.
    pub routing: RoutingCosts,
    /// Costs of running nodes without traffic.
    pub nodes: NodeCosts,
}

/// Cost of one subsystem for a node.
struct Row {
    label: &'static str,
    cpu_us_per_s: f64,
    memory_bytes: f64,
    bytes_per_s: f64,
}

/// Returns the budget table of a node, followed by the rate of claims that fits into the remainder.
pub fn target_budget(costs: &Costs) -> String {
    let rows = [
        base_row(costs),
        membership_row(costs),
        configuration_row(costs),
        power_row(costs),
        routing_row(costs),
    ];
    let mut text =
        format!("{:<34} {:>9} {:>9} {:>9}\n", "a node at the target", "% core", "MB", "B/s");
    for row in &rows {
        write_row(&mut text, row);
    }
    let total = Row {
        label: "sum without claims",
        cpu_us_per_s: rows.iter().map(|row| row.cpu_us_per_s).sum(),
        memory_bytes: rows.iter().map(|row| row.memory_bytes).sum(),
        bytes_per_s: rows.iter().map(|row| row.bytes_per_s).sum(),
    };
    write_row(&mut text, &total);
    writeln!(
        text,
        "{:<34} {MAX_CORE_PERCENT:>9.2} {MAX_MEMORY_MB:>9.1} {MAX_BYTES_PER_S:>9.0}",
        "limit"
    )
    .expect("writing to a string succeeds");
    write_messages(&mut text, costs);
    write_events(&mut text, costs);
    write_claims(&mut text, costs, &total);
    write_log(&mut text, costs);
    text
}

fn write_row(text: &mut String, row: &Row) {
    let core_percent = row.cpu_us_per_s / 1e4;
    let memory_mb = row.memory_bytes / 1e6;
    writeln!(
        text,
        "{:<34} {core_percent:>9.3} {memory_mb:>9.2} {:>9.0}",
        row.label, row.bytes_per_s
    )
    .expect("writing to a string succeeds");
}

/// Control thread and links of an idle node with as many links as at the target size.
fn base_row(costs: &Costs) -> Row {
    Row {
        label: "control thread, 8 links, idle",
        cpu_us_per_s: costs.nodes.control_us_per_s.cost_at(MEASURED_NODES),
        memory_bytes: costs.nodes.memory_bytes.cost_at(MEASURED_NODES),
        bytes_per_s: costs.nodes.link_bytes_per_s.cost_at(MEASURED_NODES),
    }
}

fn membership_row(costs: &Costs) -> Row {
    let growth_us =
        costs.membership.tick_us.cost_at(NODES) - costs.membership.tick_us.cost_at(MEASURED_NODES);
    let changes_per_s = MEMBER_CHANGES_PER_DAY / SECONDS_PER_DAY;
    let member_set_bytes = costs.membership.member_set_bytes.cost_at(NODES);
    Row {
        label: "membership, 370 members",
        cpu_us_per_s: growth_us.max(0.0) * TICKS_PER_S,
        memory_bytes: 4.0 * member_set_bytes,
        bytes_per_s: 2.0 * LINKS as f64 * changes_per_s * costs.membership.update_bytes,
    }
}

fn configuration_row(costs: &Costs) -> Row {
    let edits_per_s = EDITS_PER_DAY / SECONDS_PER_DAY;
    let edit_bytes = costs.configuration.edit_bytes * BASE64_FACTOR + RECORD_OVERHEAD_BYTES;
    let period = read_period(log_period(), NODES as u32);
    Row {
        label: "configuration, 810 workspaces",
        cpu_us_per_s: edits_per_s * costs.configuration.edit_us.cost_at(WORKSPACES),
        memory_bytes: costs.configuration.memory_bytes.cost_at(WORKSPACES),
        bytes_per_s: edits_per_s * edit_bytes + LOG_READ_BYTES / period.as_secs_f64(),
    }
}

fn log_period() -> Duration {
    Duration::from_millis(RawSettings::default().control.log_period_ms)
}

fn power_row(costs: &Costs) -> Row {
    let holds_per_s = holds_per_s();
    let hold_bytes = costs.power.hold_bytes * BASE64_FACTOR + RECORD_OVERHEAD_BYTES;
    let growth_us =
        costs.power.tick_us.cost_at(NODES) - costs.power.tick_us.cost_at(MEASURED_NODES);
    let starts_per_s = REQUESTS_PER_S / NODES;
    Row {
        label: "power, 370 shares",
        cpu_us_per_s: growth_us.max(0.0) * TICKS_PER_S + starts_per_s * costs.power.start_us,
        memory_bytes: 2.0 * costs.power.checkpoint_bytes.cost_at(NODES),
        bytes_per_s: holds_per_s * hold_bytes + costs.power.ask_bytes * LINKS as f64,
    }
}

fn holds_per_s() -> f64 {
    NODES * 1_000.0 / PowerSettings::default().renew_after_ms as f64
}

fn routing_row(costs: &Costs) -> Row {
    let budget_bytes_per_s = f64::from(RawSettings::default().control.poll_bytes_per_s);
    let reports_per_s = budget_bytes_per_s / LOAD_REPORT_BYTES;
    let decisions_per_s = REQUESTS_PER_S / NODES;
    Row {
        label: "routing, 620 servers, 100k prefixes",
        cpu_us_per_s: reports_per_s * costs.routing.load_report_us.cost_at(SERVERS)
            + decisions_per_s * costs.routing.decision_us.cost_at(SERVERS),
        memory_bytes: costs.routing.memory_bytes.cost_at(KNOWN_PREFIXES),
        bytes_per_s: budget_bytes_per_s,
    }
}

/// Writes the sizes of single messages.
fn write_messages(text: &mut String, costs: &Costs) {
    writeln!(
        text,
        "bytes: ping {:.0}, member update {:.0}, power ask {:.0}, power hold {:.0}, edit {:.0}",
        costs.membership.ping_bytes,
        costs.membership.update_bytes,
        costs.power.ask_bytes,
        costs.power.hold_bytes,
        costs.configuration.edit_bytes,
    )
    .expect("writing to a string succeeds");
}

/// Writes the cost of an even share of all cache events, which the budget does not include.
fn write_events(text: &mut String, costs: &Costs) {
    let events_per_s = CACHE_EVENTS_PER_S / NODES;
    let core_percent = events_per_s * costs.routing.events_us.cost_per_unit / 1e4;
    writeln!(
        text,
        "an even share of all cache events, not taken: {events_per_s:.0} a second, {core_percent:.2}% \
         of a core, {:.0} B/s",
        events_per_s * EVENT_BYTES
    )
    .expect("writing to a string succeeds");
}

/// Writes the rate of claims that fits into the budget left by the other subsystems.
fn write_claims(text: &mut String, costs: &Costs, other_subsystems: &Row) {
    let claim_bytes = costs.claims.record_bytes.cost_per_unit * BASE64_FACTOR;
    let by_bytes = (MAX_BYTES_PER_S - other_subsystems.bytes_per_s).max(0.0) / claim_bytes;
    let spare_memory_bytes = (MAX_MEMORY_MB * 1e6 - other_subsystems.memory_bytes).max(0.0);
    let keys = spare_memory_bytes / costs.claims.memory_bytes.cost_per_unit;
    let by_memory = keys * 1_000.0 / costs.claims.dedup_window_ms as f64;
    let spare_us = (MAX_CORE_PERCENT * 1e4 - other_subsystems.cpu_us_per_s).max(0.0);
    let by_core = spare_us / costs.claims.fold_us.cost_per_unit;
    writeln!(
        text,
        "claims a second of all nodes that fit beside it: {by_bytes:.0} by bytes, {by_memory:.0} \
         by memory over {} s, {by_core:.0} by core",
        costs.claims.dedup_window_ms / 1_000
    )
    .expect("writing to a string succeeds");
}

/// Writes the load on the log service.
fn write_log(text: &mut String, costs: &Costs) {
    let reads_per_s = NODES / read_period(log_period(), NODES as u32).as_secs_f64();
    writeln!(
        text,
        "appends a second on the log: configuration {:.3}, leases {:.2}, power {:.2}; snapshot of \
         the document {:.0} bytes; reads a second of one stream {reads_per_s:.0}",
        EDITS_PER_DAY / SECONDS_PER_DAY,
        2.0 / 3.0,
        holds_per_s(),
        costs.configuration.snapshot_bytes.cost_at(WORKSPACES),
    )
    .expect("writing to a string succeeds");
}
