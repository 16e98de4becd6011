//! Demand for each model, measured in servers that it keeps busy.

use super::settings::PlacementSettings;
use crate::document::Document;
use crate::types::ModelId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Decayed sum of the time that answers kept servers busy.
#[derive(Clone, Copy, Debug)]
struct BusyTime {
    busy_s: f64,
    updated_at: Instant,
}

/// Number of servers wanted for a model.
#[derive(Clone, Copy, Debug)]
struct WantedServers {
    servers: u32,
    lower_at: Option<Instant>,
}

/// Demand for each model.
#[derive(Clone, Debug)]
pub struct Demand {
    settings: PlacementSettings,
    busy: BTreeMap<ModelId, BusyTime>,
    wanted: BTreeMap<ModelId, WantedServers>,
}

impl Demand {
    /// Returns the state without demand.
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings, busy: BTreeMap::new(), wanted: BTreeMap::new() }
    }

    /// Adds the work of one answer.
    pub fn add(
        &mut self,
        document: &Document,
        model: &ModelId,
        computed_tokens: u32,
        decode_ms: u64,
        now: Instant,
    ) {
        let Some(rates) = document.models.get(model) else { return };
        let prefill_s = f64::from(computed_tokens) / f64::from(rates.prefill_tokens_per_s);
        let decode_s = decode_ms as f64 / 1_000.0;
        let busy_s = prefill_s + decode_s / batched_requests(document);
        let decayed_s = self.busy.get(model).map_or(0.0, |busy| self.decayed_s(*busy, now));
        let busy = BusyTime { busy_s: decayed_s + busy_s, updated_at: now };
        self.busy.insert(model.clone(), busy);
    }

    /// Returns the servers that `model` keeps busy with this node's calls.
    pub fn busy_servers(&self, model: &ModelId, now: Instant) -> f64 {
        let half_life_s = self.settings.demand_half_life_ms as f64 / 1_000.0;
        let decayed_s = self.busy.get(model).map_or(0.0, |busy| self.decayed_s(*busy, now));
        decayed_s * std::f64::consts::LN_2 / half_life_s
    }

    /// Returns the servers wanted for each model when `live_nodes` nodes see as much demand as this
    /// one. A higher number is wanted at once, a lower one after demand stayed low.
    pub fn wanted_servers(
        &mut self,
        document: &Document,
        live_nodes: u32,
        now: Instant,
    ) -> BTreeMap<ModelId, u32> {
        self.wanted.retain(|model, _| document.models.contains_key(model));
        let mut servers = BTreeMap::new();
        for (name, model) in &document.models {
            let busy = self.busy_servers(name, now) * f64::from(live_nodes);
            let last = self.wanted.get(name).copied();
            let wanted = self.next_wanted(last, busy, now);
            self.wanted.insert(name.clone(), wanted);
            servers.insert(name.clone(), wanted.servers.max(model.least_servers));
        }
        servers
    }

    fn next_wanted(&self, last: Option<WantedServers>, busy: f64, now: Instant) -> WantedServers {
        let PlacementSettings {
            scale_up_busy_fraction,
            scale_down_busy_fraction,
            scale_down_after_ms,
            ..
        } = self.settings;
        let needed = (busy / scale_up_busy_fraction).ceil() as u32;
        let Some(last) = last else { return WantedServers { servers: needed, lower_at: None } };
        if needed > last.servers {
            return WantedServers { servers: needed, lower_at: None };
        }
        let is_low =
            last.servers > 0 && busy <= scale_down_busy_fraction * f64::from(last.servers - 1);
        if !is_low {
            return WantedServers { lower_at: None, ..last };
        }
        let lower_at = last.lower_at.unwrap_or(now + Duration::from_millis(scale_down_after_ms));
        if now < lower_at {
            return WantedServers { lower_at: Some(lower_at), ..last };
        }
        WantedServers { servers: needed, lower_at: None }
    }

    fn decayed_s(&self, busy: BusyTime, now: Instant) -> f64 {
        let age_ms = now.saturating_duration_since(busy.updated_at).as_secs_f64() * 1_000.0;
        busy.busy_s * 0.5_f64.powf(age_ms / self.settings.demand_half_life_ms as f64)
    }
}

/// Returns the requests that a server runs at once, on average over the servers.
fn batched_requests(document: &Document) -> f64 {
    let servers = document.servers.values();
    let requests: f64 = servers.map(|server| f64::from(server.concurrent_requests)).sum();
    (requests / document.servers.len().max(1) as f64).max(1.0)
}
