//! Transfers of parts between partners.
//!
//! The giver gives up before it sends; the receiver counts the grant's validity from the sending
//! of its ask, which is earlier than anything the giver counts from. A lost message wastes parts
//! until the giver regains them, and never doubles them.

use super::account::{PowerAccount, PowerLack, PowerSource, SourceId};
use super::messages::{PowerCommand, PowerMessage, TOTAL_PARTS};
use super::settings::PowerSettings;
use crate::decision::leases::deadlines::drift_margin;
use crate::types::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Partners asked at once.
const ASKED_PARTNERS: usize = 8;
/// Factor by which an ask grows over the last one while power is still lacking.
const ASK_GROWTH: u64 = 8;

/// Id of a grant: numbers are unique within the giver.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct GrantId {
    giver: InstanceId,
    grant: u64,
}

impl GrantId {
    fn source(&self) -> SourceId {
        SourceId::Grant { giver: self.giver.clone(), grant: self.grant }
    }
}

#[derive(Clone, Debug)]
struct OpenAsk {
    number: u64,
    sent_at: Instant,
    closes_at: Instant,
    lacking_parts: u64,
    seen: BTreeSet<GrantId>,
}

/// What an ask tells every partner.
#[derive(Clone, Copy, Debug)]
struct SentAsk {
    number: u64,
    parts: u64,
    needed_ms: u64,
}

#[derive(Clone, Debug)]
struct ReceivedGrant {
    parts: u64,
    deadline: Instant,
    return_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct GivenGrant {
    asker: InstanceId,
    ask: u64,
    parts: u64,
    regain_at: Instant,
}

/// Transfers of one node.
#[derive(Debug)]
pub struct Transfers {
    instance: InstanceId,
    settings: PowerSettings,
    account: Arc<PowerAccount>,
    partners: Vec<InstanceId>,
    next_partner: usize,
    asked_partners: usize,
    ask: Option<OpenAsk>,
    last_ask: u64,
    last_grant: u64,
    lacking_until: Option<Instant>,
    lacking_parts: u64,
    least_ask_parts: u64,
    received: BTreeMap<GrantId, ReceivedGrant>,
    given: BTreeMap<u64, GivenGrant>,
}

impl Transfers {
    /// Returns the transfers of a node without partners.
    pub fn new(instance: InstanceId, settings: PowerSettings, account: Arc<PowerAccount>) -> Self {
        Self {
            instance,
            settings,
            account,
            partners: Vec::new(),
            next_partner: 0,
            asked_partners: 0,
            ask: None,
            last_ask: 0,
            last_grant: 0,
            lacking_until: None,
            lacking_parts: 0,
            least_ask_parts: 0,
            received: BTreeMap::new(),
            given: BTreeMap::new(),
        }
    }

    /// Sets the partners to ask.
    pub fn set_partners(&mut self, partners: Vec<InstanceId>) {
        self.partners = partners;
    }

    /// Whether there is a partner to ask.
    pub fn has_partners(&self) -> bool {
        !self.partners.is_empty()
    }

    /// Whether `instance` is a partner.
    pub fn is_partner(&self, instance: &InstanceId) -> bool {
        self.partners.contains(instance)
    }

    /// Returns the parts given and not regained.
    pub fn given_parts(&self) -> u64 {
        self.given.values().map(|grant| grant.parts).sum()
    }

    /// Returns the parts received that may be used at `now`.
    pub fn received_parts(&self, now: Instant) -> u64 {
        let usable = self.received.values().filter(|grant| now < grant.deadline);
        usable.map(|grant| grant.parts).sum()
    }

    /// Returns when the last of the parts given are regained.
    pub fn last_regain_at(&self) -> Option<Instant> {
        self.given.values().map(|grant| grant.regain_at).max()
    }

