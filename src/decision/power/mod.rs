//! Power: how many watts each node may commit, so that the site never draws more than the budget.
//!
//! The power above idle is divided into [`TOTAL_PARTS`]. Shares of it are records on the stream
//! `power`, folded by log order into a [`ledger::ShareLedger`] that never holds more than the
//! whole. A node's watts are its parts of the budget in its own document, so a changed budget
//! needs no agreement: the nodes together never draw more than the largest budget in force
//! anywhere. Parts that a node does not use move to partners by [`transfers`].

pub mod account;
pub mod account_state;
pub mod ended;
mod holding;
pub mod ledger;
pub mod messages;
mod reclaim;
pub mod settings;
pub mod transfers;

pub use account::{PowerAccount, PowerSource, SourceId};
pub use account_state::shared_watts;
pub use messages::{
    PowerAnswer, PowerCommand, PowerEvent, PowerMessage, PowerRequest, PowerStats, ShareAction,
    ShareRecord, TOTAL_PARTS,
};
pub use settings::PowerSettings;

use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset};
use account_state::watts_of_parts;
use ended::EndedInstances;
use ledger::{FoldedRecord, ShareEntry, ShareLedger};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use transfers::Transfers;

/// Milliseconds after its start from which a node trusts the number of live nodes it sees.
const COUNT_NODES_MS: u64 = 1_500;
/// Requests whose power a node without a share asks for before it has any.
const FIRST_ASK_REQUESTS: u64 = 4;

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
    counts_nodes_at: Instant,
    has_asked_first: bool,
    transfers: Transfers,
    ended: EndedInstances,
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
            ended: EndedInstances::new(settings),
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
            counts_nodes_at: now + Duration::from_millis(COUNT_NODES_MS),
            has_asked_first: false,
            is_stopping: false,
        }
    }

    /// Applies `event` and returns what to do.
    pub fn apply(&mut self, event: PowerEvent, now: Instant) -> Vec<PowerCommand> {
        let mut commands = Vec::new();
        match event {
            PowerEvent::Document(document) => {
                self.max_nodes = document.site.max_nodes.max(1);
                self.set_lease(document.site.power_lease_ms);
                self.account.set_document(&document);
                self.ended.set_document(&document);
                commands = self.ask_first(now);
            }
            PowerEvent::Page { page, from } => self.read_page(&page, from, now),
            PowerEvent::Message { from, message } => commands = self.receive(&from, &message, now),
            PowerEvent::Membership { partners, live_nodes } => {
                self.transfers.set_partners(partners);
                self.live_nodes = Some(live_nodes);
                commands = self.ask_first(now);
            }
            PowerEvent::PartnerContact(instance) => {
                self.ended.clear_proof(&instance);
                self.transfers.hear(&instance, now);
            }
            PowerEvent::InstanceEnded(instance) => self.ended.add_proof(instance, now),
            PowerEvent::ServerIdle { server, polled_at } => {
                self.ended.add_idle(server, polled_at);
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

    /// Returns the share of `instance` as read from the log.
    pub fn share(&self, instance: &InstanceId) -> Option<&ShareEntry> {
        self.ledger.entry(instance)
    }

    /// Returns the node's figures at `now`.
    pub fn stats(&self, now: Instant) -> PowerStats {
        let shared_watts = self.account.shared_watts();
        let held = self.held.filter(|held| now < held.deadline);
        PowerStats {
            allowed_watts: self.account.allowed_watts(now),
            committed_watts: self.account.committed_watts(),
            given_watts: watts_of_parts(self.transfers.given_parts(), shared_watts),
            received_watts: watts_of_parts(self.transfers.received_parts(now), shared_watts),
            held_parts: held.map_or(0, |held| held.parts),
        }
    }

    /// Sets how long the shares that this node takes from now on last.
    fn set_lease(&mut self, lease_ms: u64) {
        self.settings.lease_ms = lease_ms;
        self.ledger.raise_max_lease(lease_ms);
    }

    /// Asks for power as soon as a node without a share has partners, so that its first request
    /// need not wait for an ask.
    fn ask_first(&mut self, now: Instant) -> Vec<PowerCommand> {
        let is_ready = self.transfers.has_partners() && self.account.shared_watts() > 0;
        if self.held.is_some() || self.has_asked_first || !is_ready {
            return Vec::new();
        }
        self.has_asked_first = true;
        let work_limit = Duration::from_millis(self.settings.work_limit_ms);
        self.account.add_lack(FIRST_ASK_REQUESTS, now + work_limit);
        self.transfers.tick(now)
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
            PowerMessage::Ask { ask, held_grants, .. } => {
                self.transfers.regain_unheld(from, *ask, held_grants);
                self.refresh_share();
                self.answer_ask(from, message, now)
            }
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
        for FoldedRecord { record, counts } in self.ledger.fold_page(page, from, now) {
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
}
