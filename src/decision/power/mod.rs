//! Power allocation: how many watts each node may commit, so that the site stays within its budget.
//!
//! The power above idle is divided into [`TOTAL_PARTS`] parts. Each node's share is a record on the
//! stream `power`; [`ledger::ShareLedger`] folds the records and rejects any that would allocate
//! more than all parts. A node converts its parts to watts with the budget of its own document, so
//! a change of the budget needs no agreement: together the nodes never draw more than the largest
//! budget in force on any node. Nodes lend parts that they don't use to partners, see
//! [`transfers`].

pub mod account;
pub mod account_state;
pub mod ended_instances;
pub mod ledger;
pub mod messages;
mod own_share;
mod release;
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
use account_state::parts_to_watts;
use ended_instances::EndedInstances;
use ledger::{FoldedRecord, ShareEntry, ShareLedger};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use transfers::Transfers;

/// Milliseconds after the start of a node for which it ignores its count of live nodes, since links
/// are still opening.
const NODE_COUNT_DELAY_MS: u64 = 1_500;
/// Number of requests for which a node without a share asks power before any has arrived.
const INITIAL_ASK_REQUESTS: u64 = 4;

/// Share that this node holds and the time at which it expires.
#[derive(Clone, Copy, Debug)]
struct HeldShare {
    parts: u64,
    deadline: Instant,
}

/// Appended record that has not been read back from the log yet.
#[derive(Clone, Debug)]
struct PendingAppend {
    record: ShareRecord,
    first_sent_at: Instant,
    repeat_at: Instant,
}

impl PendingAppend {
    /// Parts of the share if the record is accepted.
    fn parts(&self) -> u64 {
        match &self.record.action {
            ShareAction::Hold { parts, .. } => *parts,
            ShareAction::Release => 0,
        }
    }
}

/// Power allocation of one node; owned by the control thread.
#[derive(Debug)]
pub struct PowerState {
    instance: InstanceId,
    address: SmolStr,
    settings: PowerSettings,
    started_at: Instant,
    account: Arc<PowerAccount>,
    ledger: ShareLedger,
    held_share: Option<HeldShare>,
    pending_append: Option<PendingAppend>,
    /// When the share is renewed.
    renew_at: Instant,
    /// Earliest time of an append that resizes the share before its renewal.
    next_adjust_at: Instant,
    /// Earliest time of the next release of shares of other instances.
    next_release_at: Instant,
    last_attempt: u64,
    live_nodes: Option<u32>,
    max_nodes: u32,
    /// From when `live_nodes` is used.
    node_count_valid_at: Instant,
    has_sent_initial_ask: bool,
    transfers: Transfers,
    ended_instances: EndedInstances,
    is_stopping: bool,
}

impl PowerState {
    /// Returns the state of a node that starts at `now`. It must listen on `address` for as long as
    /// it runs: other nodes conclude from a refused connection that it has ended.
    pub fn new(
        instance: InstanceId,
        address: SmolStr,
        settings: PowerSettings,
        account: Arc<PowerAccount>,
        now: Instant,
    ) -> Self {
        Self {
            transfers: Transfers::new(instance.clone(), settings, Arc::clone(&account)),
            ledger: ShareLedger::new(&instance, settings.lease_ms, settings.request_transit_ms),
            ended_instances: EndedInstances::new(settings),
            instance,
            address,
            settings,
            started_at: now,
            account,
            held_share: None,
            pending_append: None,
            renew_at: now,
            next_adjust_at: now,
            next_release_at: now,
            last_attempt: 0,
            live_nodes: None,
            max_nodes: 1,
            node_count_valid_at: now + Duration::from_millis(NODE_COUNT_DELAY_MS),
            has_sent_initial_ask: false,
            is_stopping: false,
        }
    }

