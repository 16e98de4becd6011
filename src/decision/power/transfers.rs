//! Transfers of parts between partners.
//!
//! A node that lacks power sends asks to partners, which answer with grants from their own shares.
//! The giver stops using the parts before it sends the grant, and the receiver counts the validity
//! of the grant from when it sent the ask, which is before the giver starts counting. So a lost
//! message never lets two nodes use the same parts. It leaves them unused until the grant expires,
//! or until the next ask of the receiver, which does not list the grant, lets the giver reclaim
//! them.

use super::account::{PowerAccount, PowerDeficit, PowerSource, SourceId};
use super::messages::{PowerCommand, PowerMessage, TOTAL_PARTS};
use super::settings::PowerSettings;
use crate::decision::leases::deadlines::drift_margin;
use crate::types::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of partners that one ask is sent to.
const MAX_ASKED_PARTNERS: usize = 8;
/// Factor by which the parts of each ask grow while power is still lacking.
const ASK_GROWTH_FACTOR: u64 = 8;

/// Identifies a grant; numbers are unique within the giver.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct GrantId {
    giver: InstanceId,
    grant: u64,
}

impl GrantId {
    fn source_id(&self) -> SourceId {
        SourceId::Grant { giver: self.giver.clone(), grant: self.grant }
    }
}

/// Ask that still accepts grants.
#[derive(Clone, Debug)]
struct OpenAsk {
    number: u64,
    sent_at: Instant,
    closes_at: Instant,
    /// Parts requested and not granted yet.
    remaining_parts: u64,
    /// Grants that answered the ask, so that a repeated message is recognized after a return.
    seen_grants: BTreeSet<GrantId>,
}

/// Contents of an ask that are the same for all partners.
#[derive(Clone, Copy, Debug)]
struct AskFields {
    number: u64,
    parts: u64,
    needed_ms: u64,
}

/// Grant from a partner; `return_at` is set while no running request needs it.
#[derive(Clone, Debug)]
struct ReceivedGrant {
    parts: u64,
    deadline: Instant,
    return_at: Option<Instant>,
}

/// Grant to a partner.
#[derive(Clone, Debug)]
struct GivenGrant {
    asker: InstanceId,
    ask: u64,
    parts: u64,
    /// From when no request of the partner can use the parts any more.
    expires_at: Instant,
}

/// Grants that one node has received and given, and its asks for more.
#[derive(Debug)]
pub struct Transfers {
    instance: InstanceId,
    settings: PowerSettings,
    account: Arc<PowerAccount>,
    partners: Vec<InstanceId>,
    next_partner_index: usize,
    /// Number of partners that the last ask was sent to.
    asked_partners: usize,
    ask: Option<OpenAsk>,
    last_ask_number: u64,
    last_grant_number: u64,
    /// Until when this node counts as lacking `deficit_parts`.
    deficit_until: Option<Instant>,
    deficit_parts: u64,
    /// Minimum parts of the next ask, 0 unless power is lacking.
    min_ask_parts: u64,
    received_grants: BTreeMap<GrantId, ReceivedGrant>,
    given_grants: BTreeMap<u64, GivenGrant>,
}

impl Transfers {
    /// Returns the state of a node without partners and grants.
    pub fn new(instance: InstanceId, settings: PowerSettings, account: Arc<PowerAccount>) -> Self {
        Self {
            instance,
            settings,
            account,
            partners: Vec::new(),
            next_partner_index: 0,
            asked_partners: 0,
            ask: None,
            last_ask_number: 0,
            last_grant_number: 0,
            deficit_until: None,
            deficit_parts: 0,
            min_ask_parts: 0,
            received_grants: BTreeMap::new(),
            given_grants: BTreeMap::new(),
        }
    }

    /// Sets the partners that asks are sent to.
    pub fn set_partners(&mut self, partners: Vec<InstanceId>) {
        self.partners = partners;
    }

    /// Whether there is any partner.
    pub fn has_partners(&self) -> bool {
        !self.partners.is_empty()
    }

    /// Whether `instance` is a partner.
    pub fn is_partner(&self, instance: &InstanceId) -> bool {
        self.partners.contains(instance)
    }

    /// Returns the parts granted to partners and neither returned nor expired.
    pub fn given_parts(&self) -> u64 {
        self.given_grants.values().map(|grant| grant.parts).sum()
    }

    /// Returns the parts granted by partners that are valid at `now`.
    pub fn received_parts(&self, now: Instant) -> u64 {
        let usable = self.received_grants.values().filter(|grant| now < grant.deadline);
        usable.map(|grant| grant.parts).sum()
    }

