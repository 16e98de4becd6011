//! Release of the shares of other instances, once nothing of theirs can run any more.

use super::ledger::{ShareEntry, TimedEntry};
use super::{PowerCommand, PowerState, ShareAction, ShareRecord};
use crate::decision::leases::stream::StreamRecord;
use std::time::{Duration, Instant};

/// Milliseconds over which nodes spread the release of a lapsed share.
const RECLAIM_SPREAD_MS: u64 = 2_000;

/// Instances probed in one tick.
const PROBES_PER_TICK: usize = 2;

impl PowerState {
    /// Releases lapsed shares of other instances, spread over the nodes.
    pub(super) fn reclaim(&mut self, now: Instant) -> Vec<PowerCommand> {
        if now < self.reclaim_at {
            return Vec::new();
        }
        let lapsed: Vec<ShareRecord> = self
            .ledger
            .entries()
            .filter(|read| read.entry.instance != self.instance)
            .filter(|read| self.is_reclaimable(read, now))
            .map(|read| ShareRecord {
                instance: read.entry.instance.clone(),
                attempt: 0,
                replaces: read.entry.offset,
                action: ShareAction::Release,
            })
            .collect();
        if !lapsed.is_empty() {
            self.reclaim_at = now + Duration::from_millis(self.settings.repeat_ms);
        }
        lapsed
            .into_iter()
            .map(|record| PowerCommand::Append(StreamRecord::Change(record)))
            .collect()
    }

    /// Whether nothing that the holder started or granted can run any more.
    fn is_reclaimable(&self, read: &TimedEntry, now: Instant) -> bool {
        let spread_seed = xxhash_rust::xxh3::xxh3_64(self.instance.as_bytes());
        let holder = read.entry.instance.as_bytes();
        let spread = xxhash_rust::xxh3::xxh3_64_with_seed(holder, spread_seed);
        let expires_at = read.expires_at + Duration::from_millis(spread % RECLAIM_SPREAD_MS);
        now >= expires_at || self.ended.has_work_ended(&read.entry, now)
    }

    /// Probes instances that have a share and no link to this node, some at a time. An instance
    /// that listened on this node's own address had ended when this node started.
    pub(super) fn probe(&mut self, now: Instant) -> Vec<PowerCommand> {
        let mut commands = Vec::new();
        for read in self.ledger.entries() {
            let ShareEntry { instance, address, .. } = &read.entry;
            if *instance == self.instance || self.transfers.is_partner(instance) {
                continue;
            }
            if *address == self.address {
                self.ended.add_proof(instance.clone(), self.started_at);
            } else if commands.len() < PROBES_PER_TICK && self.ended.take_probe(instance, now) {
                let (instance, address) = (instance.clone(), address.clone());
                commands.push(PowerCommand::Probe { instance, address });
            }
        }
        self.ended.retain(|instance| self.ledger.entry(instance).is_some());
        commands
    }
}
