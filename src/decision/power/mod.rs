//! Power: how many watts each node may commit, so that the site never draws more than the budget.
//!
//! The power above idle is divided into [`TOTAL_PARTS`]. Shares of it are records on the stream
//! `power`, folded by log order into a [`ledger::ShareLedger`] that never holds more than the
//! whole. A node's watts are its parts of the budget in its own document, so a changed budget
//! needs no agreement: the nodes together never draw more than the largest budget in force
//! anywhere. Parts that a node does not use move to partners by [`transfers`].

pub mod account;
pub mod ledger;
pub mod messages;
pub mod settings;
pub mod transfers;

pub use account::{PowerAccount, PowerSource, SourceId};
pub use messages::{
    PowerAnswer, PowerCommand, PowerEvent, PowerFigures, PowerMessage, PowerRequest, ShareAction,
    ShareRecord, TOTAL_PARTS,
};
pub use settings::PowerSettings;

use crate::decision::leases::stream::StreamRecord;
use crate::decision::leases::tenure::drift_margin;
use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset};
use account::watts_of_parts;
use ledger::{ReadEntry, ReadShare, ShareLedger};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use transfers::Transfers;

/// Least time in milliseconds between two appends that change the share.
const ADJUST_MS: u64 = 5_000;
/// Part of the fair share by which the share must be off to be changed before it is renewed.
const ADJUST_DIVISOR: u64 = 10;
/// Milliseconds over which nodes spread the release of a lapsed share.
const RECLAIM_SPREAD_MS: u64 = 2_000;

/// Share that this node holds.
#[derive(Clone, Copy, Debug)]
struct HeldShare {
    parts: u64,
    deadline: Instant,
}

/// Append that has not been read back yet.
#[derive(Clone, Debug)]
struct PendingShare {
    record: ShareRecord,
    first_sent_at: Instant,
    repeat_at: Instant,
}

impl PendingShare {
    /// Parts of the share if the append counts.
    fn parts(&self) -> u64 {
        match &self.record.action {
            ShareAction::Hold { parts, .. } => *parts,
            ShareAction::Release => 0,
        }
    }
}

/// Power of one node; owned by the control thread.
#[derive(Debug)]
pub struct PowerState {
    instance: InstanceId,
    address: SmolStr,
    settings: PowerSettings,
    started_at: Instant,
    account: Arc<PowerAccount>,
    ledger: ShareLedger,
    held: Option<HeldShare>,
    pending: Option<PendingShare>,
    renew_at: Instant,
    adjust_at: Instant,
    reclaim_at: Instant,
    last_attempt: u64,
    live_nodes: Option<u32>,
    max_nodes: u32,
    transfers: Transfers,
    is_stopping: bool,
}

impl PowerState {
    /// Returns the state of a node that starts at `now` and listens on `address` for as long as it
    /// runs, so that no other process listens there meanwhile.
    pub fn new(
        instance: InstanceId,
        address: SmolStr,
        settings: PowerSettings,
        account: Arc<PowerAccount>,
        now: Instant,
    ) -> Self {
        Self {
            transfers: Transfers::new(instance.clone(), settings, Arc::clone(&account)),
            ledger: ShareLedger::new(&instance, settings.lease_ms, settings.transit_ms),
            instance,
            address,
            settings,
            started_at: now,
            account,
            held: None,
            pending: None,
            renew_at: now,
            adjust_at: now,
            reclaim_at: now,
            last_attempt: 0,
            live_nodes: None,
            max_nodes: 1,
            is_stopping: false,
        }
    }

    /// Applies `event` and returns what to do.
    pub fn apply(&mut self, event: PowerEvent, now: Instant) -> Vec<PowerCommand> {
        let mut commands = Vec::new();
        match event {
            PowerEvent::Document(document) => {
                self.max_nodes = document.site.max_nodes.max(1);
                self.account.set_document(&document);
            }
            PowerEvent::Page { page, from } => self.read_page(&page, from, now),
            PowerEvent::Message { from, message } => commands = self.receive(&from, &message, now),
            PowerEvent::Membership { partners, live_nodes } => {
                self.transfers.set_partners(partners);
                self.live_nodes = Some(live_nodes);
            }
            PowerEvent::Tick => commands = self.tick(now),
            PowerEvent::Stop => commands = self.stop(now),
        }
        self.refresh_share();
        let shed = self.account.take_shed(now);
        if !shed.is_empty() {
            commands.push(PowerCommand::Shed(shed));
        }
        commands
    }

    /// Returns the offset to read the log from.
    pub fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    /// Returns the node's figures at `now`.
    pub fn figures(&self, now: Instant) -> PowerFigures {
        let shared_watts = self.account.shared_watts();
        let held = self.held.filter(|held| now < held.deadline);
        PowerFigures {
            allowed_watts: self.account.allowed_watts(now),
            committed_watts: self.account.committed_watts(),
            given_watts: watts_of_parts(self.transfers.given_parts(), shared_watts),
            received_watts: watts_of_parts(self.transfers.received_parts(now), shared_watts),
            held_parts: held.map_or(0, |held| held.parts),
        }
    }

    fn receive(
        &mut self,
        from: &InstanceId,
        message: &PowerMessage,
        now: Instant,
    ) -> Vec<PowerCommand> {
        match message {
            PowerMessage::Grant { .. } => {
                self.transfers.receive_grant(from, message, now).into_iter().collect()
            }
            PowerMessage::Return { grant } => {
                self.transfers.regain(*grant);
                Vec::new()
            }
            PowerMessage::Ask { .. } => self.answer_ask(from, message, now),
        }
    }

