//! Costs of configuration: bytes of a snapshot, time of an edit and memory, by workspaces.

use crate::fit::{Point, Slope};
use crate::resource_usage::measure_allocation;
use coriandertide::decision::configuration::{
    ConfigurationEvent, ConfigurationFollower, ConfigurationRecord, Edit, SectionChange, Snapshot,
};
use coriandertide::document::RawDocument;
use coriandertide::ports::{LogPage, LogRecord};
use serde_json::{Map, Value, json};
use smol_str::format_smolstr;
use std::time::{Instant, SystemTime};

/// Measured numbers of workspaces.
const SIZES: [u64; 4] = [90, 270, 540, 810];
/// Edits per measurement.
const EDITS: u64 = 40;

/// Costs of the configuration subsystem.
pub struct ConfigurationCosts {
    /// Bytes of a snapshot, by workspaces.
    pub snapshot_bytes: Slope,
    /// Microseconds to fold an edit and check the document, by workspaces.
    pub edit_us: Slope,
    /// Bytes of memory, by workspaces.
    pub memory_bytes: Slope,
    /// Bytes of an edit record.
    pub edit_bytes: f64,
}

/// Measures the costs of configuration.
pub fn measure() -> anyhow::Result<ConfigurationCosts> {
    let mut snapshot_points = Vec::new();
    let mut edit_points = Vec::new();
    let mut memory_points = Vec::new();
    let mut retained_followers = Vec::new();
    for workspaces in SIZES {
        let size = workspaces as f64;
        let (bytes, mut follower) = measure_allocation(|| start_follower(workspaces))?;
        memory_points.push(Point { size, cost: bytes });
        edit_points.push(Point { size, cost: edit_us(&mut follower)? });
        let state = follower.state().ok_or_else(|| anyhow::anyhow!("no document is known"))?;
        let snapshot = ConfigurationRecord::Snapshot(Snapshot { state: state.as_ref().clone() });
        snapshot_points.push(Point { size, cost: snapshot.encode().len() as f64 });
        retained_followers.push(follower);
    }
    Ok(ConfigurationCosts {
        snapshot_bytes: Slope::fit(
            "configuration: bytes of a snapshot, by workspaces",
            snapshot_points,
        ),
        edit_us: Slope::fit("configuration: us an edit, by workspaces", edit_points),
        memory_bytes: Slope::fit("configuration: bytes of memory, by workspaces", memory_points),
        edit_bytes: edit_record(1, 1).encode().len() as f64,
    })
}

fn workspace(rate: u64) -> Value {
    json!({ "key_hashes": ["ab".repeat(32)], "requests_per_s": rate })
}

fn start_follower(workspaces: u64) -> anyhow::Result<ConfigurationFollower> {
    let sections: Map<String, Value> =
        (0..workspaces).map(|number| (format!("workspace-{number:03}"), workspace(100))).collect();
    let raw: RawDocument = serde_json::from_value(json!({ "workspaces": sections }))?;
    let mut follower = ConfigurationFollower::default();
    follower.apply(log_read(1, &ConfigurationRecord::initial(raw)));
    Ok(follower)
}

fn log_read(offset: u64, record: &ConfigurationRecord) -> ConfigurationEvent {
    let record = LogRecord { offset, appended_at: SystemTime::now(), payload: record.encode() };
    let page = LogPage { first_offset: 1, next_offset: offset + 1, records: vec![record] };
    ConfigurationEvent::LogRead(page)
}

fn edit_record(number: u64, base_revision: u64) -> ConfigurationRecord {
    ConfigurationRecord::Edit(Edit {
        edit_id: format_smolstr!("edit-{number:016x}"),
        author: "operator".into(),
        built_by: "0.1.0".into(),
        changes: vec![SectionChange {
            section: "workspaces/workspace-001".into(),
            base_revision,
            value: Some(workspace(100 + number)),
        }],
        requires: Vec::new(),
    })
}

fn edit_us(follower: &mut ConfigurationFollower) -> anyhow::Result<f64> {
    let started_at = Instant::now();
    for number in 0..EDITS {
        let base_revision = 1 + number;
        follower.apply(log_read(base_revision + 1, &edit_record(number, base_revision)));
    }
    let elapsed_us = started_at.elapsed().as_secs_f64() * 1e6;
    let revision = follower.document_in_force().offset;
    anyhow::ensure!(revision == EDITS + 1, "revision {revision} is in force after {EDITS} edits");
    Ok(elapsed_us / EDITS as f64)
}
