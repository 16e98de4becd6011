//! Progress and failures of the reads of each log stream, for the administration API and metrics.

use super::ControlState;
use crate::metrics::{PeerLabels, StreamLabels};
use crate::ports::{LogPage, LogStream};
use crate::types::PeerError;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

impl ControlState {
    /// Records a successful read of `stream`.
    pub(super) fn record_log_read(&mut self, stream: LogStream, page: &LogPage, now: Instant) {
        let name: &'static str = stream.into();
        let status = Arc::make_mut(&mut self.admin).streams.entry(name).or_default();
        let next_offset = page.records.last().map_or(0, |record| record.offset + 1);
        status.next_offset = status.next_offset.max(next_offset);
        status.last_read_at = Some(now);
        if status.last_error.take().is_some() {
            log::info!("event=log_read_again stream={stream}");
        }
        let labels = StreamLabels { stream: name.to_owned() };
        let metrics = &self.context.metrics;
        let next_offset = i64::try_from(status.next_offset).unwrap_or(i64::MAX);
        metrics.log_read_offset.get_or_create(&labels).set(next_offset);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        metrics.log_read_timestamp_seconds.get_or_create(&labels).set(unix_time.as_secs_f64());
    }

    /// Records a failed read of `stream`. Only the first of several consecutive failures is logged as
    /// a warning.
    pub(super) fn record_log_read_failure(&mut self, stream: LogStream, error: &PeerError) {
        let name: &'static str = stream.into();
        let status = Arc::make_mut(&mut self.admin).streams.entry(name).or_default();
        let is_first = status.last_error.is_none();
        status.last_error = Some(error.to_string());
        let level = if is_first { log::Level::Warn } else { log::Level::Debug };
        log::log!(level, "event=log_read_failed stream={stream} {error}");
        let metrics = &self.context.metrics;
        metrics.peer_errors.get_or_create(&PeerLabels::new("log", error)).inc();
        let labels = StreamLabels { stream: name.to_owned() };
        metrics.log_read_failures.get_or_create(&labels).inc();
    }
}
