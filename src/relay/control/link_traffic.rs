//! Bytes on partner links by kind of message, as metrics and as a periodic log line.

use crate::links::message::MessageKind;
use crate::metrics::labels::LinkLabels;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Period of the log line.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Messages and bytes of one kind since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Volume {
    messages: u64,
    bytes: u64,
}

impl Volume {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// Messages sent and received of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindVolume {
    sent: Volume,
    received: Volume,
}

/// Traffic on the partner links of a node.
pub(super) struct LinkTraffic {
    sent_bytes: Family<LinkLabels, Counter>,
    received_bytes: Family<LinkLabels, Counter>,
    kinds: HashMap<MessageKind, KindVolume>,
    next_log_at: Instant,
}

impl LinkTraffic {
    /// Returns a counter that adds to the given metrics.
    pub(super) fn new(
        sent_bytes: Family<LinkLabels, Counter>,
        received_bytes: Family<LinkLabels, Counter>,
        now: Instant,
    ) -> Self {
        Self { sent_bytes, received_bytes, kinds: HashMap::new(), next_log_at: now + LOG_PERIOD }
    }

    /// Counts a message that was queued on a link.
    pub(super) fn record_sent(&mut self, kind: MessageKind, bytes: usize) {
        self.sent_bytes.get_or_create(&labels(kind)).inc_by(bytes as u64);
        self.kinds.entry(kind).or_default().sent.add(bytes);
    }

    /// Counts a received message.
    pub(super) fn record_received(&mut self, kind: MessageKind, bytes: usize) {
        self.received_bytes.get_or_create(&labels(kind)).inc_by(bytes as u64);
        self.kinds.entry(kind).or_default().received.add(bytes);
    }

    /// Logs the volume of each kind if the line is due.
    pub(super) fn log_if_due(&mut self, now: Instant) {
        if now < self.next_log_at {
            return;
        }
        self.next_log_at = now + LOG_PERIOD;
        let mut line = format!("event=link_traffic period_s={}", LOG_PERIOD.as_secs());
        for (kind, volume) in &self.kinds {
            let KindVolume { sent, received } = volume;
            write!(
                line,
                " {kind}_sent={}/{} {kind}_received={}/{}",
                sent.messages, sent.bytes, received.messages, received.bytes
            )
            .expect("writing to a String cannot fail");
        }
        log::info!("{line}");
        self.kinds.clear();
    }
}

fn labels(kind: MessageKind) -> LinkLabels {
    LinkLabels { kind: kind.to_string() }
}
