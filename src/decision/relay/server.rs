//! State of one backend server at a node.

use super::health::{Health, ServerContact, SilenceChange};
pub use super::server_load::{PendingPrefill, ServerLoad, ServerUpdate, UpdateScope};
use crate::types::{
    AvailabilityZone, Incarnation, InstanceId, ModelId, ServerId, ServiceId, SoftwareVersion,
    WeightsRevision,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::Display;

/// Time for which a server whose entry went missing without a drain still gets requests that no
/// other server can take: entries that expire during an outage of the server list are back within
/// two seconds.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_700);

/// Period at which a server is asked whether the process of its entry still runs.
const PROCESS_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time constant with which this node's recent requests stop indicating unreported ones of other
/// nodes, which send their loads several times within it.
const UNREPORTED_DECAY_PERIOD: Duration = Duration::from_millis(150);

/// Fraction of this node's recent prompt tokens that each other node is assumed to have sent too.
const UNREPORTED_FRACTION: f64 = 0.7;

/// Time after which a partner's update expires if its messages list all servers with requests.
const FULL_UPDATE_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time after which a partner's update expires if its messages list only changes.
const CHANGED_UPDATE_LIFETIME: Duration = Duration::from_secs(6);

/// Time for which a partner's report of unanswered requests is believed; it is repeated several
/// times in that time while they stay unanswered.
const UNANSWERED_REPORT_LIFETIME: Duration = Duration::from_millis(1_000);

/// Time after which a silent server is checked again.
const SILENCE_RECHECK_PERIOD: Duration = Duration::from_millis(500);

/// State that a server reports.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Leaving; accepts no new requests.
    Draining,
}

/// Entry that a server publishes about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// Id of the server.
    pub id: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: AvailabilityZone,
    /// Version of its software, not of weights. What two versions write of one stream does not fit
    /// together.
    pub software: SoftwareVersion,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// Start by the server's own clock, as a Unix time in milliseconds; distinguishes incarnations.
    pub started_unix_ms: Option<u64>,
    /// Revision of the loaded weights of each model.
    pub weights: BTreeMap<ModelId, WeightsRevision>,
}

/// Last update of a server from a partner.
#[derive(Clone, Copy, Debug)]
struct PartnerUpdate {
    load: ServerLoad,
    contact: ServerContact,
    /// Until when the report of unanswered requests is believed.
    unanswered_until: Instant,
    expires_at: Instant,
}

impl PartnerUpdate {
    /// Returns the contact with the server, without reports of unanswered requests that are too
    /// old.
    fn current_contact(&self, now: Instant) -> ServerContact {
        let unanswered_since =
            self.contact.unanswered_since.filter(|_| now < self.unanswered_until);
        ServerContact { unanswered_since, ..self.contact }
    }
}

/// State of a backend server at this node.
#[derive(Clone, Debug)]
pub struct Server {
    /// Newest entry of the server.
    pub entry: ServerEntry,
    /// Newest known weights, from entries, answers and partners.
    pub weights: BTreeMap<ModelId, WeightsRevision>,
    /// Health as this node estimates it.
    pub health: Health,
    /// Load of this node's requests.
    pub local_load: ServerLoad,
    /// Hash of the id for rendezvous hashing.
    pub id_hash: u64,
    partner_updates: BTreeMap<InstanceId, PartnerUpdate>,
    /// Prompt tokens of this node's recent requests, with exponential decay.
    recent_prompt_tokens: f64,
    /// Time up to which `recent_prompt_tokens` has decayed.
    recent_updated_at: Option<Instant>,
    /// When the server expires because its entry is missing, `None` while it has an entry.
    expires_at: Option<Instant>,
    /// End of the closure by a rollout.
    closed_until: Option<Instant>,
    /// Until when resumable streams must leave the server.
    evicted_until: Option<Instant>,
    /// End of the closure after the server rejected a request as full.
    full_until: Option<Instant>,
    /// End of the pause that the server has asked this node for.
    paused_until: Option<Instant>,
    /// When the process of the entry, which may have ended, is next asked; `None` if it runs.
    process_check_at: Option<Instant>,
}

