//! Release of the shares of other instances once no request of theirs can still run.

use super::ledger::{ShareEntry, TimedEntry};
use super::{PowerCommand, PowerState, ShareAction, ShareRecord};
use crate::decision::leases::stream::StreamRecord;
use std::time::{Duration, Instant};

/// Milliseconds over which nodes spread the release of an expired share, so that few of them append
/// the same record.
const RELEASE_SPREAD_MS: u64 = 2_000;

/// Maximum number of instances probed in one tick.
const MAX_PROBES_PER_TICK: usize = 2;

impl PowerState {
    /// Releases the shares of other instances whose power nothing can use any more.
    pub(super) fn release_orphaned_shares(&mut self, now: Instant) -> Vec<PowerCommand> {
        if now < self.next_release_at {
            return Vec::new();
        }
        let released: Vec<ShareRecord> = self
            .ledger
            .entries()
            .filter(|timed| timed.entry.instance != self.instance)
            .filter(|timed| self.is_releasable(timed, now))
            .map(|timed| ShareRecord {
                instance: timed.entry.instance.clone(),
                attempt: 0,
                replaces: timed.entry.offset,
                action: ShareAction::Release,
            })
            .collect();
        if !released.is_empty() {
            self.next_release_at =
                now + Duration::from_millis(self.settings.repeat_append_after_ms);
        }
        released
            .into_iter()
            .map(|record| PowerCommand::Append(StreamRecord::Change(record)))
            .collect()
    }

    /// Whether no request that the holder started or granted power for can still run.
    fn is_releasable(&self, timed: &TimedEntry, now: Instant) -> bool {
        let spread_seed = xxhash_rust::xxh3::xxh3_64(self.instance.as_bytes());
        let holder = timed.entry.instance.as_bytes();
        let spread = xxhash_rust::xxh3::xxh3_64_with_seed(holder, spread_seed);
        let expires_at = timed.expires_at + Duration::from_millis(spread % RELEASE_SPREAD_MS);
        now >= expires_at || self.ended_instances.has_work_ended(&timed.entry, now)
    }

    /// Probes instances that have a share but no link to this node, a few in each tick. An instance
    /// with this node's own address had ended before this node could listen there.
    pub(super) fn probe(&mut self, now: Instant) -> Vec<PowerCommand> {
        let mut commands = Vec::new();
        for timed in self.ledger.entries() {
            let ShareEntry { instance, address, .. } = &timed.entry;
            if *instance == self.instance || self.transfers.is_partner(instance) {
                continue;
            }
            if *address == self.address {
                self.ended_instances.mark_ended(instance.clone(), self.started_at);
            } else if commands.len() < MAX_PROBES_PER_TICK
                && self.ended_instances.take_probe_due(instance, now)
            {
                let (instance, address) = (instance.clone(), address.clone());
                commands.push(PowerCommand::Probe { instance, address });
            }
        }
        self.ended_instances.retain(|instance| self.ledger.entry(instance).is_some());
        commands
    }
}
