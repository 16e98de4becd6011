//! The node's own share: the records that create, renew, resize and release it.

use super::{
    HeldShare, PendingAppend, PowerCommand, PowerSource, PowerState, ShareAction, ShareRecord,
    SourceId, TOTAL_PARTS,
};
use crate::decision::leases::stream::StreamRecord;
use std::time::{Duration, Instant};

/// Minimum number of renewals within a lease period.
const MIN_RENEWALS_PER_LEASE: u64 = 4;
/// Minimum time in milliseconds between two appends that resize the share.
const MIN_ADJUST_PERIOD_MS: u64 = 2_000;

/// Divisor of the fair share: a share that differs from its target by more than the quotient is
/// resized before its renewal is due.
const ADJUST_THRESHOLD_DIVISOR: u64 = 10;

impl PowerState {
    /// Sets the share that the account may use: the guaranteed parts less those granted to
    /// partners.
    pub(super) fn update_share_source(&self) {
        let Some(held) = self.held_share else {
            self.account.remove_source(&SourceId::Share);
            return;
        };
        let guaranteed_parts = self.guaranteed_parts(held);
        let parts = guaranteed_parts.saturating_sub(self.transfers.given_parts());
        let source = PowerSource { parts, deadline: held.deadline, start_deadline: held.deadline };
        self.account.set_source(SourceId::Share, source);
    }

    /// Parts that the node holds whether the pending append is accepted or not.
    fn guaranteed_parts(&self, held: HeldShare) -> u64 {
        self.pending_append.as_ref().map_or(held.parts, |pending| held.parts.min(pending.parts()))
    }

    /// Drops what has expired, and returns the messages, appends and probes that are due.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.held_share = self.held_share.filter(|held| now < held.deadline);
        self.update_share_source();
        let mut commands = self.transfers.tick(now);
        self.update_share_source();
        if let Some(record) = self.due_append(now) {
            commands.push(PowerCommand::Append(StreamRecord::Change(record)));
        }
        commands.extend(self.ledger.take_due_maintenance(now).map(PowerCommand::Append));
        if !self.is_stopping {
            commands.extend(self.release_orphaned_shares(now));
            commands.extend(self.probe(now));
        }
        commands
    }

    /// Returns the record to append: a pending one to repeat, or a new one that creates, renews or
    /// resizes the share.
    fn due_append(&mut self, now: Instant) -> Option<ShareRecord> {
        if let Some(pending) = &mut self.pending_append {
            if now < pending.repeat_at {
                return None;
            }
            pending.repeat_at = now + Duration::from_millis(self.settings.repeat_append_after_ms);
            return Some(pending.record.clone());
        }
        if self.is_stopping {
            return None;
        }
        let held_parts = self.held_share.map_or(0, |held| held.parts);
        let target_parts = self.target_parts(held_parts, now)?;
        let differs =
            target_parts.abs_diff(held_parts) > self.fair_parts(now) / ADJUST_THRESHOLD_DIVISOR;
        let is_due = now >= self.renew_at || (differs && now >= self.next_adjust_at);
        let needs_record = self.held_share.is_some() || differs;
        if !is_due || !needs_record || target_parts == 0 {
            return None;
        }
        let surplus_parts = held_parts.saturating_sub(target_parts);
        let released_parts = self.account.take_uncommitted(surplus_parts, now);
        let parts = target_parts + (surplus_parts - released_parts);
        Some(self.start_hold_append(parts, self.settings.lease_ms, now))
    }

    /// Parts for each node if all were divided equally. Until links have had time to open, the
    /// document's maximum number of nodes is assumed.
    fn fair_parts(&self, now: Instant) -> u64 {
        let counted_nodes = self.live_nodes.filter(|_| now >= self.node_count_valid_at);
        let nodes = counted_nodes.unwrap_or(self.max_nodes).clamp(1, self.max_nodes);
        TOTAL_PARTS / u64::from(nodes)
    }

    /// Parts for the next record, or `None` if this node has no share and does not know yet how
    /// many parts are free.
    fn target_parts(&self, held_parts: u64, now: Instant) -> Option<u64> {
        let fair_parts = self.fair_parts(now);
        if held_parts > fair_parts {
            let surplus_parts = self.account.uncommitted_parts(now).min(held_parts - fair_parts);
            return Some(held_parts - surplus_parts);
        }
        match self.ledger.free_parts() {
            Some(free_parts) => {
                let own_parts = self.ledger.entry(&self.instance).map_or(0, |entry| entry.parts);
                Some(fair_parts.min(own_parts + free_parts))
            }
            None => self.held_share.map(|held| held.parts),
        }
    }

    /// Creates the record of a share of `parts` and schedules the next renewal.
    fn start_hold_append(&mut self, parts: u64, lease_ms: u64, now: Instant) -> ShareRecord {
        let action = ShareAction::Hold {
            parts,
            lease_ms,
            outlast_ms: self.settings.outlast_ms(),
            address: self.address.clone(),
        };
        let renew_after_ms = self.settings.renew_after_ms.min(lease_ms / MIN_RENEWALS_PER_LEASE);
        self.renew_at = now + Duration::from_millis(renew_after_ms);
        self.next_adjust_at = now + Duration::from_millis(MIN_ADJUST_PERIOD_MS);
        self.start_append(action, now)
    }

    /// Creates a record and keeps it as pending until it is read back.
    fn start_append(&mut self, action: ShareAction, now: Instant) -> ShareRecord {
        self.last_attempt += 1;
        let record = ShareRecord {
            instance: self.instance.clone(),
            attempt: self.last_attempt,
            replaces: self.ledger.last_offset(&self.instance),
            action,
        };
        self.pending_append = Some(PendingAppend {
            record: record.clone(),
            first_sent_at: now,
            repeat_at: now + Duration::from_millis(self.settings.repeat_append_after_ms),
        });
        self.update_share_source();
        record
    }

    /// Releases the share except for the parts that partners and requests still use, and shortens
    /// its lease to the end of that use.
    pub(super) fn stop(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.is_stopping = true;
        let mut commands = self.transfers.return_all_unneeded(now);
        let Some(held) = self.held_share else { return commands };
        let guaranteed_parts = self.guaranteed_parts(held);
        let used_parts = guaranteed_parts - self.account.take_uncommitted(guaranteed_parts, now);
        let used_until = self.transfers.last_grant_expiry().max(self.account.last_work_deadline());
        let record = match used_until.filter(|_| used_parts > 0) {
            None => self.start_append(ShareAction::Release, now),
            Some(used_until) => {
                let remaining = used_until.min(held.deadline).saturating_duration_since(now);
                let lease_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX / 4) + 1;
                self.start_hold_append(used_parts, lease_ms, now)
            }
        };
        commands.push(PowerCommand::Append(StreamRecord::Change(record)));
        commands
    }
}
