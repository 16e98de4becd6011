//! Demand for each model, as the number of servers that it keeps busy.

use super::settings::PlacementSettings;
use crate::document::Document;
use crate::types::ModelId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Exponentially decayed sum of the seconds for which answers kept servers busy.
#[derive(Clone, Copy, Debug)]
struct BusyTime {
    busy_s: f64,
    updated_at: Instant,
}

/// Target number of servers of a model.
#[derive(Clone, Copy, Debug)]
struct ServerTarget {
    servers: u32,
    /// When the target may be lowered, while demand is low.
    scale_down_at: Option<Instant>,
}

/// Demand for each model and the number of servers that it calls for.
#[derive(Clone, Debug)]
pub struct Demand {
    settings: PlacementSettings,
    busy_times: BTreeMap<ModelId, BusyTime>,
    targets: BTreeMap<ModelId, ServerTarget>,
}

impl Demand {
    /// Returns the state before any answer.
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings, busy_times: BTreeMap::new(), targets: BTreeMap::new() }
    }

    /// Adds the prefill and decode time of one answer.
    pub fn add(
        &mut self,
        document: &Document,
        model: &ModelId,
        prefilled_tokens: u32,
        decode_ms: u64,
        now: Instant,
    ) {
        let Some(rates) = document.models.get(model) else { return };
        let prefill_s = f64::from(prefilled_tokens) / f64::from(rates.prefill_tokens_per_s);
        let decode_s = decode_ms as f64 / 1_000.0;
        let busy_s = prefill_s + decode_s / mean_concurrent_requests(document);
        let decayed_s = self.busy_times.get(model).map_or(0.0, |busy| self.decayed_s(*busy, now));
        let busy = BusyTime { busy_s: decayed_s + busy_s, updated_at: now };
        self.busy_times.insert(model.clone(), busy);
    }

    /// Returns how many servers the requests that this node relays keep busy with `model`.
    pub fn busy_servers(&self, model: &ModelId, now: Instant) -> f64 {
        let half_life_s = self.settings.demand_half_life_ms as f64 / 1_000.0;
        let decayed_s = self.busy_times.get(model).map_or(0.0, |busy| self.decayed_s(*busy, now));
        decayed_s * std::f64::consts::LN_2 / half_life_s
    }

    /// Returns the target number of servers of each model, assuming that each of `live_nodes` nodes
    /// sees the same demand as this one. Targets rise at once and fall only after demand has been
    /// low for a while.
    pub fn target_servers(
        &mut self,
        document: &Document,
        live_nodes: u32,
        now: Instant,
    ) -> BTreeMap<ModelId, u32> {
        self.targets.retain(|model, _| document.models.contains_key(model));
        let mut servers = BTreeMap::new();
        for (name, model) in &document.models {
            let busy_servers = self.busy_servers(name, now) * f64::from(live_nodes);
            let last = self.targets.get(name).copied();
            let target = self.next_target(last, busy_servers, now);
            self.targets.insert(name.clone(), target);
            servers.insert(name.clone(), target.servers.max(model.least_servers));
        }
        servers
    }

    fn next_target(
        &self,
        last: Option<ServerTarget>,
        busy_servers: f64,
        now: Instant,
    ) -> ServerTarget {
        let PlacementSettings {
            scale_up_busy_fraction,
            scale_down_busy_fraction,
            scale_down_after_ms,
            ..
        } = self.settings;
        let needed_servers = (busy_servers / scale_up_busy_fraction).ceil() as u32;
        let Some(last) = last else {
            return ServerTarget { servers: needed_servers, scale_down_at: None };
        };
        if needed_servers > last.servers {
            return ServerTarget { servers: needed_servers, scale_down_at: None };
        }
        let is_low = last.servers > 0
            && busy_servers <= scale_down_busy_fraction * f64::from(last.servers - 1);
        if !is_low {
            return ServerTarget { scale_down_at: None, ..last };
        }
        let scale_down_at =
            last.scale_down_at.unwrap_or(now + Duration::from_millis(scale_down_after_ms));
        if now < scale_down_at {
            return ServerTarget { scale_down_at: Some(scale_down_at), ..last };
        }
        ServerTarget { servers: needed_servers, scale_down_at: None }
    }

    fn decayed_s(&self, busy: BusyTime, now: Instant) -> f64 {
        let age_ms = now.saturating_duration_since(busy.updated_at).as_secs_f64() * 1_000.0;
        busy.busy_s * 0.5_f64.powf(age_ms / self.settings.demand_half_life_ms as f64)
    }
}

/// Returns the number of requests that a server runs concurrently, averaged over all servers.
fn mean_concurrent_requests(document: &Document) -> f64 {
    let servers = document.servers.values();
    let requests: f64 = servers.map(|server| f64::from(server.concurrent_requests)).sum();
    (requests / document.servers.len().max(1) as f64).max(1.0)
}
