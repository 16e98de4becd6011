//! Prints what power costs a node at a given number of nodes: bytes on the log and on links, and
//! processor time of the control thread's tick and of starting a request.

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
use serde::Serialize;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Requests that run on a node at the peak: 2,900 a second for 10 s over 370 nodes.
const RUNNING_REQUESTS: u64 = 80;
/// Times that each step is repeated.
const REPEATS: u32 = 2_000;

fn main() -> anyhow::Result<()> {
    for nodes in [8, 92, 370] {
        measure_ledger(nodes)?;
    }
    measure_account()
}

fn json_bytes(value: &impl Serialize) -> anyhow::Result<usize> {
    Ok(serde_json::to_vec(value)?.len())
}

fn entry(number: u64, parts: u64) -> ShareEntry {
    ShareEntry {
        instance: format!("entry-norte-{number:03}-89abcdef").into(),
        offset: 1_000_000 + number,
        parts,
        lease_ms: 900_000,
        outlast_ms: 90_001,
        address: format!("10.20.{}.{}:8082", number / 250, number % 250).into(),
    }
}

fn document() -> anyhow::Result<Document> {
    let raw: RawDocument = serde_json::from_value(serde_json::json!({
        "servers": {"server": {
            "address": "127.0.0.1:9000", "availability_zone": "norte",
            "concurrent_requests": 64, "idle_watts": 0, "request_watts": 300,
        }},
        "site": {"budget_watts": 20_000_000, "max_nodes": 370},
    }))?;
    Ok(Document::try_from(raw)?)
}

fn measure_ledger(nodes: u64) -> anyhow::Result<()> {
    let now = Instant::now();
    let account = Arc::new(PowerAccount::default());
    let settings = PowerSettings::default();
    let mut state = PowerState::new("me".into(), "10.0.0.1:1".into(), settings, account, now);
    state.apply(PowerEvent::Document(Arc::new(document()?)), now);
    let mut records = Vec::new();
    let mut hold_bytes = 0;
    let mut entries = Vec::new();
    for number in 0..nodes {
        let entry = entry(number, TOTAL_PARTS / nodes);
        let record = ShareRecord {
            instance: entry.instance.clone(),
            attempt: 1,
            replaces: 0,
            action: ShareAction::Hold {
                parts: entry.parts,
                lease_ms: entry.lease_ms,
                outlast_ms: entry.outlast_ms,
                address: entry.address.clone(),
            },
        };
        let record: StreamRecord<ShareRecord, ShareEntry> = StreamRecord::Change(record);
        hold_bytes = json_bytes(&record)?;
        let payload = Bytes::from(serde_json::to_vec(&record)?);
        let appended_at = SystemTime::now();
        records.push(LogRecord { offset: number + 1, appended_at, payload });
        entries.push(entry);
    }
    let checkpoint: StreamRecord<ShareRecord, ShareEntry> =
        StreamRecord::Checkpoint { as_of: nodes, entries };
    let page = LogPage { first_offset: 1, next_offset: nodes + 1, records };
    let started_at = Instant::now();
    state.apply(PowerEvent::Page { page, from: 1 }, now);
    let fold_us = started_at.elapsed().as_micros();
    let tick_us = repeat(|| {
        black_box(state.apply(PowerEvent::Tick, now));
    });
    println!(
        "nodes={nodes} hold_bytes={hold_bytes} checkpoint_bytes={} fold_all_us={fold_us} \
         tick_us={tick_us:.2}",
        json_bytes(&checkpoint)?,
    );
    Ok(())
}

fn measure_account() -> anyhow::Result<()> {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(600);
    let account = PowerAccount::default();
    account.set_document(&document()?);
    let source = PowerSource { parts: TOTAL_PARTS / 2, deadline, starts_until: deadline };
    account.set_source(SourceId::Share, source);
    for grant in 0..4 {
        let id = SourceId::Grant { giver: "giver".into(), grant };
        let deadline = now + Duration::from_secs(60 + grant);
        account.set_source(id, PowerSource { parts: TOTAL_PARTS / 10, deadline, ..source });
    }
    let start = |number: u64| PowerRequest {
        request: format!("request-{number}").into(),
        server: "server".into(),
        priority: Priority::Normal,
        work_deadline: now + Duration::from_secs(30),
    };
    for number in 0..RUNNING_REQUESTS {
        account.try_start(&start(number), now);
    }
    let one_more = start(RUNNING_REQUESTS);
    let start_us = repeat(|| {
        black_box(account.try_start(&one_more, now));
        account.finish(&one_more.request);
    });
    let ask = PowerMessage::Ask { ask: 1_000, parts: 1, needed_ms: 90_000, held_grants: vec![7] };
    let mut ask_bytes = Vec::new();
    ciborium::into_writer(&ask, &mut ask_bytes)?;
    println!("running={RUNNING_REQUESTS} start_us={start_us:.2} ask_bytes={}", ask_bytes.len());
    Ok(())
}

/// Returns the mean time of `step` in microseconds.
fn repeat(mut step: impl FnMut()) -> f64 {
    let started_at = Instant::now();
    (0..REPEATS).for_each(|_| step());
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}