    /// Handles the answer of a partner to an ask.
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
        if *asker != self.instance || self.received.contains_key(&id) {
            return None;
        }
        let answers_open = |open: &&mut OpenAsk| open.number == *ask && now < open.closes_at;
        let Some(open) = self.ask.as_mut().filter(answers_open) else {
            return Some(return_to(&id));
        };
        if !open.seen.insert(id.clone()) || open.lacking_parts == 0 {
            return Some(return_to(&id));
        }
        let deadline = open.sent_at + Duration::from_millis(*valid_ms);
        open.lacking_parts = open.lacking_parts.saturating_sub(*parts);
        if open.lacking_parts == 0 {
            open.closes_at = now;
        }
        let start_deadline = now + Duration::from_millis(self.settings.contact_timeout_ms);
        let source = PowerSource { parts: *parts, deadline, start_deadline };
        self.account.set_source(id.source(), source);
        let received = ReceivedGrant { parts: *parts, deadline, return_at: None };
        self.received.insert(id, received);
        None
    }

    /// Answers the ask of a partner from the node's own share, which lasts until
    /// `share_deadline`; the parts are given up before the answer is sent.
    pub fn answer_ask(
        &mut self,
        from: &InstanceId,
        message: &PowerMessage,
        share_deadline: Instant,
        now: Instant,
    ) -> Option<PowerCommand> {
        let PowerMessage::Ask { ask, parts, needed_ms, .. } = message else { return None };
        let own_parts =
            if self.lacks(now) && self.instance < *from { self.lacking_parts } else { 0 };
        let given_until = now + Duration::from_millis(*needed_ms) + drift_margin(*needed_ms);
        if given_until > share_deadline {
            return None;
        }
        let free_parts = self.account.uncommitted_parts(now).saturating_sub(own_parts);
        let parts = self.account.take_uncommitted(free_parts.min(*parts), now);
        if parts == 0 {
            return None;
        }
        self.last_grant += 1;
        let regain_at = given_until + Duration::from_millis(self.settings.transit_ms);
        let given = GivenGrant { asker: from.clone(), ask: *ask, parts, regain_at };
        self.given.insert(self.last_grant, given);
        let message = PowerMessage::Grant {
            asker: from.clone(),
            ask: *ask,
            grant: self.last_grant,
            parts,
            valid_ms: *needed_ms,
        };
        Some(PowerCommand::Send { to: from.clone(), message })
    }

    /// Takes in a sign of life of `giver`: its grants cover new work for a while longer.
    pub fn hear(&self, giver: &InstanceId, now: Instant) {
        let start_deadline = now + Duration::from_millis(self.settings.contact_timeout_ms);
        for id in self.received.keys().filter(|id| id.giver == *giver) {
            self.account.extend_start_deadline(&id.source(), start_deadline);
        }
    }

    /// Takes back what `asker` was given for asks before `ask` and does not hold.
    pub fn regain_unheld(&mut self, asker: &InstanceId, ask: u64, held_grants: &[u64]) {
        self.given.retain(|grant, given| {
            given.asker != *asker || given.ask >= ask || held_grants.contains(grant)
        });
    }

    /// Takes a returned grant back.
    pub fn regain(&mut self, grant: u64) {
        self.given.remove(&grant);
    }

    /// Drops what has lapsed, returns what is idle and asks for what is lacking.
    pub fn tick(&mut self, now: Instant) -> Vec<PowerCommand> {
        self.given.retain(|_, grant| now < grant.regain_at);
        self.drop_lapsed(now);
        self.mark_idle(now);
        let mut commands = self.return_idle(now);
        commands.extend(self.ask_partners(now));
        commands
    }

    /// Returns every grant that running work does not need, at once.
    pub fn return_unneeded(&mut self, now: Instant) -> Vec<PowerCommand> {
        let lacks = self.lacks(now);
        for grant in self.received.values_mut() {
            grant.return_at = if lacks { None } else { Some(now) };
        }
        self.return_idle(now)
    }

    fn lacks(&self, now: Instant) -> bool {
        self.lacking_until.is_some_and(|until| now < until)
    }