    /// Applies `event` and returns the commands to carry out.
    pub fn apply(&mut self, event: PowerEvent, now: Instant) -> Vec<PowerCommand> {
        let mut commands = Vec::new();
        match event {
            PowerEvent::Document(document) => {
                self.max_nodes = document.site.max_nodes.max(1);
                self.set_lease_period(document.site.power_lease_ms);
                self.account.set_document(&document);
                self.ended_instances.set_document(&document);
                commands = self.send_initial_ask(now);
            }
            PowerEvent::Page { page, from_offset } => self.fold_page(&page, from_offset, now),
            PowerEvent::Message { from, message } => {
                commands = self.receive_message(&from, &message, now)
            }
            PowerEvent::Membership { partners, live_nodes } => {
                self.transfers.set_partners(partners);
                self.live_nodes = Some(live_nodes);
                commands = self.send_initial_ask(now);
            }
            PowerEvent::PartnerContact(instance) => {
                self.ended_instances.mark_alive(&instance);
                self.transfers.record_contact(&instance, now);
            }
            PowerEvent::InstanceEnded(instance) => self.ended_instances.mark_ended(instance, now),
            PowerEvent::ServerIdle { server, polled_at } => {
                self.ended_instances.record_idle(server, polled_at);
            }
            PowerEvent::Tick => commands = self.tick(now),
            PowerEvent::Stop => commands = self.stop(now),
        }
        self.update_share_source();
        let shed = self.account.take_requests_to_shed(now);
        if !shed.is_empty() {
            commands.push(PowerCommand::Shed(shed));
        }
        commands
    }

    /// Returns the offset to read the log from.
    pub fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    /// Returns the share of `instance` according to the log.
    pub fn share(&self, instance: &InstanceId) -> Option<&ShareEntry> {
        self.ledger.entry(instance)
    }

    /// Returns the node's allocation and usage at `now`.
    pub fn stats(&self, now: Instant) -> PowerStats {
        let shared_watts = self.account.shared_watts();
        let held = self.held_share.filter(|held| now < held.deadline);
        PowerStats {
            allowed_watts: self.account.allowed_watts(now),
            committed_watts: self.account.committed_watts(),
            given_watts: parts_to_watts(self.transfers.given_parts(), shared_watts),
            received_watts: parts_to_watts(self.transfers.received_parts(now), shared_watts),
            held_parts: held.map_or(0, |held| held.parts),
        }
    }

    /// Sets the lease period of the shares that this node appends from now on.
    fn set_lease_period(&mut self, lease_ms: u64) {
        self.settings.lease_ms = lease_ms;
        self.ledger.raise_max_lease(lease_ms);
    }

    /// Asks partners for power as soon as there are any, if this node has no share yet, so that its
    /// first request need not wait for a grant.
    fn send_initial_ask(&mut self, now: Instant) -> Vec<PowerCommand> {
        let is_ready = self.transfers.has_partners() && self.account.shared_watts() > 0;
        if self.held_share.is_some() || self.has_sent_initial_ask || !is_ready {
            return Vec::new();
        }
        self.has_sent_initial_ask = true;
        let work_limit = Duration::from_millis(self.settings.work_limit_ms);
        self.account.add_deficit(INITIAL_ASK_REQUESTS, now + work_limit);
        self.transfers.tick(now)
    }

    fn receive_message(
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
                self.transfers.receive_return(*grant);
                Vec::new()
            }
            PowerMessage::Ask { ask, held_grants, .. } => {
                self.transfers.reclaim_unheld(from, *ask, held_grants);
                self.update_share_source();
                self.answer_ask(from, message, now)
            }
        }
    }

    /// Answers an ask from the own share, after returning the received grants that are not needed.
    fn answer_ask(
        &mut self,
        from: &InstanceId,
        message: &PowerMessage,
        now: Instant,
    ) -> Vec<PowerCommand> {
        let mut commands = self.transfers.return_all_unneeded(now);
        if let Some(held) = self.held_share.filter(|_| !self.is_stopping) {
            let grant = self.transfers.answer_ask(from, message, held.deadline, now);
            self.update_share_source();
            commands.extend(grant);
        }
        commands
    }

    fn fold_page(&mut self, page: &LogPage, from_offset: LogOffset, now: Instant) {
        for FoldedRecord { record, is_accepted } in self.ledger.fold_page(page, from_offset, now) {
            if record.instance == self.instance {
                self.apply_own_record(&record, is_accepted);
            }
        }
    }

    /// Applies a record of this instance. Only the pending append extends the share, since the send
    /// time of other records is unknown; an accepted record of another append can only shrink it.
    fn apply_own_record(&mut self, record: &ShareRecord, is_accepted: bool) {
        let pending = self.pending_append.take_if(|pending| pending.record == *record);
        if !is_accepted {
            return;
        }
        let ShareAction::Hold { parts, lease_ms, .. } = record.action else {
            self.held_share = None;
            return;
        };
        match pending {
            Some(pending) => {
                let deadline = pending.first_sent_at + Duration::from_millis(lease_ms);
                self.held_share = Some(HeldShare { parts, deadline });
            }
            None => {
                if let Some(held) = &mut self.held_share {
                    held.parts = held.parts.min(parts);
                }
            }
        }
    }
}
