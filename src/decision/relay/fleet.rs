//! All backend servers as a node knows them.

use super::choose::MAX_OUTDATED_WEIGHTS_PERIOD;
use super::decode_rate::DecodeRate;
use super::health::SilenceChange;
use super::prefix_index::PrefixIndex;
use super::server::{Server, ServerEntry, ServerLoad, ServerUpdate, UnreadTokens};
use super::store_link::StoreLink;
use crate::types::{AvailabilityZone, InstanceId, ModelId, ServerId, ServiceId, WeightsRevision};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Revisions of a model's weights that are remembered; servers are never that far behind.
const MAX_REVISIONS: usize = 16;

/// Time for which servers with older weights are used if it is unknown when newer ones were named.
const MAX_UNKNOWN_AGE_PERIOD: Duration = Duration::from_millis(3_000);

/// Weights of a model that the servers are to have.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightsTarget {
    /// Revisions with the times at which this node learned of them, oldest first.
    revisions: Vec<(WeightsRevision, Instant)>,
}

impl WeightsTarget {
    /// Returns the newest revision, 0 if none was named.
    pub fn revision(&self) -> WeightsRevision {
        self.revisions.last().map_or(0, |(revision, _)| *revision)
    }

    /// Returns since when a server with `held` has been outdated, none if it is not.
    pub fn outdated_since(&self, held: WeightsRevision) -> Option<Instant> {
        self.revisions.iter().find(|(revision, _)| *revision > held).map(|(_, known_at)| *known_at)
    }

    fn add(&mut self, revision: WeightsRevision, now: Instant) -> bool {
        if revision <= self.revision() {
            return false;
        }
        self.revisions.push((revision, now));
        if self.revisions.len() > MAX_REVISIONS {
            self.revisions.remove(0);
        }
        true
    }
}

/// Backend servers known to a node.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(super) availability_zone: AvailabilityZone,
    pub(super) servers: BTreeMap<ServerId, Server>,
    pub(super) targets: BTreeMap<ModelId, WeightsTarget>,
    pub(super) kv_capacity_tokens: BTreeMap<ServiceId, u64>,
    /// Prefixes that were read lately.
    pub prefixes: PrefixIndex,
    /// Rate of the output tokens of long runs.
    pub decode_rate: DecodeRate,
    /// Link of the store of kept KV cache, while the store answers.
    pub kv_store: Option<StoreLink>,
}

