//! Budget of a node at the target's size, from the measured slopes.

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

const NODES: f64 = 370.0;
const SERVERS: f64 = 620.0;
const WORKSPACES: f64 = 810.0;
const REQUESTS_PER_S: f64 = 2_900.0;
const CACHE_EVENTS_PER_S: f64 = 580_000.0;
const EDITS_PER_DAY: f64 = 2_900.0;
const MEMBER_CHANGES_PER_DAY: f64 = 2.0 * (12.0 + 72.0);
const KNOWN_PREFIXES: f64 = 100_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const TICKS_PER_S: f64 = 10.0;
/// Nodes of the largest running measurement, whose cost is the start of the sum.
const MEASURED_NODES: f64 = 9.0;
/// Bytes of a load report with the heads of its exchange.
const LOAD_REPORT_BYTES: f64 = 490.0;
/// Bytes of an empty read of a log stream with the heads of its exchange.
const LOG_READ_BYTES: f64 = 133.0;
/// Bytes of a record's frame in an answer of the log.
const RECORD_FRAME_BYTES: f64 = 70.0;
/// Growth of a payload in base64.
const BASE64: f64 = 4.0 / 3.0;

const CORE_LIMIT_PERCENT: f64 = 4.7;
const MEMORY_LIMIT_MB: f64 = 64.0;
const BYTES_LIMIT_PER_S: f64 = 14_000.0;

/// Measured costs.
pub struct Costs {
    /// Membership.
    pub membership: MembershipCosts,
    /// Claims.
    pub claims: ClaimCosts,
    /// Power.
    pub power: PowerCosts,
    /// Configuration.
    pub configuration: ConfigurationCosts,
    /// Routing.
    pub routing: RoutingCosts,
    /// Running nodes.
    pub nodes: NodeCosts,
}

/// Cost of one role.
struct Row {
    role: &'static str,
    core_us_per_s: f64,
    memory_bytes: f64,
    bytes_per_s: f64,
}