    fn answer_ask(
        &mut self,
        from: &InstanceId,
        message: &PowerMessage,
        now: Instant,
    ) -> Vec<PowerCommand> {
        let mut commands = self.transfers.return_unneeded(now);
        if let Some(held) = self.held.filter(|_| !self.is_stopping) {
            let grant = self.transfers.answer_ask(from, message, held.deadline, now);
            self.refresh_share();
            commands.extend(grant);
        }
        commands
    }

    fn read_page(&mut self, page: &LogPage, from: LogOffset, now: Instant) {
        for ReadShare { record, counts } in self.ledger.fold_page(page, from, now) {
            if record.instance == self.instance {
                self.confirm(&record, counts);
            }
        }
    }

    fn confirm(&mut self, record: &ShareRecord, counts: bool) {
        let pending = self.pending.take_if(|pending| pending.record == *record);
        if !counts {
            return;
        }
        let ShareAction::Hold { parts, lease_ms, .. } = record.action else {
            self.held = None;
            return;
        };
        match pending {
            Some(pending) => {
                let deadline = pending.first_sent_at + Duration::from_millis(lease_ms);
                self.held = Some(HeldShare { parts, deadline });
            }
            None => {
                if let Some(held) = &mut self.held {
                    held.parts = held.parts.min(parts);
                }
            }
        }
    }

    /// Sets the account's share: what is held and stays held if the pending append counts, less
    /// what was given.
    fn refresh_share(&self) {
        let Some(held) = self.held else {
            self.account.remove_source(&SourceId::Share);
            return;
        };
        let kept_parts = self.kept_parts(held);
        let parts = kept_parts.saturating_sub(self.transfers.given_parts());
        let source = PowerSource { parts, deadline: held.deadline };
        self.account.set_source(SourceId::Share, source);
    }

    /// Parts that are held whether the pending append counts or not.
    fn kept_parts(&self, held: HeldShare) -> u64 {
        self.pending.as_ref().map_or(held.parts, |pending| held.parts.min(pending.parts()))
    }

    fn tick(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.held = self.held.filter(|held| now < held.deadline);
        self.refresh_share();
        let mut commands = self.transfers.tick(now);
        self.refresh_share();
        if let Some(record) = self.next_append(now) {
            commands.push(PowerCommand::Append(StreamRecord::Change(record)));
        }
        commands.extend(self.ledger.upkeep(now).map(PowerCommand::Append));
        if !self.is_stopping {
            commands.extend(self.reclaim(now));
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
        let is_off = wanted_parts.abs_diff(held_parts) > self.fair_parts() / ADJUST_DIVISOR;
        let is_due = now >= self.renew_at || (is_off && now >= self.adjust_at);
        if !is_due || wanted_parts == 0 {
            return None;
        }
        let surplus_parts = held_parts.saturating_sub(wanted_parts);
        let given_up_parts = self.account.take_spare(surplus_parts, now);
        let parts = wanted_parts + (surplus_parts - given_up_parts);
        Some(self.send_hold(parts, self.settings.lease_ms, now))
    }

    fn fair_parts(&self) -> u64 {
        let nodes = self.live_nodes.unwrap_or(self.max_nodes).clamp(1, self.max_nodes);
        TOTAL_PARTS / u64::from(nodes)
    }

    /// Parts to hold from the next append on, or none if nothing can be said yet.
    fn wanted_parts(&self, held_parts: u64, now: Instant) -> Option<u64> {
        let fair_parts = self.fair_parts();
        if held_parts > fair_parts {
            let surplus_parts = self.account.spare_parts(now).min(held_parts - fair_parts);
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
            work_limit_ms: self.settings.work_limit_ms,
            address: self.address.clone(),
        };
        self.renew_at = now + Duration::from_millis(self.settings.renew_ms);
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

    /// Releases lapsed shares of other instances, spread over the nodes.
    fn reclaim(&mut self, now: Instant) -> Vec<PowerCommand> {
        if now < self.reclaim_at {
            return Vec::new();
        }
        let lapsed: Vec<ShareRecord> = self
            .ledger
            .entries()
            .filter(|read| read.entry.instance != self.instance)
            .filter(|read| now >= self.reclaimable_at(read))
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

    /// When nothing that the holder started can run any more. An instance that listened on this
    /// node's own address had ended when this node started.
    fn reclaimable_at(&self, read: &ReadEntry) -> Instant {
        let entry = &read.entry;
        let spread_seed = xxhash_rust::xxh3::xxh3_64(self.instance.as_bytes());
        let spread = xxhash_rust::xxh3::xxh3_64_with_seed(entry.instance.as_bytes(), spread_seed);
        let lapsed_at = read.lapsed_at + Duration::from_millis(spread % RECLAIM_SPREAD_MS);
        if entry.address != self.address {
            return lapsed_at;
        }
        let work_ends_at = self.started_at
            + Duration::from_millis(entry.work_limit_ms + self.settings.transit_ms)
            + drift_margin(entry.work_limit_ms);
        lapsed_at.min(work_ends_at)
    }

    /// Gives up the share except for what partners and requests still use, which lapses with them.
    fn stop(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.is_stopping = true;
        let mut commands = self.transfers.return_unneeded(now);
        let Some(held) = self.held else { return commands };
        let kept_parts = self.kept_parts(held);
        let used_parts = kept_parts - self.account.take_spare(kept_parts, now);
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
