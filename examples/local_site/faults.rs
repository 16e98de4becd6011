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

/// Time that a crashed engine is down.
const CRASH_DOWN: Duration = Duration::from_millis(1_000);
/// Length of outages of the log.
const LOG_FAULT: Duration = Duration::from_secs(5);
/// Length of a pause of a node and of a partition.
const PAUSE: Duration = Duration::from_secs(3);
/// Share of cache events lost.
const EVENT_LOSS: f64 = 0.33;
/// Additional lag of load reports.
const EXTRA_LOAD_LAG_MS: u64 = 2_000;
/// Draw of work that a power cut leaves, in percent.
const LEFT_WORK_PERCENT: u32 = 75;

/// Injects `fault`; returns when it is over. Blocks its thread.
pub fn inject(site: &Site, fault: Fault, nodes: usize) -> anyhow::Result<()> {
    log::info!("event=fault_injected fault={fault}");
    match fault {
        Fault::EngineCrash => site.engines[0].crash(CRASH_DOWN),
        Fault::EventGaps => {
            set_engine_faults(site, EngineFaults { event_loss_fraction: EVENT_LOSS, ..healthy() });
        }
        Fault::LoadLag => {
            let faults = EngineFaults { extra_load_lag_ms: EXTRA_LOAD_LAG_MS, ..healthy() };
            set_engine_faults(site, faults);
        }
        // Both are part of the traffic itself.
        Fault::HotShift | Fault::Poison => {}
        Fault::NodeRestart => {
            site.start_node()?;
            site.take_node().context("a node to drain")?.drain();
        }
        Fault::NodeKill => {
            site.take_node().context("a node to kill")?.kill();
            site.start_node()?;
        }
        Fault::HerdRestart => {
            for node in site.take_nodes() {
                node.kill();
            }
            for _ in 0..nodes {
                site.start_node()?;
            }
        }
        Fault::NodePause => site.freeze_node(PAUSE),
        Fault::LogOutage => {
            with_log_faults(site, LogFaults { outage: true, ..LogFaults::default() });
        }
        Fault::LostAppendAnswer => {
            let faults = LogFaults { lose_append_answers: true, ..LogFaults::default() };
            with_log_faults(site, faults);
        }
        Fault::Partition => {
            let zone = site.preset.zones[0];
            site.zone_delays.set_cut(zone, true);
            thread::sleep(PAUSE);
            site.zone_delays.set_cut(zone, false);
        }
        Fault::PowerCut => cut_power(site, nodes)?,
        Fault::ServerLeaving => {
            site.instance_list.put(site.server_record(&site.engines[0], "leaving"));
        }
    }
    Ok(())
}

/// Returns the budget after [`Fault::PowerCut`].
pub fn cut_budget_watts(site: &Site) -> u32 {
    let preset = &site.preset;
    let idle = preset.engines * crate::preset::IDLE_WATTS;
    idle + (preset.budget_watts() - idle) * LEFT_WORK_PERCENT / 100
}

fn healthy() -> EngineFaults {
    EngineFaults::default()
}

fn set_engine_faults(site: &Site, faults: EngineFaults) {
    for engine in &site.engines {
        engine.set_faults(faults.clone());
    }
}

fn with_log_faults(site: &Site, faults: LogFaults) {
    site.log.set_faults(faults);
    thread::sleep(LOG_FAULT);
    site.log.set_faults(LogFaults::default());
}

/// Publishes an edit that lowers the budget, made on the first document.
fn cut_power(site: &Site, nodes: usize) -> anyhow::Result<()> {
    let section = crate::document::raw_site(site, nodes)?;
    let section =
        coriandertide::document::raw::RawSite { budget_watts: cut_budget_watts(site), ..section };
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
