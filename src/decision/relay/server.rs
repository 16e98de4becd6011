//! Backend server as a node sees it.

use super::health::{Health, ServerContact, SilenceChange};
use crate::types::{AvailabilityZone, InstanceId, ModelId, ServerId, ServiceId, WeightsRevision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::Display;

/// Time for which a server whose entry vanished without notice still gets requests that no other
/// server can take: entries that lapse in an outage of the list are back within two seconds.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_700);

/// Time after which a partner's count shows what this node's requests went along with: nodes tell
/// their loads several times as often as that.
const UNREPORTED_DECAY_PERIOD: Duration = Duration::from_millis(150);

/// Part of this node's newest requests that each other node is taken to have sent as well.
const UNREPORTED_FRACTION: f64 = 0.7;

/// Time for which a partner's count of its requests holds.
const PARTNER_UPDATE_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time after which a silent server is looked at again.
const SILENCE_RECHECK_PERIOD: Duration = Duration::from_millis(500);

/// State that a server reports of itself.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Is leaving and takes no new requests.
    Draining,
}

/// What a server reports of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// Id.
    pub id: ServerId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: ServerState,
    /// Start by its own clock, as a Unix time in milliseconds; tells runs under one id apart.
    pub started_unix_ms: Option<u64>,
    /// Weights that it holds.
    pub weights: BTreeMap<ModelId, WeightsRevision>,
}

/// Priorities that are told apart; lower ones count as the last.
const PRIORITY_LEVELS: usize = 4;

/// Prompt tokens that are not read yet, by the priority of their requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnreadTokens([u32; PRIORITY_LEVELS]);

impl UnreadTokens {
    /// Returns the tokens of one request.
    pub fn new(priority: u8, tokens: u32) -> Self {
        let mut all = [0; PRIORITY_LEVELS];
        all[usize::from(priority).min(PRIORITY_LEVELS - 1)] = tokens;
        Self(all)
    }

    /// Returns the tokens that are read before those of a new request of `priority`.
    pub fn ahead_of(&self, priority: u8) -> u32 {
        self.0.iter().take(usize::from(priority) + 1).sum()
    }

    fn add(&mut self, other: Self) {
        self.0.iter_mut().zip(other.0).for_each(|(own, other)| *own = own.saturating_add(other));
    }

    /// Takes tokens out that are read by now.
    pub fn subtract(&mut self, other: Self) {
        self.0.iter_mut().zip(other.0).for_each(|(own, other)| *own = own.saturating_sub(other));
    }
}

/// Load of a server as it goes between nodes, without the names of its fields: requests, long runs,
/// unread tokens, memory tokens.
type PackedLoad = (u32, u32, UnreadTokens, u64);

/// Requests at a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PackedLoad", into = "PackedLoad")]
pub struct ServerLoad {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Long runs among them.
    pub long_runs: u32,
    /// Prompt tokens that are not read yet, by priority.
    pub unread_tokens: UnreadTokens,
    /// Tokens that the requests keep in memory.
    pub memory_tokens: u64,
}

impl From<PackedLoad> for ServerLoad {
    fn from((requests, long_runs, unread_tokens, memory_tokens): PackedLoad) -> Self {
        Self { requests, long_runs, unread_tokens, memory_tokens }
    }
}

impl From<ServerLoad> for PackedLoad {
    fn from(load: ServerLoad) -> Self {
        (load.requests, load.long_runs, load.unread_tokens, load.memory_tokens)
    }
}