    /// Returns when the last grant to a partner expires.
    pub fn last_grant_expiry(&self) -> Option<Instant> {
        self.given_grants.values().map(|grant| grant.expires_at).max()
    }

    /// Adds a grant to the account, or returns it if it answers no open ask or is not needed.
    pub fn receive_grant(
        &mut self,
        from: &InstanceId,
        message: &PowerMessage,
        now: Instant,
    ) -> Option<PowerCommand> {
        let PowerMessage::Grant { asker, ask, grant, parts, valid_ms } = message else {
            return None;
        };
        let id = GrantId { giver: from.clone(), grant: *grant };
        if *asker != self.instance || self.received_grants.contains_key(&id) {
            return None;
        }
        let answers_open_ask = |open: &&mut OpenAsk| open.number == *ask && now < open.closes_at;
        let Some(open) = self.ask.as_mut().filter(answers_open_ask) else {
            return Some(return_message(&id));
        };
        if !open.seen_grants.insert(id.clone()) || open.remaining_parts == 0 {
            return Some(return_message(&id));
        }
        let deadline = open.sent_at + Duration::from_millis(*valid_ms);
        open.remaining_parts = open.remaining_parts.saturating_sub(*parts);
        if open.remaining_parts == 0 {
            open.closes_at = now;
        }
        let start_deadline = now + Duration::from_millis(self.settings.contact_timeout_ms);
        let source = PowerSource { parts: *parts, deadline, start_deadline };
        self.account.set_source(id.source_id(), source);
        let received = ReceivedGrant { parts: *parts, deadline, return_at: None };
        self.received_grants.insert(id, received);
        None
    }

    /// Answers the ask of a partner with a grant from the node's own share, which is valid until
    /// `share_deadline`. A node that lacks power itself keeps what it lacks only if its instance
    /// sorts before the partner's, so that two such nodes do not keep power from each other.
    pub fn answer_ask(
        &mut self,
        from: &InstanceId,
        message: &PowerMessage,
        share_deadline: Instant,
        now: Instant,
    ) -> Option<PowerCommand> {
        let PowerMessage::Ask { ask, parts, needed_ms, .. } = message else { return None };
        let reserved_parts =
            if self.has_deficit(now) && self.instance < *from { self.deficit_parts } else { 0 };
        let granted_until = now + Duration::from_millis(*needed_ms) + drift_margin(*needed_ms);
        if granted_until > share_deadline {
            return None;
        }
        let free_parts = self.account.uncommitted_parts(now).saturating_sub(reserved_parts);
        let parts = self.account.take_uncommitted(free_parts.min(*parts), now);
        if parts == 0 {
            return None;
        }
        self.last_grant_number += 1;
        let expires_at = granted_until + Duration::from_millis(self.settings.request_transit_ms);
        let given = GivenGrant { asker: from.clone(), ask: *ask, parts, expires_at };
        self.given_grants.insert(self.last_grant_number, given);
        let message = PowerMessage::Grant {
            asker: from.clone(),
            ask: *ask,
            grant: self.last_grant_number,
            parts,
            valid_ms: *needed_ms,
        };
        Some(PowerCommand::Send { to: from.clone(), message })
    }

    /// Records that a message of `giver` was received, so that its grants cover new requests for
    /// longer.
    pub fn record_contact(&self, giver: &InstanceId, now: Instant) {
        let start_deadline = now + Duration::from_millis(self.settings.contact_timeout_ms);
        for id in self.received_grants.keys().filter(|id| id.giver == *giver) {
            self.account.extend_start_deadline(&id.source_id(), start_deadline);
        }
    }

    /// Removes the grants to `asker` for asks before `ask` that it does not hold.
    pub fn reclaim_unheld(&mut self, asker: &InstanceId, ask: u64, held_grants: &[u64]) {
        self.given_grants.retain(|grant, given| {
            given.asker != *asker || given.ask >= ask || held_grants.contains(grant)
        });
    }

    /// Removes a grant that the partner has returned.
    pub fn receive_return(&mut self, grant: u64) {
        self.given_grants.remove(&grant);
    }

    /// Removes expired grants, returns unused ones and asks partners for the power that is lacking.
    pub fn tick(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.given_grants.retain(|_, grant| now < grant.expires_at);
        self.drop_expired(now);
        self.schedule_idle_returns(now);
        let mut commands = self.return_due(now);
        commands.extend(self.send_asks(now));
        commands
    }

    /// Returns at once all grants that running requests do not need, unless power is lacking.
    pub fn return_all_unneeded(&mut self, now: Instant) -> Vec<PowerCommand> {
        let has_deficit = self.has_deficit(now);
        for grant in self.received_grants.values_mut() {
            grant.return_at = if has_deficit { None } else { Some(now) };
        }
        self.return_due(now)
    }

