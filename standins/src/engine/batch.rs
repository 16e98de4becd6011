//! Continuous batch of an engine: requests that run, and those that wait by priority.

use async_channel::Sender;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

/// Place of a request in the order of waiting: higher priorities first, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    priority: Reverse<u8>,
    arrival: u64,
}

/// Request that waits.
pub struct Waiting {
    /// Told when the request may start its prefill.
    pub start: Sender<()>,
    /// Hashes of the blocks of the prompt.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Seconds that the request will decode.
    pub decode_s: f64,
}

/// Requests of one incarnation of an engine. One request is prefilled at a time.
pub struct Batch {
    running_limit: usize,
    waiting_limit: usize,
    running: BTreeMap<Place, Instant>,
    prefilling: Option<Place>,
    prefill_ends_at: Option<Instant>,
    waiting: BTreeMap<Place, Waiting>,
    arrivals: u64,
}

impl Batch {
    /// Returns an empty batch.
    pub fn new(running_limit: usize, waiting_limit: usize) -> Self {
        Self {
            running_limit: running_limit.max(1),
            waiting_limit,
            running: BTreeMap::new(),
            prefilling: None,
            prefill_ends_at: None,
            waiting: BTreeMap::new(),
            arrivals: 0,
        }
    }

    /// Adds a request, or returns `None` when the queue is full.
    pub fn add(&mut self, priority: u8, waiting: Waiting) -> Option<Place> {
        if self.waiting.len() >= self.waiting_limit.max(1) {
            return None;
        }
        let place = Place { priority: Reverse(priority), arrival: self.arrivals };
        self.arrivals += 1;
        self.waiting.insert(place, waiting);
        Some(place)
    }

    /// Starts the next prefill if the engine is free for one; returns whether a request started.
    pub fn start_next(&mut self, now: Instant) -> bool {
        if self.prefilling.is_some() || self.running.len() >= self.running_limit {
            return false;
        }
        let Some((place, waiting)) = self.waiting.pop_first() else { return false };
        self.prefilling = Some(place);
        self.prefill_ends_at = None;
        self.running.insert(place, now);
        // The receiver is gone only if the request is being dropped; its ticket then removes it.
        let _ = waiting.start.try_send(());
        true
    }

    /// Notes when the prefill under way ends and when its request will have been decoded.
    pub fn set_ends(&mut self, place: Place, prefill_ends_at: Instant, decode_ends_at: Instant) {
        self.prefill_ends_at = Some(prefill_ends_at);
        if let Some(end) = self.running.get_mut(&place) {
            *end = decode_ends_at;
        }
    }

    /// Ends the prefill of a request, which goes on to decode.
    pub fn end_prefill(&mut self, place: Place) {
        if self.prefilling == Some(place) {
            self.prefilling = None;
            self.prefill_ends_at = None;
        }
    }

    /// Removes a request; returns whether it was running.
    pub fn remove(&mut self, place: Place) -> bool {
        self.end_prefill(place);
        self.waiting.remove(&place);
        self.running.remove(&place).is_some()
    }

    /// Returns the number of requests ever added.
    pub fn arrivals(&self) -> u64 {
        self.arrivals
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the waiting requests in the order in which they will start.
    pub fn waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// Returns the number of waiting requests.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Returns when the prefill under way ends, if there is one.
    pub fn prefill_ends_at(&self) -> Option<Instant> {
        self.prefill_ends_at
    }

    /// Returns when each running request will have been decoded.
    pub fn decode_ends(&self) -> Vec<Instant> {
        self.running.values().copied().collect()
    }

    /// Returns the number of requests that may run at once.
    pub fn running_limit(&self) -> usize {
        self.running_limit
    }
}
