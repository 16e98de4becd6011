//! The node's own share: taken, renewed, changed and given up by records on the log.

use super::{
    HeldShare, PendingShare, PowerCommand, PowerSource, PowerState, ShareAction, ShareRecord,
    SourceId, TOTAL_PARTS,
};
use crate::decision::leases::stream::StreamRecord;
use std::time::{Duration, Instant};

/// Least number of renewals within a lease.
const RENEWALS_A_LEASE: u64 = 4;
/// Least time in milliseconds between two appends that change the share.
const ADJUST_MS: u64 = 2_000;

/// Part of the fair share by which the share must be off to be changed before it is renewed.
const ADJUST_DIVISOR: u64 = 10;

impl PowerState {
    /// Sets the account's share: what is held and stays held if the pending append counts, less
    /// what was given.
    pub(super) fn refresh_share(&self) {
        let Some(held) = self.held else {
            self.account.remove_source(&SourceId::Share);
            return;
        };
        let kept_parts = self.kept_parts(held);
        let parts = kept_parts.saturating_sub(self.transfers.given_parts());
        let source = PowerSource { parts, deadline: held.deadline, start_deadline: held.deadline };
        self.account.set_source(SourceId::Share, source);
    }

    /// Parts that are held whether the pending append counts or not.
    fn kept_parts(&self, held: HeldShare) -> u64 {
        self.pending.as_ref().map_or(held.parts, |pending| held.parts.min(pending.parts()))
    }

    pub(super) fn tick(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.held = self.held.filter(|held| now < held.deadline);
        self.refresh_share();
        let mut commands = self.transfers.tick(now);
        self.refresh_share();
        if let Some(record) = self.next_append(now) {
            commands.push(PowerCommand::Append(StreamRecord::Change(record)));
        }
        commands.extend(self.ledger.take_due_maintenance(now).map(PowerCommand::Append));
        if !self.is_stopping {
            commands.extend(self.reclaim(now));
            commands.extend(self.probe(now));
        }
        commands
    }

    fn next_append(&mut self, now: Instant) -> Option<ShareRecord> {
        if let Some(pending) = &mut self.pending {
            if now < pending.repeat_at {
                return None;
            }
            pending.repeat_at = now + Duration::from_millis(self.settings.repeat_ms);
            return Some(pending.record.clone());
        }
        if self.is_stopping {
            return None;
        }
        let held_parts = self.held.map_or(0, |held| held.parts);
        let wanted_parts = self.wanted_parts(held_parts, now)?;
        let is_off = wanted_parts.abs_diff(held_parts) > self.fair_parts(now) / ADJUST_DIVISOR;
        let is_due = now >= self.renew_at || (is_off && now >= self.adjust_at);
        let is_worth_it = self.held.is_some() || is_off;
        if !is_due || !is_worth_it || wanted_parts == 0 {
            return None;
        }
        let surplus_parts = held_parts.saturating_sub(wanted_parts);
        let given_up_parts = self.account.take_uncommitted(surplus_parts, now);
        let parts = wanted_parts + (surplus_parts - given_up_parts);
        Some(self.send_hold(parts, self.settings.lease_ms, now))
    }

    /// Parts of the whole that are this node's fair share. Until links had time to open, as many
    /// nodes as the document allows are reckoned with.
    fn fair_parts(&self, now: Instant) -> u64 {
        let seen_nodes = self.live_nodes.filter(|_| now >= self.counts_nodes_at);
        let nodes = seen_nodes.unwrap_or(self.max_nodes).clamp(1, self.max_nodes);
        TOTAL_PARTS / u64::from(nodes)
    }

    /// Parts to hold from the next append on, or none if nothing can be said yet.
    fn wanted_parts(&self, held_parts: u64, now: Instant) -> Option<u64> {
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
            None => self.held.map(|held| held.parts),
        }
    }

    fn send_hold(&mut self, parts: u64, lease_ms: u64, now: Instant) -> ShareRecord {
        let action = ShareAction::Hold {
            parts,
            lease_ms,
            outlast_ms: self.settings.outlast_ms(),
            address: self.address.clone(),
        };
        let renew_ms = self.settings.renew_ms.min(lease_ms / RENEWALS_A_LEASE);
        self.renew_at = now + Duration::from_millis(renew_ms);
        self.adjust_at = now + Duration::from_millis(ADJUST_MS);
        self.send(action, now)
    }

    fn send(&mut self, action: ShareAction, now: Instant) -> ShareRecord {
        self.last_attempt += 1;
        let record = ShareRecord {
            instance: self.instance.clone(),
            attempt: self.last_attempt,
            replaces: self.ledger.offset(&self.instance),
            action,
        };
        self.pending = Some(PendingShare {
            record: record.clone(),
            first_sent_at: now,
            repeat_at: now + Duration::from_millis(self.settings.repeat_ms),
        });
        self.refresh_share();
        record
    }

    /// Gives up the share except for what partners and requests still use, which lapses with them.
    pub(super) fn stop(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.is_stopping = true;
        let mut commands = self.transfers.return_unneeded(now);
        let Some(held) = self.held else { return commands };
        let kept_parts = self.kept_parts(held);
        let used_parts = kept_parts - self.account.take_uncommitted(kept_parts, now);
        let used_until = self.transfers.last_regain_at().max(self.account.last_work_deadline());
        let record = match used_until.filter(|_| used_parts > 0) {
            None => self.send(ShareAction::Release, now),
            Some(used_until) => {
                let lasts = used_until.min(held.deadline).saturating_duration_since(now);
                let lease_ms = u64::try_from(lasts.as_millis()).unwrap_or(u64::MAX / 4) + 1;
                self.send_hold(used_parts, lease_ms, now)
            }
        };
        commands.push(PowerCommand::Append(StreamRecord::Change(record)));
        commands
    }
}