/// Returns the table of a node's budget and what is left for claims.
pub fn at_target(costs: &Costs) -> String {
    let rows = [base(costs), membership(costs), configuration(costs), power(costs), routing(costs)];
    let mut text =
        format!("{:<34} {:>9} {:>9} {:>9}\n", "a node at the target", "% core", "MB", "B/s");
    for row in &rows {
        write_row(&mut text, row);
    }
    let total = Row {
        role: "sum without claims",
        core_us_per_s: rows.iter().map(|row| row.core_us_per_s).sum(),
        memory_bytes: rows.iter().map(|row| row.memory_bytes).sum(),
        bytes_per_s: rows.iter().map(|row| row.bytes_per_s).sum(),
    };
    write_row(&mut text, &total);
    writeln!(
        text,
        "{:<34} {CORE_LIMIT_PERCENT:>9.2} {MEMORY_LIMIT_MB:>9.1} {BYTES_LIMIT_PER_S:>9.0}",
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
    let core_percent = row.core_us_per_s / 1e4;
    let memory_mb = row.memory_bytes / 1e6;
    writeln!(
        text,
        "{:<34} {core_percent:>9.3} {memory_mb:>9.2} {:>9.0}",
        row.role, row.bytes_per_s
    )
    .expect("writing to a string succeeds");
}

/// Control thread and links of a running node among as many partners as it has at the target.
fn base(costs: &Costs) -> Row {
    Row {
        role: "control thread, 8 links, idle",
        core_us_per_s: costs.nodes.control_us_per_s.at(MEASURED_NODES),
        memory_bytes: costs.nodes.memory_bytes.at(MEASURED_NODES),
        bytes_per_s: costs.nodes.link_bytes_per_s.at(MEASURED_NODES),
    }
}

fn membership(costs: &Costs) -> Row {
    let growth_us =
        costs.membership.tick_us.at(NODES) - costs.membership.tick_us.at(MEASURED_NODES);
    let changes_per_s = MEMBER_CHANGES_PER_DAY / SECONDS_PER_DAY;
    let set_bytes = costs.membership.set_bytes.at(NODES);
    Row {
        role: "membership, 370 members",
        core_us_per_s: growth_us.max(0.0) * TICKS_PER_S,
        memory_bytes: 4.0 * set_bytes,
        bytes_per_s: 2.0 * LINKS as f64 * changes_per_s * costs.membership.update_bytes,
    }
}

fn configuration(costs: &Costs) -> Row {
    let edits_per_s = EDITS_PER_DAY / SECONDS_PER_DAY;
    let edit_bytes = costs.configuration.edit_bytes * BASE64 + RECORD_FRAME_BYTES;
    let period = read_period(log_period(), NODES as u32);
    Row {
        role: "configuration, 810 workspaces",
        core_us_per_s: edits_per_s * costs.configuration.edit_us.at(WORKSPACES),
        memory_bytes: costs.configuration.memory_bytes.at(WORKSPACES),
        bytes_per_s: edits_per_s * edit_bytes + LOG_READ_BYTES / period.as_secs_f64(),
    }
}

fn log_period() -> Duration {
    Duration::from_millis(RawSettings::default().control.log_period_ms)
}

fn power(costs: &Costs) -> Row {
    let holds_per_s = holds_per_s();
    let hold_bytes = costs.power.hold_bytes * BASE64 + RECORD_FRAME_BYTES;
    let growth_us = costs.power.tick_us.at(NODES) - costs.power.tick_us.at(MEASURED_NODES);
    let starts_per_s = REQUESTS_PER_S / NODES;
    Row {
        role: "power, 370 shares",
        core_us_per_s: growth_us.max(0.0) * TICKS_PER_S + starts_per_s * costs.power.start_us,
        memory_bytes: 2.0 * costs.power.checkpoint_bytes.at(NODES),
        bytes_per_s: holds_per_s * hold_bytes + costs.power.ask_bytes * LINKS as f64,
    }
}

fn holds_per_s() -> f64 {
    NODES * 1_000.0 / PowerSettings::default().renew_after_ms as f64
}

fn routing(costs: &Costs) -> Row {
    let budget_bytes_per_s = f64::from(RawSettings::default().control.poll_bytes_per_s);
    let reports_per_s = budget_bytes_per_s / LOAD_REPORT_BYTES;
    let decisions_per_s = REQUESTS_PER_S / NODES;
    Row {
        role: "routing, 620 servers, 100k prefixes",
        core_us_per_s: reports_per_s * costs.routing.load_report_us.at(SERVERS)
            + decisions_per_s * costs.routing.decision_us.at(SERVERS),
        memory_bytes: costs.routing.memory_bytes.at(KNOWN_PREFIXES),
        bytes_per_s: budget_bytes_per_s,
    }
}

/// Writes the bytes of single messages.
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

/// Writes what an even share of all cache events would cost a node.
fn write_events(text: &mut String, costs: &Costs) {
    let events_per_s = CACHE_EVENTS_PER_S / NODES;
    let core_percent = events_per_s * costs.routing.events_us.per_unit / 1e4;
    writeln!(
        text,
        "an even share of all cache events, not taken: {events_per_s:.0} a second, {core_percent:.2}% \
         of a core, {:.0} B/s",
        events_per_s * EVENT_BYTES
    )
    .expect("writing to a string succeeds");
}

/// Writes how many claims a second fit into what the other roles leave.
fn write_claims(text: &mut String, costs: &Costs, used: &Row) {
    let claim_bytes = costs.claims.record_bytes.per_unit * BASE64;
    let by_bytes = (BYTES_LIMIT_PER_S - used.bytes_per_s).max(0.0) / claim_bytes;
    let spare_memory = (MEMORY_LIMIT_MB * 1e6 - used.memory_bytes).max(0.0);
    let keys = spare_memory / costs.claims.memory_bytes.per_unit;
    let by_memory = keys * 1_000.0 / costs.claims.memory_ms as f64;
    let spare_us = (CORE_LIMIT_PERCENT * 1e4 - used.core_us_per_s).max(0.0);
    let by_core = spare_us / costs.claims.fold_us.per_unit;
    writeln!(
        text,
        "claims a second of all nodes that fit beside it: {by_bytes:.0} by bytes, {by_memory:.0} \
         by memory over {} s, {by_core:.0} by core",
        costs.claims.memory_ms / 1_000
    )
    .expect("writing to a string succeeds");
}

/// Writes what the log bears.
fn write_log(text: &mut String, costs: &Costs) {
    let reads_per_s = NODES / read_period(log_period(), NODES as u32).as_secs_f64();
    writeln!(
        text,
        "appends a second on the log: configuration {:.3}, leases {:.2}, power {:.2}; snapshot of \
         the document {:.0} bytes; reads a second of one stream {reads_per_s:.0}",
        EDITS_PER_DAY / SECONDS_PER_DAY,
        2.0 / 3.0,
        holds_per_s(),
        costs.configuration.snapshot_bytes.at(WORKSPACES),
    )
    .expect("writing to a string succeeds");
}