impl Server {
    /// Returns a server with its first entry.
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            weights: entry.weights.clone(),
            id_hash: xxhash_rust::xxh3::xxh3_64(entry.id.as_bytes()),
            entry,
            health: Health::default(),
            local_load: ServerLoad::default(),
            partner_updates: BTreeMap::new(),
            recent_prompt_tokens: 0.0,
            recent_updated_at: None,
            expires_at: None,
            closed_until: None,
            evicted_until: None,
            full_until: None,
            paused_until: None,
            process_check_at: None,
        }
    }

    /// Whether the process of the entry may have ended, and another one may answer for the server.
    pub fn is_process_doubted(&self) -> bool {
        self.process_check_at.is_some()
    }

    /// Records that the server has cut a connection, or refused one.
    pub fn doubt_process(&mut self, now: Instant) {
        self.process_check_at.get_or_insert(now);
    }

    /// Whether the process must be asked now; it is not asked again for half a second.
    pub fn take_process_check(&mut self, now: Instant) -> bool {
        let is_due = self.process_check_at.is_some_and(|at| now >= at);
        if is_due {
            self.process_check_at = Some(now + PROCESS_CHECK_PERIOD);
        }
        is_due
    }

    /// Records that the process of an incarnation has answered.
    pub fn confirm_process(&mut self, incarnation: Incarnation, now: Instant) {
        if incarnation == self.incarnation() {
            self.process_check_at = None;
        } else {
            self.doubt_process(now);
        }
    }

    /// Returns the incarnation of the server, 0 if its entry does not tell.
    pub fn incarnation(&self) -> Incarnation {
        self.entry.started_unix_ms.unwrap_or_default()
    }

    /// Applies a newer entry; a new incarnation of the server starts open to requests, with the
    /// weights of its entry and without a health history.
    pub fn update(&mut self, entry: ServerEntry) {
        let is_same_incarnation = self.entry.started_unix_ms == entry.started_unix_ms
            && self.entry.address == entry.address;
        self.expires_at = None;
        if is_same_incarnation {
            for (model, revision) in &entry.weights {
                let known = self.weights.entry(model.clone()).or_default();
                *known = (*known).max(*revision);
            }
        } else {
            self.weights = entry.weights.clone();
            self.health = Health::new(self.health.report_delay());
            self.reopen();
            self.paused_until = None;
            self.process_check_at = None;
        }
        self.entry = entry;
    }

    /// Marks the entry as missing; returns whether the server stays usable for a while.
    pub fn mark_entry_missing(&mut self, now: Instant) -> bool {
        self.expires_at.get_or_insert(now + MISSING_ENTRY_GRACE);
        self.entry.state == ServerState::Ready
    }

    /// Whether the entry has been missing for too long.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|until| until <= now)
    }

    /// Whether the entry is missing.
    pub fn is_entry_missing(&self) -> bool {
        self.expires_at.is_some()
    }

    /// Closes the server to new requests until `until`, while it loads weights; with
    /// `evicts_streams` resumable streams must leave it.
    pub fn close_until(&mut self, until: Instant, evicts_streams: bool) {
        self.closed_until = Some(until);
        self.evicted_until = evicts_streams.then_some(until);
    }

    /// Whether resumable streams must leave the server.
    pub fn is_evicted(&self, now: Instant) -> bool {
        self.evicted_until.is_some_and(|until| now < until)
    }

    /// Opens the server to new requests.
    pub fn reopen(&mut self) {
        self.closed_until = None;
        self.evicted_until = None;
        self.full_until = None;
    }

    /// Opens a server that did not answer the coordinator of a rollout; it counts as unreachable,
    /// since requests would get no answer either.
    pub fn reopen_unresponsive(&mut self, now: Instant) {
        self.reopen();
        self.health.record_unreachable(now);
    }

    /// Closes the server to new requests until `until`, after it rejected one as full.
    pub fn set_full_until(&mut self, until: Instant) {
        self.full_until = Some(until);
    }

    /// Sends the server nothing from this node until `until`, since it asked for a pause.
    pub fn pause_until(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Returns until when the server wants nothing from this node, `None` if it asked for no pause.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns until when a rollout or a rejection closes the server, `None` if it is open.
    pub fn closed_until(&self, now: Instant) -> Option<Instant> {
        self.closed_until.max(self.full_until).filter(|until| now < *until)
    }

    /// Applies a partner's update; returns the change if the server became silent or recovered.
    pub fn apply_update(
        &mut self,
        partner: InstanceId,
        update: &ServerUpdate,
        scope: UpdateScope,
        now: Instant,
    ) -> Option<SilenceChange> {
        let lifetime = match scope {
            UpdateScope::AllServers => FULL_UPDATE_LIFETIME,
            UpdateScope::Changes => CHANGED_UPDATE_LIFETIME,
        };
        let update = PartnerUpdate {
            load: update.load,
            contact: update.contact(now),
            unanswered_until: now + UNANSWERED_REPORT_LIFETIME,
            expires_at: now + lifetime,
        };
        self.partner_updates.insert(partner, update);
        let others = self.partner_contact(None, now);
        self.health.update_silence(others, now)
    }

    /// Returns the combined update of this node and all partners except `except`.
    pub fn update_without(&self, except: Option<&InstanceId>, now: Instant) -> ServerUpdate {
        let mut contact = self.health.contact();
        contact.merge(self.partner_contact(except, now));
        self.build_update(self.load_without(except, now), contact, now)
    }

    /// Returns the update of this node alone.
    pub fn local_update(&self, now: Instant) -> ServerUpdate {
        self.build_update(self.local_load, self.health.contact(), now)
    }

    fn build_update(&self, load: ServerLoad, contact: ServerContact, now: Instant) -> ServerUpdate {
        let age_ms = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        ServerUpdate {
            server: self.entry.id.clone(),
            load,
            since_contact_ms: contact.last_contact_at.map(age_ms),
            unanswered_ms: contact.unanswered_since.map(age_ms),
        }
    }

    /// Whether the server has left requests of any node unanswered without contact for too long.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.health.is_silent(self.partner_contact(None, now), now)
    }

    /// Returns until when failed connections or silence suspend the server, `None` if it is usable.
    pub fn suspended_until(&self, now: Instant) -> Option<Instant> {
        let suspended = self.health.suspended_until(now);
        suspended.or_else(|| self.is_silent(now).then_some(now + SILENCE_RECHECK_PERIOD))
    }

    fn partner_contact(&self, except: Option<&InstanceId>, now: Instant) -> ServerContact {
        let mut contact = ServerContact::default();
        for (partner, update) in &self.partner_updates {
            if now < update.expires_at && Some(partner) != except {
                contact.merge(update.current_contact(now));
            }
        }
        contact
    }

    /// Returns when the server last sent anything to another node, as far as it is known.
    pub fn heard_by_others_at(&self, now: Instant) -> Option<Instant> {
        self.partner_contact(None, now).last_contact_at
    }

    /// Returns the contact of all nodes with the server.
    pub fn combined_contact(&self, now: Instant) -> ServerContact {
        let mut contact = self.health.contact();
        contact.merge(self.partner_contact(None, now));
        contact
    }

    /// Adds the load of a request that this node sends.
    pub fn add_local_load(&mut self, load: ServerLoad, now: Instant) {
        self.local_load.add(load);
        let tokens = load.pending_prefill.ahead_of(u8::MAX);
        self.recent_prompt_tokens = self.decayed_recent_tokens(now) + f64::from(tokens);
        self.recent_updated_at = Some(now);
    }

    /// Returns the prompt tokens that other nodes have probably sent without having reported them:
    /// they choose the same cheapest server at the same time.
    pub fn unreported_tokens(&self, now: Instant) -> f64 {
        let others = self.partner_updates.values().filter(|update| now < update.expires_at).count();
        self.decayed_recent_tokens(now) * others as f64 * UNREPORTED_FRACTION
    }

    fn decayed_recent_tokens(&self, now: Instant) -> f64 {
        let Some(recent_updated_at) = self.recent_updated_at else { return 0.0 };
        let age = now.saturating_duration_since(recent_updated_at);
        self.recent_prompt_tokens
            * (-age.as_secs_f64() / UNREPORTED_DECAY_PERIOD.as_secs_f64()).exp()
    }

    /// Drops a partner's update.
    pub fn remove_partner(&mut self, partner: &InstanceId) {
        self.partner_updates.remove(partner);
    }

    /// Returns the known load of all nodes.
    pub fn total_load(&self, now: Instant) -> ServerLoad {
        self.load_without(None, now)
    }

    /// Returns the load of this node and all partners except `except`.
    pub fn load_without(&self, except: Option<&InstanceId>, now: Instant) -> ServerLoad {
        let mut total = self.local_load;
        for (partner, update) in &self.partner_updates {
            if now < update.expires_at && Some(partner) != except {
                total.add(update.load);
            }
        }
        total
    }
}
