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

/// Follows `stream` from its first kept record on, without end.
pub async fn follow(context: ControlContext, stream: LogStream) {
    let period = Duration::from_millis(context.settings.control.log_period_ms);
    follow_every(context, stream, period).await;
}

/// Follows `stream` from its first kept record on, with `period` between reads, without end.
pub async fn follow_every(context: ControlContext, stream: LogStream, period: Duration) {
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
        Timer::after(period).await;
    }
}
