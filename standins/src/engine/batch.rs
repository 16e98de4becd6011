//! Continuous batch of an engine: running requests, and waiting requests by priority.

use async_channel::Sender;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

/// Position of a request in the queue: by descending priority, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    priority: Reverse<u8>,
    arrival: u64,
}

/// Request in the queue.
pub struct WaitingRequest {
    /// Signals that the request may start its prefill.
    pub start: Sender<()>,
    /// Block hashes of the prompt.
    pub blocks: Vec<u64>,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected duration of its decode, in seconds.
    pub decode_s: f64,
}

/// Requests of one incarnation of an engine, of which one is prefilled at a time.
pub struct Batch {
    max_running: usize,
    max_waiting: usize,
    /// Running requests with the expected end of their decode.
    running: BTreeMap<QueuePosition, Instant>,
    prefilling: Option<QueuePosition>,
    prefill_ends_at: Option<Instant>,
    waiting: BTreeMap<QueuePosition, WaitingRequest>,
    accepted_requests: u64,
}

impl Batch {
    /// Returns an empty batch that runs up to `max_running` requests and queues up to
    /// `max_waiting`; both limits are at least 1.
    pub fn new(max_running: usize, max_waiting: usize) -> Self {
        Self {
            max_running: max_running.max(1),
            max_waiting,
            running: BTreeMap::new(),
            prefilling: None,
            prefill_ends_at: None,
            waiting: BTreeMap::new(),
            accepted_requests: 0,
        }
    }

    /// Adds a request to the queue and returns its position, or `None` if the queue is full.
    pub fn enqueue(&mut self, priority: u8, waiting: WaitingRequest) -> Option<QueuePosition> {
        if self.waiting.len() >= self.max_waiting.max(1) {
            return None;
        }
        let position =
            QueuePosition { priority: Reverse(priority), arrival: self.accepted_requests };
        self.accepted_requests += 1;
        self.waiting.insert(position, waiting);
        Some(position)
    }

    /// Starts the next waiting request if no prefill is running and a slot is free.
    ///
    /// Returns whether a request started.
    pub fn start_next(&mut self, now: Instant) -> bool {
        if self.prefilling.is_some() || self.running.len() >= self.max_running {
            return false;
        }
        let Some((position, waiting)) = self.waiting.pop_first() else { return false };
        self.prefilling = Some(position);
        self.prefill_ends_at = None;
        self.running.insert(position, now);
        // Sending fails only if the request is being dropped, and its guard then removes it.
        let _ = waiting.start.try_send(());
        true
    }

    /// Sets when the current prefill ends and when its request will have been decoded.
    pub fn set_end_times(
        &mut self,
        position: QueuePosition,
        prefill_ends_at: Instant,
        decode_ends_at: Instant,
    ) {
        self.prefill_ends_at = Some(prefill_ends_at);
        if let Some(end) = self.running.get_mut(&position) {
            *end = decode_ends_at;
        }
    }

    /// Marks the prefill of a request as done; the request keeps running until it is decoded.
    pub fn end_prefill(&mut self, position: QueuePosition) {
        if self.prefilling == Some(position) {
            self.prefilling = None;
            self.prefill_ends_at = None;
        }
    }

    /// Removes a request and returns whether it was running.
    pub fn remove(&mut self, position: QueuePosition) -> bool {
        self.end_prefill(position);
        self.waiting.remove(&position);
        self.running.remove(&position).is_some()
    }

    /// Returns the number of requests accepted into the queue by this incarnation.
    pub fn accepted_requests(&self) -> u64 {
        self.accepted_requests
    }

    /// Returns the number of running requests.
    pub fn running_requests(&self) -> usize {
        self.running.len()
    }

    /// Returns the waiting requests in queue order.
    pub fn waiting(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.values()
    }

    /// Returns the number of waiting requests.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Returns when the current prefill ends, if one is running.
    pub fn prefill_ends_at(&self) -> Option<Instant> {
        self.prefill_ends_at
    }

    /// Returns when each running request is expected to have been decoded.
    pub fn decode_end_times(&self) -> Vec<Instant> {
        self.running.values().copied().collect()
    }

    /// Returns the maximum number of requests that run at once.
    pub fn max_running(&self) -> usize {
        self.max_running
    }
}
