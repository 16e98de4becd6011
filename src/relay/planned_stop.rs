//! Planned stop of a node: until when it takes requests, and when the last ones are answered.

use async_channel::{Receiver, Sender};
use std::convert::Infallible;
use std::sync::OnceLock;
use std::time::Instant;

/// State of the stop of a node.
#[derive(Debug)]
pub struct PlannedStop {
    /// Until when requests are taken, empty while the node is not stopping.
    accept_until: OnceLock<Instant>,
    /// Closed when requests without an answer get their last one.
    end_sender: Sender<Infallible>,
    end: Receiver<Infallible>,
}

impl Default for PlannedStop {
    fn default() -> Self {
        let (end_sender, end) = async_channel::bounded(1);
        Self { accept_until: OnceLock::new(), end_sender, end }
    }
}

impl PlannedStop {
    /// Begins the stop; requests that have been read completely until `accept_until` are taken.
    pub fn begin(&self, accept_until: Instant) {
        self.accept_until.get_or_init(|| accept_until);
    }

    /// Whether a request that has just been read can still be served before the node stops.
    pub fn takes_requests(&self, now: Instant) -> bool {
        self.accept_until.get().is_none_or(|accept_until| now < *accept_until)
    }

    /// Ends the requests that have no answer yet.
    pub fn end_requests(&self) {
        self.end_sender.close();
    }

    /// Waits until requests without an answer must end.
    pub async fn requests_end(&self) {
        let _closed = self.end.recv().await;
    }
}