impl ServerLoad {
    pub(super) fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.long_runs += other.long_runs;
        self.unread_tokens.add(other.unread_tokens);
        self.memory_tokens += other.memory_tokens;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.long_runs = self.long_runs.saturating_sub(other.long_runs);
        self.unread_tokens.subtract(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// What a node tells of a server, for itself and the nodes for which it speaks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PackedNews", into = "PackedNews")]
pub struct ServerUpdate {
    /// Server.
    pub server: ServerId,
    /// Requests at the server.
    pub load: ServerLoad,
    /// Milliseconds since the server was heard, none if it never was.
    pub heard_ms: Option<u32>,
    /// Milliseconds for which the oldest unanswered request has waited, none if there is none.
    pub awaited_ms: Option<u32>,
}

/// News as they go between nodes, without the names of their fields.
type PackedNews = (ServerId, ServerLoad, Option<u32>, Option<u32>);

impl From<PackedNews> for ServerUpdate {
    fn from((server, load, heard_ms, awaited_ms): PackedNews) -> Self {
        Self { server, load, heard_ms, awaited_ms }
    }
}

impl From<ServerUpdate> for PackedNews {
    fn from(update: ServerUpdate) -> Self {
        (update.server, update.load, update.heard_ms, update.awaited_ms)
    }
}

impl ServerUpdate {
    fn contact(&self, now: Instant) -> ServerContact {
        let since = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        ServerContact {
            last_contact_at: self.heard_ms.and_then(since),
            unanswered_since: self.awaited_ms.and_then(since),
        }
    }
}

/// What a partner told of a server.
#[derive(Clone, Copy, Debug)]
struct PartnerUpdate {
    load: ServerLoad,
    contact: ServerContact,
    expires_at: Instant,
}

/// Backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Last report of the server.
    pub entry: ServerEntry,
    /// Newest weights known, from reports, answers and partners.
    pub weights: BTreeMap<ModelId, WeightsRevision>,
    /// Health.
    pub health: Health,
    /// Requests of this node.
    pub local_load: ServerLoad,
    /// Hash of the id, for rendezvous.
    pub id_hash: u64,
    partner_updates: BTreeMap<InstanceId, PartnerUpdate>,
    recent_tokens: f64,
    recent_at: Option<Instant>,
    expires_at: Option<Instant>,
    closed_until: Option<Instant>,
    evicted_until: Option<Instant>,
    full_until: Option<Instant>,
}

impl Server {
    /// Returns a server with its first report.
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            weights: entry.weights.clone(),
            id_hash: xxhash_rust::xxh3::xxh3_64(entry.id.as_bytes()),
            entry,
            health: Health::default(),
            local_load: ServerLoad::default(),
            partner_updates: BTreeMap::new(),
            recent_tokens: 0.0,
            recent_at: None,
            expires_at: None,
            closed_until: None,
            evicted_until: None,
            full_until: None,
        }
    }

    /// Takes in a later report; a new run of the server starts without what was known.
    pub fn update(&mut self, entry: ServerEntry) {
        let is_same_run = self.entry.started_unix_ms == entry.started_unix_ms
            && self.entry.address == entry.address;
        self.expires_at = None;
        if is_same_run {
            for (model, revision) in &entry.weights {
                let known = self.weights.entry(model.clone()).or_default();
                *known = (*known).max(*revision);
            }
        } else {
            self.weights = entry.weights.clone();
            self.health = Health::default();
            self.closed_until = None;
            self.full_until = None;
        }
        self.entry = entry;
    }

    /// Takes in that the server's entry vanished; returns whether it is kept for a while.
    pub fn mark_entry_missing(&mut self, now: Instant) -> bool {
        self.expires_at.get_or_insert(now + MISSING_ENTRY_GRACE);
        self.entry.state == ServerState::Ready
    }

    /// Whether the entry vanished and has not come back in time.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|until| until <= now)
    }

    /// Whether the entry has vanished.
    pub fn is_entry_missing(&self) -> bool {
        self.expires_at.is_some()
    }

    /// Keeps new requests away until `until`, while the server changes its weights; `evicts` takes
    /// streams that can go on elsewhere off it.
    pub fn close_until(&mut self, until: Instant, evicts: bool) {
        self.closed_until = Some(until);
        self.evicted_until = evicts.then_some(until);
    }

    /// Whether streams that can go on elsewhere are to leave the server.
    pub fn is_evicted(&self, now: Instant) -> bool {
        self.evicted_until.is_some_and(|until| now < until)
    }

    /// Lets new requests through again.
    pub fn reopen(&mut self) {
        self.closed_until = None;
        self.evicted_until = None;
        self.full_until = None;
    }

    /// Opens a server that did not answer the coordinator of a rollout; it counts as unreachable, since
    /// requests would get no answer either.
    pub fn reopen_unresponsive(&mut self, now: Instant) {
        self.reopen();
        self.health.record_unreachable(now);
    }

    /// Keeps new requests away until `until`, after the server rejected one as full.
    pub fn set_full_until(&mut self, until: Instant) {
        self.full_until = Some(until);
    }

    /// Whether a rollout or a rejection keeps new requests away; returns until when.
    pub fn closed_until(&self, now: Instant) -> Option<Instant> {
        self.closed_until.max(self.full_until).filter(|until| now < *until)
    }

    /// Takes in what a partner tells; returns what that changes about the server's silence.
    pub fn apply_update(
        &mut self,
        partner: InstanceId,
        update: &ServerUpdate,
        now: Instant,
    ) -> Option<SilenceChange> {
        let expires_at = now + PARTNER_UPDATE_LIFETIME;
        self.partner_updates.insert(
            partner,
            PartnerUpdate { load: update.load, contact: update.contact(now), expires_at },
        );
        let others = self.partner_contact(None, now);
        self.health.update_silence(others, now)
    }

    /// Returns what this node and all partners but `except` know.
    pub fn update_without(&self, except: Option<&InstanceId>, now: Instant) -> ServerUpdate {
        let mut contact = self.health.contact();
        contact.merge(self.partner_contact(except, now));
        self.build_update(self.load_without(except, now), contact, now)
    }

    /// Returns what this node alone knows.
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
            heard_ms: contact.last_contact_at.map(age_ms),
            awaited_ms: contact.unanswered_since.map(age_ms),
        }
    }

    /// Whether the server owes answers, to this node or others, and has fallen silent.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.health.is_silent(self.partner_contact(None, now), now)
    }

    /// Returns until when the server's health keeps new requests away.
    pub fn suspended_until(&self, now: Instant) -> Option<Instant> {
        let suspended = self.health.suspended_until(now);
        suspended.or_else(|| self.is_silent(now).then_some(now + SILENCE_RECHECK_PERIOD))
    }

    fn partner_contact(&self, except: Option<&InstanceId>, now: Instant) -> ServerContact {
        let mut contact = ServerContact::default();
        for (partner, update) in &self.partner_updates {
            if now < update.expires_at && Some(partner) != except {
                contact.merge(update.contact);
            }
        }
        contact
    }

    /// Takes in that this node sends a request.
    pub fn add_local_load(&mut self, load: ServerLoad, now: Instant) {
        self.local_load.add(load);
        let tokens = load.unread_tokens.ahead_of(u8::MAX);
        self.recent_tokens = self.decayed_recent_tokens(now) + f64::from(tokens);
        self.recent_at = Some(now);
    }

    /// Returns the tokens that other nodes have probably sent to this server besides what they
    /// told: they see the same server as the best one at the same time.
    pub fn unreported_tokens(&self, now: Instant) -> f64 {
        let others = self.partner_updates.values().filter(|update| now < update.expires_at).count();
        self.decayed_recent_tokens(now) * others as f64 * UNREPORTED_FRACTION
    }

    fn decayed_recent_tokens(&self, now: Instant) -> f64 {
        let Some(recent_at) = self.recent_at else { return 0.0 };
        let age = now.saturating_duration_since(recent_at);
        self.recent_tokens * (-age.as_secs_f64() / UNREPORTED_DECAY_PERIOD.as_secs_f64()).exp()
    }

    /// Drops what a partner told of its requests.
    pub fn remove_partner(&mut self, partner: &InstanceId) {
        self.partner_updates.remove(partner);
    }

    /// Returns the load of all nodes as far as it is known.
    pub fn total_load(&self, now: Instant) -> ServerLoad {
        self.load_without(None, now)
    }

    /// Returns the load of this node and of what all partners but `except` told.
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
