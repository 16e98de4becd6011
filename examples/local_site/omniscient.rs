//! Omniscient policy: callers send straight to the engine that is best by its true state.

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

/// Requests that may wait for a powered slot; more are refused.
const MOST_WAITING: usize = 64;
/// Attempts on engines.
const MOST_ATTEMPTS: u32 = 4;
/// Time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time by which a request shows in the engine's own state after its link delay.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(2);

/// Chooser with the true caches and queues.
pub struct Omniscient {
    slots: Receiver<()>,
    returned: Sender<()>,
    waiting: AtomicUsize,
    recomputation_weight: f64,
    in_transit: Mutex<Vec<InTransit>>,
}

/// Request that has been sent and is not in its engine's queue yet.
struct InTransit {
    engine: usize,
    prefill: Duration,
    arrives_at: Instant,
}

/// Powered slot; returned when dropped.
struct Slot<'a>(&'a Sender<()>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        // The channel holds as many slots as there are, so that there is room for each.
        let _ = self.0.try_send(());
    }
}

impl Omniscient {
    /// Returns a chooser for a site of `preset`.
    pub fn new(preset: &Preset) -> Self {
        let slots = preset.powered_requests() as usize;
        let (returned, receiver) = async_channel::bounded(slots);
        for _ in 0..slots {
            returned.try_send(()).expect("the channel has room for all slots");
        }
        Self {
            slots: receiver,
            returned,
            waiting: AtomicUsize::new(0),
            recomputation_weight: preset.recomputation_weight,
            in_transit: Mutex::default(),
        }
    }

    /// Sends a request to the best engine, and to the next best if that one fails.
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
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= MOST_WAITING {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return refused;
        }
        let slot = self.slots.recv().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        if slot.is_err() {
            return refused;
        }
        let _slot = Slot(&self.returned);
        let zone = site.preset.zones[arrival.number % site.preset.zones.len()];
        let mut result = refused;
        for attempt in 0..MOST_ATTEMPTS {
            let Some(engine) = self.choose(site, zone, prompt) else { continue };
            let request = Request::post("/v1/chat/completions")
                .header("host", "engine")
                .header("content-type", "application/json")
                .header("x-request-id", format!("omniscient-{}-{attempt}", arrival.number))
                .header("x-caller-zone", zone)
                .header("x-priority", call.priority)
                .body(Full::new(Bytes::from(body.to_owned())))
                .expect("a valid request");
            let address = site.engines[engine].address();
            let deadline = Instant::now() + CALL_TIMEOUT;
            result = exchange::model_attempt(address, request, expected, deadline).await;
            if result.ending == Ending::Answered {
                break;
            }
        }
        result
    }

    /// Returns the engine with the least expected time, its recomputation weighed in.
    fn choose(&self, site: &Site, zone: &str, prompt: &str) -> Option<usize> {
        let now = Instant::now();
        let link_delay = Duration::from_micros(u64::from(site.preset.zone_delay_us));
        let mut in_transit = self.in_transit.lock().unwrap_or_else(PoisonError::into_inner);
        in_transit.retain(|request| request.arrives_at > now);
        let mut best: Option<(f64, usize, Duration, Duration)> = None;
        for (index, engine) in site.engines.iter().enumerate() {
            let estimate = engine.first_token_estimate(site.preset.model, prompt);
            let Some(estimate) = estimate else { continue };
            let under_way: Duration = in_transit
                .iter()
                .filter(|request| request.engine == index)
                .map(|request| request.prefill)
                .sum();
            let is_near = engine.config().availability_zone == zone;
            let delay = if is_near { Duration::ZERO } else { link_delay };
            let score = (estimate.time_to_first_token + under_way + 2 * delay).as_secs_f64()
                + self.recomputation_weight * estimate.prefill.as_secs_f64();
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, index, estimate.prefill, delay));
            }
        }
        let (_, engine, prefill, delay) = best?;
        let arrives_at = now + delay + ARRIVAL_MARGIN;
        in_transit.push(InTransit { engine, prefill, arrives_at });
        Some(engine)
    }
}
