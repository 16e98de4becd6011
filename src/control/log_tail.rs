//! Reads the log's streams from a starting offset on and delivers their records in order.

use super::{ControlContext, ControlEvent};
use crate::ports::LogStream;
use crate::types::LogOffset;
use smol::Timer;
use std::time::{Duration, Instant};

/// Most records of one read.
const READ_LIMIT: usize = 1_000;

/// Lowest offset of a stream.
pub const FIRST_OFFSET: LogOffset = 1;

/// Live nodes up to which each reads the log at its base period.
const NODES_AT_BASE_PERIOD: u32 = 16;

/// Returns the time between two reads of a node among `live_nodes`, so that the reads of all nodes
/// together stay bounded.
pub fn read_period(base: Duration, live_nodes: u32) -> Duration {
    base * live_nodes.max(NODES_AT_BASE_PERIOD) / NODES_AT_BASE_PERIOD
}

/// Follows `stream` from its first kept record on, without end.
pub async fn follow(context: ControlContext, stream: LogStream) {
    let period = Duration::from_millis(context.settings.control.log_period_ms);
    follow_every(context, stream, period).await;
}

/// Follows `stream` from its first kept record on, with `base_period` between reads while the nodes
/// are few, without end.
pub async fn follow_every(context: ControlContext, stream: LogStream, base_period: Duration) {
    let mut from = FIRST_OFFSET;
    loop {
        let asked_at = Instant::now();
        match context.log.read(stream, from, READ_LIMIT).await {
            Ok(page) => {
                let is_full = page.records.len() == READ_LIMIT;
                from = page.records.last().map_or(from, |record| record.offset + 1);
                context.send(ControlEvent::LogRead { stream, page, asked_at }).await;
                if is_full {
                    continue;
                }
            }
            Err(error) => context.send(ControlEvent::LogFailed { stream, error }).await,
        }
        Timer::after(read_period(base_period, context.live_nodes.get())).await;
    }
}
