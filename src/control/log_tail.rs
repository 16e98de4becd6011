//! Reads streams of the log periodically from their start and delivers the records in order.

use super::{ControlContext, ControlEvent};
use crate::ports::LogStream;
use crate::types::LogOffset;
use smol::Timer;
use std::time::{Duration, Instant};

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1_000;

/// Lowest offset of a stream.
pub const FIRST_OFFSET: LogOffset = 1;

/// Maximum number of live nodes at which each of them reads the log at the base period.
const MAX_NODES_AT_BASE_PERIOD: u32 = 16;

/// Returns the period of a node's reads among `live_nodes` nodes. Beyond
/// `MAX_NODES_AT_BASE_PERIOD` it grows with their number, so that the read rate of all nodes
/// together stays bounded.
pub fn read_period(base_period: Duration, live_nodes: u32) -> Duration {
    base_period * live_nodes.max(MAX_NODES_AT_BASE_PERIOD) / MAX_NODES_AT_BASE_PERIOD
}

/// Reads `stream` from its first retained record, forever, with the base period of the settings.
pub async fn follow(context: ControlContext, stream: LogStream) {
    let period = Duration::from_millis(context.settings.control.log_period_ms);
    follow_every(context, stream, period).await;
}

/// Reads `stream` from its first retained record, forever. The period is `base_period` while there
/// are few nodes, see [`read_period`].
pub async fn follow_every(context: ControlContext, stream: LogStream, base_period: Duration) {
    let mut from = FIRST_OFFSET;
    loop {
        let requested_at = Instant::now();
        match context.log.read(stream, from, MAX_READ_RECORDS).await {
            Ok(page) => {
                let is_full = page.records.len() == MAX_READ_RECORDS;
                from = page.records.last().map_or(from, |record| record.offset + 1);
                context.send(ControlEvent::LogRead { stream, page, requested_at }).await;
                if is_full {
                    continue;
                }
            }
            Err(error) => context.send(ControlEvent::LogReadFailed { stream, error }).await,
        }
        Timer::after(read_period(base_period, context.live_nodes.get())).await;
    }
}
