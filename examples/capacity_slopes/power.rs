//! Costs of power: time of a tick and bytes of a checkpoint by nodes, and bytes of single messages.

use crate::fit::{Point, Slope};
use crate::resource_usage::mean_us;
use bytes::Bytes;
use coriandertide::decision::leases::StreamRecord;
use coriandertide::decision::power::ledger::ShareEntry;
use coriandertide::decision::power::{
    PowerAccount, PowerEvent, PowerMessage, PowerRequest, PowerSettings, PowerSource, PowerState,
    ShareAction, ShareRecord, SourceId, TOTAL_PARTS,
};
use coriandertide::document::{Document, RawDocument};
use coriandertide::ports::{LogPage, LogRecord};
use coriandertide::types::Priority;
use serde_json::json;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Measured numbers of nodes.
const SIZES: [u64; 4] = [8, 92, 185, 370];
/// Requests running on a node at peak: 2,900 per second, 10 s each, over 370 nodes.
const RUNNING_REQUESTS: u64 = 80;
/// Repetitions of each measured step.
const REPEATS: u32 = 2_000;

type PowerRecord = StreamRecord<ShareRecord, ShareEntry>;

/// Costs of the power subsystem.
pub struct PowerCosts {
    /// Microseconds of a tick of the control thread, by nodes.
    pub tick_us: Slope,
    /// Bytes of a checkpoint record, by nodes.
    pub checkpoint_bytes: Slope,
    /// Bytes of a hold record.
    pub hold_bytes: f64,
    /// Bytes of a message that asks a partner for power.
    pub ask_bytes: f64,
    /// Microseconds to commit and release the power of a request.
    pub start_us: f64,
}

/// Measures the costs of power.
pub fn measure() -> anyhow::Result<PowerCosts> {
    let mut tick_points = Vec::new();
    let mut checkpoint_points = Vec::new();
    for nodes in SIZES {
        let size = nodes as f64;
        tick_points.push(Point { size, cost: tick_us(nodes)? });
        let entries = (0..nodes).map(|number| share_entry(number, nodes)).collect();
        let checkpoint = PowerRecord::Checkpoint { as_of: nodes, entries };
        let bytes = serde_json::to_vec(&checkpoint)?.len();
        checkpoint_points.push(Point { size, cost: bytes as f64 });
    }
    let message =
        PowerMessage::Ask { ask: 1_000, parts: 1, needed_ms: 90_000, held_grants: vec![7] };
    let mut ask_bytes = Vec::new();
    ciborium::into_writer(&message, &mut ask_bytes)?;
    Ok(PowerCosts {
        tick_us: Slope::fit("power: us a tick, by nodes", tick_points),
        checkpoint_bytes: Slope::fit("power: bytes of a checkpoint, by nodes", checkpoint_points),
        hold_bytes: serde_json::to_vec(&hold_record(share_entry(1, 370)))?.len() as f64,
        ask_bytes: ask_bytes.len() as f64,
        start_us: start_us()?,
    })
}

fn share_entry(number: u64, nodes: u64) -> ShareEntry {
    ShareEntry {
        instance: format!("entry-norte-{number:03}-89abcdef").into(),
        offset: 1_000_000 + number,
        parts: TOTAL_PARTS / nodes,
        lease_ms: 900_000,
        outlast_ms: 90_001,
        address: format!("10.20.{}.{}:8082", number / 250, number % 250).into(),
    }
}

fn hold_record(entry: ShareEntry) -> PowerRecord {
    StreamRecord::Change(ShareRecord {
        instance: entry.instance,
        attempt: 1,
        replaces: 0,
        action: ShareAction::Hold {
            parts: entry.parts,
            lease_ms: entry.lease_ms,
            outlast_ms: entry.outlast_ms,
            address: entry.address,
        },
    })
}

fn document() -> anyhow::Result<Document> {
    let raw: RawDocument = serde_json::from_value(json!({
        "servers": {"server": {
            "address": "127.0.0.1:9000", "availability_zone": "norte",
            "concurrent_requests": 64, "idle_watts": 0, "request_watts": 300,
        }},
        "site": {"budget_watts": 20_000_000, "max_nodes": 370},
    }))?;
    Ok(Document::try_from(raw)?)
}

fn tick_us(nodes: u64) -> anyhow::Result<f64> {
    let now = Instant::now();
    let account = Arc::new(PowerAccount::default());
    let settings = PowerSettings::default();
    let mut state = PowerState::new("me".into(), "10.0.0.1:1".into(), settings, account, now);
    state.apply(PowerEvent::Document(Arc::new(document()?)), now);
    let mut records = Vec::new();
    for number in 0..nodes {
        let payload = Bytes::from(serde_json::to_vec(&hold_record(share_entry(number, nodes)))?);
        let appended_at = SystemTime::now();
        records.push(LogRecord { offset: number + 1, appended_at, payload });
    }
    let page = LogPage { first_offset: 1, next_offset: nodes + 1, records };
    state.apply(PowerEvent::Page { page, from_offset: 1 }, now);
    Ok(mean_us(REPEATS, |_| {
        black_box(state.apply(PowerEvent::Tick, now));
    }))
}

fn start_us() -> anyhow::Result<f64> {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(600);
    let account = PowerAccount::default();
    account.set_document(&document()?);
    let source = PowerSource { parts: TOTAL_PARTS / 2, deadline, start_deadline: deadline };
    account.set_source(SourceId::Share, source);
    let power_request = |number: u64| PowerRequest {
        request: format!("request-{number}").into(),
        server: "server".into(),
        priority: Priority::Normal,
        work_deadline: now + Duration::from_secs(30),
    };
    for number in 0..RUNNING_REQUESTS {
        account.try_start(&power_request(number), now);
    }
    let additional = power_request(RUNNING_REQUESTS);
    Ok(mean_us(REPEATS, |_| {
        black_box(account.try_start(&additional, now));
        account.finish(&additional.request);
    }))
}
