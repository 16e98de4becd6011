//! Instances that are known to have ended, and whether their work has ended too.
//!
//! An instance keeps its partner listener open for as long as it runs. If its address refuses
//! connections, or if this node could bind it, the process has ended: it starts nothing more. What
//! it had started ends at its time limit, or has ended on a server that has since reported that it
//! runs nothing.

use super::ledger::ShareEntry;
use super::settings::PowerSettings;
use crate::decision::leases::tenure::drift_margin;
use crate::document::Document;
use crate::types::{InstanceId, ServerId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What is known of the end of an instance.
#[derive(Clone, Copy, Debug, Default)]
struct InstanceEnd {
    proven_at: Option<Instant>,
    probe_at: Option<Instant>,
}

/// Instances that are known to have ended.
#[derive(Clone, Debug)]
pub struct EndedInstances {
    settings: PowerSettings,
    instances: BTreeMap<InstanceId, InstanceEnd>,
    /// Servers of the document, with the latest time at which an idle report was asked for.
    idle_asked_at: BTreeMap<ServerId, Option<Instant>>,
}

impl EndedInstances {
    /// Returns the state before any event.
    pub fn new(settings: PowerSettings) -> Self {
        Self { settings, instances: BTreeMap::new(), idle_asked_at: BTreeMap::new() }
    }

    /// Takes in the servers of the document; work on a server that it no longer names may go on.
    pub fn set_document(&mut self, document: &Document) {
        for server in document.servers.keys() {
            self.idle_asked_at.entry(server.clone()).or_default();
        }
    }

    /// Takes in that `instance` had ended by `proven_at`.
    pub fn add_proof(&mut self, instance: InstanceId, proven_at: Instant) {
        self.instances.entry(instance).or_default().proven_at.get_or_insert(proven_at);
    }

    /// Takes in a sign of life.
    pub fn clear_proof(&mut self, instance: &InstanceId) {
        self.instances.remove(instance);
    }

    /// Takes in a report without running or waiting requests.
    pub fn add_idle(&mut self, server: ServerId, polled_at: Instant) {
        let latest = self.idle_asked_at.entry(server).or_default();
        *latest = (*latest).max(Some(polled_at));
    }

    /// Whether a probe of `instance` is due; postpones the next one.
    pub fn take_probe(&mut self, instance: &InstanceId, now: Instant) -> bool {
        let end = self.instances.entry(instance.clone()).or_default();
        if end.proven_at.is_some() || end.probe_at.is_some_and(|at| now < at) {
            return false;
        }
        end.probe_at = Some(now + Duration::from_millis(self.settings.probe_ms));
        true
    }

    /// Forgets instances that `is_known` does not hold for.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.instances.retain(|instance, _| is_known(instance));
    }

    /// Whether nothing that the holder of `entry` started or granted can run any more.
    pub fn has_work_ended(&self, entry: &ShareEntry, now: Instant) -> bool {
        let end = self.instances.get(&entry.instance);
        let Some(proven_at) = end.and_then(|end| end.proven_at) else { return false };
        let limit = Duration::from_millis(entry.outlast_ms + self.settings.transit_ms);
        now >= proven_at + limit + drift_margin(entry.outlast_ms) || self.is_idle_since(proven_at)
    }

    fn is_idle_since(&self, proven_at: Instant) -> bool {
        let idle_proof_ms = self.settings.idle_proof_ms();
        let earliest =
            proven_at + Duration::from_millis(idle_proof_ms) + drift_margin(idle_proof_ms);
        self.idle_asked_at.values().all(|polled_at| polled_at.is_some_and(|at| at >= earliest))
    }
}
