//! Omniscient policy: callers send straight to the engine that is best by its actual state.

use crate::exchange::{self, AttemptResult};
use crate::outcome::Ending;
use crate::preset::Preset;
use crate::site::Site;
use crate::workload::{Arrival, ModelCall};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum requests that wait for a powered slot; more are refused.
const MAX_WAITING_REQUESTS: usize = 64;
/// Maximum attempts of a request on engines.
const MAX_ATTEMPTS: u32 = 4;
/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the link delay until a request shows in the engine's own state.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(2);

/// Router that knows the actual caches and queues of all engines.
pub struct OmniscientRouter {
    free_slots: Receiver<()>,
    released_slots: Sender<()>,
    waiting_requests: AtomicUsize,
    recomputation_weight: f64,
    in_transit: Mutex<Vec<InTransit>>,
}

/// Request that has been sent but is not in its engine's queue yet.
struct InTransit {
    engine: usize,
    prefill: Duration,
    arrives_at: Instant,
}

/// Request slot within the power budget, released when dropped.
struct Slot<'a>(&'a Sender<()>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        // The channel has the capacity of all slots, so that it is never full here.
        let _ = self.0.try_send(());
    }
}

impl OmniscientRouter {
    /// Returns a router for a site of `preset`, with all powered slots free.
    pub fn new(preset: &Preset) -> Self {
        let slots = preset.max_powered_requests() as usize;
        let (released_slots, free_slots) = async_channel::bounded(slots);
        for _ in 0..slots {
            released_slots.try_send(()).expect("the channel has room for all slots");
        }
        Self {
            free_slots,
            released_slots,
            waiting_requests: AtomicUsize::new(0),
            recomputation_weight: preset.recomputation_weight,
            in_transit: Mutex::default(),
        }
    }

    /// Sends a request to the best engine, and retries on the then best one if it fails.
    pub async fn attempt(
        &self,
        site: &Site,
        arrival: &Arrival,
        call: &ModelCall,
        prompt: &str,
        body: &str,
        expected: &[String],
    ) -> AttemptResult {
        let refused = AttemptResult { ending: Ending::NotRun, code: None, first_token_at: None };
        if self.waiting_requests.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING_REQUESTS {
            self.waiting_requests.fetch_sub(1, Ordering::Relaxed);
            return refused;
        }
        let slot = self.free_slots.recv().await;
        self.waiting_requests.fetch_sub(1, Ordering::Relaxed);
        if slot.is_err() {
            return refused;
        }
        let _slot = Slot(&self.released_slots);
        let zone = site.preset.zones[arrival.number % site.preset.zones.len()];
        let mut result = refused;
        for attempt in 0..MAX_ATTEMPTS {
            let Some(engine) = self.choose_engine(site, zone, prompt) else { continue };
            let request = Request::post("/v1/chat/completions")
                .header("host", "engine")
                .header("content-type", "application/json")
                .header("x-request-id", format!("omniscient-{}-{attempt}", arrival.number))
                .header("x-caller-zone", zone)
                .header("x-priority", call.priority)
                .body(Full::new(Bytes::from(body.to_owned())))
                .expect("a valid request");
            let address = site.engines[engine].address();
            let deadline = Instant::now() + ATTEMPT_TIMEOUT;
            result = exchange::model_attempt(address, request, expected, deadline).await;
            if result.ending == Ending::Answered {
                break;
            }
        }
        result
    }

    /// Returns the index of the engine with the lowest score: the expected time to first token plus
    /// the weighted prefill time.
    fn choose_engine(&self, site: &Site, zone: &str, prompt: &str) -> Option<usize> {
        let now = Instant::now();
        let link_delay = Duration::from_micros(u64::from(site.preset.zone_delay_us));
        let mut in_transit = self.in_transit.lock().unwrap_or_else(PoisonError::into_inner);
        in_transit.retain(|request| request.arrives_at > now);
        let mut best: Option<(f64, usize, Duration, Duration)> = None;
        for (index, engine) in site.engines.iter().enumerate() {
            let estimate = engine.first_token_estimate(site.preset.model, prompt);
            let Some(estimate) = estimate else { continue };
            let in_transit_prefill: Duration = in_transit
                .iter()
                .filter(|request| request.engine == index)
                .map(|request| request.prefill)
                .sum();
            let is_same_zone = engine.config().availability_zone == zone;
            let delay = if is_same_zone { Duration::ZERO } else { link_delay };
            let score = (estimate.time_to_first_token + in_transit_prefill + 2 * delay)
                .as_secs_f64()
                + self.recomputation_weight * estimate.prefill.as_secs_f64();
            if best.is_none_or(|(min_score, ..)| score < min_score) {
                best = Some((score, index, estimate.prefill, delay));
            }
        }
        let (_, engine, prefill, delay) = best?;
        let arrives_at = now + delay + ARRIVAL_MARGIN;
        in_transit.push(InTransit { engine, prefill, arrives_at });
        Some(engine)
    }
}