impl Fleet {
    /// Returns the empty fleet of a node in `availability_zone`.
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            servers: BTreeMap::new(),
            targets: BTreeMap::new(),
            kv_capacity_tokens: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            decode_rate: DecodeRate::default(),
            kv_store: None,
        }
    }

    /// Takes in a server's report.
    pub fn set_entry(&mut self, entry: ServerEntry) {
        match self.servers.get_mut(&entry.id) {
            Some(server) => server.update(entry),
            None => {
                self.servers.insert(entry.id.clone(), Server::new(entry));
            }
        }
    }

    /// Takes in that a server's entry vanished.
    pub fn remove_entry(&mut self, id: &ServerId, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if !server.mark_entry_missing(now) {
            self.servers.remove(id);
        }
    }

    /// Drops servers whose entries vanished and did not come back.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ServerId> {
        let expired: Vec<ServerId> = self
            .servers
            .values()
            .filter(|server| server.has_expired(now))
            .map(|s| s.entry.id.clone())
            .collect();
        expired.iter().for_each(|id| {
            self.servers.remove(id);
        });
        expired
    }

    /// Sets the memory of a service's engines.
    pub fn set_kv_capacity(&mut self, service: ServiceId, tokens: u64) {
        self.kv_capacity_tokens.insert(service, tokens);
    }

    /// Takes in that `revision` of a model's weights was named just now; returns whether it is news.
    pub fn set_target(&mut self, model: ModelId, revision: WeightsRevision, now: Instant) -> bool {
        self.targets.entry(model).or_default().add(revision, now)
    }

    /// Takes in a `revision` that was named some unknown time ago; servers with older weights are
    /// used for a short time only, since they may have been outdated for long.
    pub fn set_target_of_unknown_age(
        &mut self,
        model: ModelId,
        revision: WeightsRevision,
        now: Instant,
    ) -> bool {
        let allowance = MAX_OUTDATED_WEIGHTS_PERIOD.saturating_sub(MAX_UNKNOWN_AGE_PERIOD);
        let named_at = now.checked_sub(allowance).unwrap_or(now);
        self.targets.entry(model).or_default().add(revision, named_at)
    }

    /// Returns the weights that the servers are to have.
    pub fn targets(&self) -> &BTreeMap<ModelId, WeightsTarget> {
        &self.targets
    }

    /// Returns the server with `id`.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the server with `id`, to change it.
    pub fn server_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Takes in the weights that a server holds, as learned from an answer or a partner.
    pub fn set_weights(&mut self, id: &ServerId, model: &ModelId, revision: WeightsRevision) {
        if let Some(server) = self.servers.get_mut(id) {
            server.weights.insert(model.clone(), revision);
        }
    }

    /// Takes in that a server does not hold `believed`. If that is outdated it probably holds the
    /// newest; otherwise its next report tells.
    pub fn record_weights_mismatch(
        &mut self,
        id: &ServerId,
        model: &ModelId,
        believed: WeightsRevision,
    ) {
        let newest = self.targets.get(model).map_or(0, WeightsTarget::revision);
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.weights.get(model) != Some(&believed) {
            return;
        }
        let reported = server.entry.weights.get(model).copied().unwrap_or_default();
        let probable = if believed < newest { newest } else { reported };
        server.weights.insert(model.clone(), probable);
    }

    /// Takes in what a partner tells of the servers; at those not named it has nothing. Returns the
    /// servers that fell silent or were heard again by that.
    pub fn apply_updates(
        &mut self,
        partner: &InstanceId,
        news: &[ServerUpdate],
        now: Instant,
    ) -> Vec<(ServerId, SilenceChange)> {
        let told: BTreeMap<&ServerId, &ServerUpdate> =
            news.iter().map(|news| (&news.server, news)).collect();
        let empty = ServerUpdate::default();
        let mut changes = Vec::new();
        for server in self.servers.values_mut() {
            let news = told.get(&server.entry.id).copied().unwrap_or(&empty);
            let change = server.apply_update(partner.clone(), news, now);
            changes.extend(change.map(|change| (server.entry.id.clone(), change)));
        }
        changes
    }

    /// Drops what a partner told, which other partners tell from now on.
    pub fn remove_partner(&mut self, partner: &InstanceId) {
        self.servers.values_mut().for_each(|server| server.remove_partner(partner));
        self.decode_rate.remove_partner(partner);
    }

    /// Returns what this node and all partners but `except` know of the servers in use.
    pub fn updates_without(&self, except: &InstanceId, now: Instant) -> Vec<ServerUpdate> {
        let news = self.servers.values().map(|server| server.update_without(Some(except), now));
        news.filter(|news| news.load.requests > 0).collect()
    }

    /// Returns what this node alone knows of the servers that it uses.
    pub fn local_updates(&self, now: Instant) -> Vec<ServerUpdate> {
        let used = self.servers.values().filter(|server| server.local_load.requests > 0);
        used.map(|server| server.local_update(now)).collect()
    }

    /// Takes in that a request with `load` is sent to a server.
    pub fn begin_request(&mut self, id: &ServerId, attempt: u64, load: ServerLoad, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.add_local_load(load, now);
            server.health.record_sent(attempt, now);
        }
    }

    /// Takes in that a server has read the prompt of a request.
    pub fn finish_prefill(&mut self, id: &ServerId, attempt: u64, unread: UnreadTokens) {
        if let Some(server) = self.servers.get_mut(id) {
            server.local_load.unread_tokens.subtract(unread);
            server.health.clear_unanswered(attempt);
        }
    }

    /// Takes in that a request with `load` has ended.
    pub fn end_request(&mut self, id: &ServerId, attempt: u64, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.local_load.subtract(load);
            server.health.clear_unanswered(attempt);
        }
    }
}