    fn has_deficit(&self, now: Instant) -> bool {
        self.deficit_until.is_some_and(|until| now < until)
    }

    fn drop_expired(&mut self, now: Instant) {
        let account = &self.account;
        self.received_grants.retain(|id, grant| {
            let is_valid = now < grant.deadline;
            if !is_valid {
                account.remove_source(&id.source_id());
            }
            is_valid
        });
    }

    /// Schedules the return of grants that running requests do not need, and cancels that of the
    /// others.
    fn schedule_idle_returns(&mut self, now: Instant) {
        let idle_return_at = now + Duration::from_millis(self.settings.grant_idle_timeout_ms);
        for (id, grant) in &mut self.received_grants {
            if self.account.is_source_needed(&id.source_id(), now) {
                grant.return_at = None;
                continue;
            }
            grant.return_at = grant.return_at.or(Some(idle_return_at));
        }
    }

    fn return_due(&mut self, now: Instant) -> Vec<PowerCommand> {
        let mut commands = Vec::new();
        let account = &self.account;
        self.received_grants.retain(|id, grant| {
            let is_due = grant.return_at.is_some_and(|return_at| now >= return_at);
            if !is_due || !account.try_reduce(&id.source_id(), 0, now) {
                return true;
            }
            account.remove_source(&id.source_id());
            commands.push(return_message(id));
            false
        });
        commands
    }

    /// Sends an ask once the last one has closed, if power is lacking or grants that answered the
    /// last one may have been lost.
    fn send_asks(&mut self, now: Instant) -> Vec<PowerCommand> {
        if self.ask.as_ref().is_some_and(|ask| now < ask.closes_at) {
            return Vec::new();
        }
        let had_open_ask = self.ask.take().is_some();
        if let Some(deficit) = self.account.take_deficit(now) {
            self.deficit_parts = deficit.parts;
            self.deficit_until = Some(now + 2 * Duration::from_millis(self.settings.ask_period_ms));
            if self.partners.is_empty() {
                return Vec::new();
            }
            self.next_partner_index = self.next_partner_index.wrapping_add(self.asked_partners);
            self.asked_partners = self.partners.len().min(MAX_ASKED_PARTNERS);
            let ask = self.open_ask(deficit, now);
            return self.send_ask(ask);
        }
        if !self.has_deficit(now) {
            self.min_ask_parts = 0;
        }
        if !had_open_ask {
            return Vec::new();
        }
        // An ask for no parts lets partners reclaim grants whose messages were lost.
        self.last_ask_number += 1;
        self.send_ask(AskFields { number: self.last_ask_number, parts: 0, needed_ms: 0 })
    }

    /// Sends an ask to the partners whose turn it is in the round-robin order.
    fn send_ask(&self, ask: AskFields) -> Vec<PowerCommand> {
        let AskFields { number: ask, parts, needed_ms } = ask;
        (0..self.asked_partners.min(self.partners.len()))
            .map(|index| self.next_partner_index.wrapping_add(index) % self.partners.len())
            .map(|index| {
                let to = self.partners[index].clone();
                let held_grants = self.held_grants(&to);
                let message = PowerMessage::Ask { ask, parts, needed_ms, held_grants };
                PowerCommand::Send { to, message }
            })
            .collect()
    }

    fn held_grants(&self, giver: &InstanceId) -> Vec<u64> {
        self.received_grants.keys().filter(|id| id.giver == *giver).map(|id| id.grant).collect()
    }

    fn open_ask(&mut self, deficit: PowerDeficit, now: Instant) -> AskFields {
        // Callers may try one request at a time, so the refused requests can understate the need:
        // each ask is larger than the one before for as long as power is lacking.
        let parts = deficit.parts.max(self.min_ask_parts).min(TOTAL_PARTS);
        self.min_ask_parts = parts.saturating_mul(ASK_GROWTH_FACTOR);
        self.last_ask_number += 1;
        self.ask = Some(OpenAsk {
            number: self.last_ask_number,
            sent_at: now,
            closes_at: now + Duration::from_millis(self.settings.ask_period_ms),
            remaining_parts: parts,
            seen_grants: BTreeSet::new(),
        });
        let needed = deficit.needed_until.saturating_duration_since(now);
        let needed_ms = u64::try_from(needed.as_millis()).unwrap_or(u64::MAX / 4);
        let needed_ms = needed_ms + 1 + self.settings.grant_reuse_ms;
        AskFields { number: self.last_ask_number, parts, needed_ms }
    }
}

fn return_message(id: &GrantId) -> PowerCommand {
    let message = PowerMessage::Return { grant: id.grant };
    PowerCommand::Send { to: id.giver.clone(), message }
}
