//! Instances whose process has ended, and whether their requests have ended too.
//!
//! An instance keeps its partner listener open for as long as it runs. If its address refuses
//! connections, or if this node could bind it, the process has ended and starts no more requests.
//! Those that it had started end at their deadline at the latest, and have ended on a server that
//! has since reported to be idle.

use super::ledger::ShareEntry;
use super::settings::PowerSettings;
use crate::decision::leases::deadlines::drift_margin;
use crate::document::Document;
use crate::types::{InstanceId, ServerId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Evidence that an instance has ended, and when to probe it next.
#[derive(Clone, Copy, Debug, Default)]
struct InstanceEnd {
    /// Time before which the process had ended, if that is known.
    ended_before: Option<Instant>,
    next_probe_at: Option<Instant>,
}

/// Tracks which instances have ended and which servers have been idle since.
#[derive(Clone, Debug)]
pub struct EndedInstances {
    settings: PowerSettings,
    instances: BTreeMap<InstanceId, InstanceEnd>,
    /// Servers that have been in the document, with the latest time at which a load report that
    /// showed the server idle was requested.
    idle_polled_at: BTreeMap<ServerId, Option<Instant>>,
}

impl EndedInstances {
    /// Returns a tracker without instances and servers.
    pub fn new(settings: PowerSettings) -> Self {
        Self { settings, instances: BTreeMap::new(), idle_polled_at: BTreeMap::new() }
    }

    /// Adds the servers of the document. Earlier servers stay, since they may still run requests.
    pub fn set_document(&mut self, document: &Document) {
        for server in document.servers.keys() {
            self.idle_polled_at.entry(server.clone()).or_default();
        }
    }

    /// Records that the process of `instance` had ended before `ended_before`.
    pub fn mark_ended(&mut self, instance: InstanceId, ended_before: Instant) {
        self.instances.entry(instance).or_default().ended_before.get_or_insert(ended_before);
    }

    /// Discards any evidence that `instance` has ended, because it sent a message.
    pub fn mark_alive(&mut self, instance: &InstanceId) {
        self.instances.remove(instance);
    }

    /// Records that a load report requested at `polled_at` showed `server` idle.
    pub fn record_idle(&mut self, server: ServerId, polled_at: Instant) {
        let latest = self.idle_polled_at.entry(server).or_default();
        *latest = (*latest).max(Some(polled_at));
    }

    /// Returns whether a probe of `instance` is due and, if so, schedules the next one.
    pub fn take_probe_due(&mut self, instance: &InstanceId, now: Instant) -> bool {
        let end = self.instances.entry(instance.clone()).or_default();
        if end.ended_before.is_some() || end.next_probe_at.is_some_and(|at| now < at) {
            return false;
        }
        end.next_probe_at = Some(now + Duration::from_millis(self.settings.probe_period_ms));
        true
    }

    /// Removes the instances for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.instances.retain(|instance, _| is_known(instance));
    }

    /// Whether no request that the holder of `entry` started or granted power for can still run.
    pub fn has_work_ended(&self, entry: &ShareEntry, now: Instant) -> bool {
        let end = self.instances.get(&entry.instance);
        let Some(ended_before) = end.and_then(|end| end.ended_before) else { return false };
        let limit = Duration::from_millis(entry.outlast_ms + self.settings.request_transit_ms);
        now >= ended_before + limit + drift_margin(entry.outlast_ms)
            || self.are_servers_idle_after(ended_before)
    }

    fn are_servers_idle_after(&self, ended_before: Instant) -> bool {
        let idle_proof_delay_ms = self.settings.idle_proof_delay_ms();
        let earliest = ended_before
            + Duration::from_millis(idle_proof_delay_ms)
            + drift_margin(idle_proof_delay_ms);
        self.idle_polled_at.values().all(|polled_at| polled_at.is_some_and(|at| at >= earliest))
    }
}
