//! Injects faults into a running site.

use crate::options::Fault;
use crate::site::{CONFIGURATION_STREAM, Site};
use anyhow::Context as _;
use coriandertide::decision::configuration::{ConfigurationRecord, Edit, SectionChange};
use coriandertide_standins::engine::EngineFaults;
use coriandertide_standins::log_service::LogFaults;
use smol_str::SmolStr;
use std::thread;
use std::time::Duration;

/// Downtime of a crashed engine.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_000);
/// Duration of faults of the log.
const LOG_FAULT_PERIOD: Duration = Duration::from_secs(5);
/// Duration of a node pause and of a partition.
const PAUSE_PERIOD: Duration = Duration::from_secs(3);
/// Fraction of cache events lost.
const EVENT_LOSS_FRACTION: f64 = 0.33;
/// Additional age of load reports.
const EXTRA_LOAD_LAG_MS: u64 = 2_000;
/// Percentage of the power for running requests that remains after [`Fault::PowerCut`].
const REMAINING_REQUEST_POWER_PERCENT: u32 = 75;

/// Injects `fault`.
///
/// Blocks while a fault of the log or a partition lasts and while a node drains, but not while an
/// engine is down or a node is paused.
pub fn inject(site: &Site, fault: Fault, nodes: usize) -> anyhow::Result<()> {
    log::info!("event=fault_injected fault={fault}");
    match fault {
        Fault::EngineCrash => site.engines[0].crash(CRASH_DOWNTIME),
        Fault::EventGaps => {
            set_engine_faults(
                site,
                EngineFaults { event_loss_fraction: EVENT_LOSS_FRACTION, ..no_faults() },
            );
        }
        Fault::LoadLag => {
            let faults = EngineFaults { extra_load_lag_ms: EXTRA_LOAD_LAG_MS, ..no_faults() };
            set_engine_faults(site, faults);
        }
        // The workload contains both of these.
        Fault::HotShift | Fault::Poison => {}
        Fault::NodeRestart => {
            site.start_node()?;
            site.remove_oldest_node().context("no node to drain")?.drain();
        }
        Fault::NodeKill => {
            site.remove_oldest_node().context("no node to kill")?.kill();
            site.start_node()?;
        }
        Fault::HerdRestart => {
            for node in site.remove_all_nodes() {
                node.kill();
            }
            for _ in 0..nodes {
                site.start_node()?;
            }
        }
        Fault::NodePause => site.freeze_node(PAUSE_PERIOD),
        Fault::LogOutage => {
            apply_log_faults(site, LogFaults { outage: true, ..LogFaults::default() });
        }
        Fault::LostAppendAnswer => {
            let faults = LogFaults { lose_append_answers: true, ..LogFaults::default() };
            apply_log_faults(site, faults);
        }
        Fault::Partition => {
            let zone = site.preset.zones[0];
            site.zone_delays.set_cut(zone, true);
            thread::sleep(PAUSE_PERIOD);
            site.zone_delays.set_cut(zone, false);
        }
        Fault::PowerCut => lower_power_budget(site, nodes)?,
        Fault::ServerLeaving => {
            site.instance_list.put(site.server_instance(&site.engines[0], "leaving"));
        }
    }
    Ok(())
}

/// Returns the power budget after [`Fault::PowerCut`].
pub fn lowered_budget_watts(site: &Site) -> u32 {
    let preset = &site.preset;
    let idle_watts = preset.engines * crate::preset::IDLE_WATTS;
    idle_watts + (preset.budget_watts() - idle_watts) * REMAINING_REQUEST_POWER_PERCENT / 100
}

fn no_faults() -> EngineFaults {
    EngineFaults::default()
}

fn set_engine_faults(site: &Site, faults: EngineFaults) {
    for engine in &site.engines {
        engine.set_faults(faults.clone());
    }
}

fn apply_log_faults(site: &Site, faults: LogFaults) {
    site.log.set_faults(faults);
    thread::sleep(LOG_FAULT_PERIOD);
    site.log.set_faults(LogFaults::default());
}

/// Appends an edit of the initial document that lowers the power budget.
fn lower_power_budget(site: &Site, nodes: usize) -> anyhow::Result<()> {
    let section = crate::document::raw_site(site, nodes)?;
    let section = coriandertide::document::raw::RawSite {
        budget_watts: lowered_budget_watts(site),
        ..section
    };
    let change = SectionChange {
        section: SmolStr::new_static("site"),
        base_revision: 1,
        value: Some(serde_json::to_value(section)?),
    };
    let edit = Edit {
        edit_id: SmolStr::new_static("power-cut"),
        author: SmolStr::new_static("operator"),
        built_by: SmolStr::new_static("local_site"),
        changes: vec![change],
        requires: Vec::new(),
    };
    site.log.append(CONFIGURATION_STREAM, ConfigurationRecord::Edit(edit).encode());
    Ok(())
}