    fn drop_lapsed(&mut self, now: Instant) {
        let account = &self.account;
        self.received.retain(|id, grant| {
            let lasts = now < grant.deadline;
            if !lasts {
                account.remove_source(&id.source());
            }
            lasts
        });
    }

    fn mark_idle(&mut self, now: Instant) {
        let idle_return_at = now + Duration::from_millis(self.settings.grant_idle_ms);
        for (id, grant) in &mut self.received {
            if self.account.is_source_needed(&id.source(), now) {
                grant.return_at = None;
                continue;
            }
            grant.return_at = grant.return_at.or(Some(idle_return_at));
        }
    }

    fn return_idle(&mut self, now: Instant) -> Vec<PowerCommand> {
        let mut commands = Vec::new();
        let account = &self.account;
        self.received.retain(|id, grant| {
            let is_due = grant.return_at.is_some_and(|return_at| now >= return_at);
            if !is_due || !account.try_reduce(&id.source(), 0, now) {
                return true;
            }
            account.remove_source(&id.source());
            commands.push(return_to(id));
            false
        });
        commands
    }

    fn ask_partners(&mut self, now: Instant) -> Vec<PowerCommand> {
        if self.ask.as_ref().is_some_and(|ask| now < ask.closes_at) {
            return Vec::new();
        }
        let has_closed = self.ask.take().is_some();
        if let Some(lack) = self.account.take_lack(now) {
            self.lacking_parts = lack.parts;
            self.lacking_until = Some(now + 2 * Duration::from_millis(self.settings.ask_period_ms));
            if self.partners.is_empty() {
                return Vec::new();
            }
            self.next_partner = self.next_partner.wrapping_add(self.asked_partners);
            self.asked_partners = self.partners.len().min(ASKED_PARTNERS);
            let ask = self.open_ask(lack, now);
            return self.send_ask(ask);
        }
        if !self.lacks(now) {
            self.least_ask_parts = 0;
        }
        if !has_closed {
            return Vec::new();
        }
        // Partners whose grant was lost get it back by an ask for nothing.
        self.last_ask += 1;
        self.send_ask(SentAsk { number: self.last_ask, parts: 0, needed_ms: 0 })
    }

    /// Sends an ask to the partners whose turn it is.
    fn send_ask(&self, ask: SentAsk) -> Vec<PowerCommand> {
        let SentAsk { number: ask, parts, needed_ms } = ask;
        (0..self.asked_partners.min(self.partners.len()))
            .map(|index| self.next_partner.wrapping_add(index) % self.partners.len())
            .map(|index| {
                let to = self.partners[index].clone();
                let held_grants = self.held_grants(&to);
                let message = PowerMessage::Ask { ask, parts, needed_ms, held_grants };
                PowerCommand::Send { to, message }
            })
            .collect()
    }

    fn held_grants(&self, giver: &InstanceId) -> Vec<u64> {
        self.received.keys().filter(|id| id.giver == *giver).map(|id| id.grant).collect()
    }

    fn open_ask(&mut self, lack: PowerLack, now: Instant) -> SentAsk {
        // Callers may try one request at a time, so lasting lack multiplies what is asked for.
        let parts = lack.parts.max(self.least_ask_parts).min(TOTAL_PARTS);
        self.least_ask_parts = parts.saturating_mul(ASK_GROWTH);
        self.last_ask += 1;
        self.ask = Some(OpenAsk {
            number: self.last_ask,
            sent_at: now,
            closes_at: now + Duration::from_millis(self.settings.ask_period_ms),
            lacking_parts: parts,
            seen: BTreeSet::new(),
        });
        let needed = lack.needed_until.saturating_duration_since(now);
        let needed_ms = u64::try_from(needed.as_millis()).unwrap_or(u64::MAX / 4);
        let needed_ms = needed_ms + 1 + self.settings.grant_reuse_ms;
        SentAsk { number: self.last_ask, parts, needed_ms }
    }
}

fn return_to(id: &GrantId) -> PowerCommand {
    let message = PowerMessage::Return { grant: id.grant };
    PowerCommand::Send { to: id.giver.clone(), message }
}
