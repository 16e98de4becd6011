//! All backend servers as a node knows them.

use super::choose::OLD_WEIGHTS_LIMIT;
use super::health::SilenceChange;
use super::kept_prefixes::KeptPrefixes;
use super::long_tokens::LongTokens;
use super::server::{Server, ServerEntry, ServerLoad, ServerNews, UnreadTokens};
use super::store_link::StoreLink;
use crate::types::{AvailabilityZone, InstanceId, ModelId, ServerId, ServiceId, WeightsRevision};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Revisions of a model's weights that are remembered; servers are never that far behind.
const MOST_REVISIONS: usize = 16;

/// Time for which servers with older weights are used if it is unknown when newer ones were named.
const UNKNOWN_AGE_LIMIT: Duration = Duration::from_millis(3_000);

/// Weights of a model that the servers are to have.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightsTarget {
    /// Revisions with the times at which this node learned of them, oldest first.
    named: Vec<(WeightsRevision, Instant)>,
}

impl WeightsTarget {
    /// Returns the newest revision, 0 if none was named.
    pub fn revision(&self) -> WeightsRevision {
        self.named.last().map_or(0, |(revision, _)| *revision)
    }

    /// Returns since when a server with `held` has been outdated, none if it is not.
    pub fn outdated_since(&self, held: WeightsRevision) -> Option<Instant> {
        self.named.iter().find(|(revision, _)| *revision > held).map(|(_, known_at)| *known_at)
    }

    fn name(&mut self, revision: WeightsRevision, now: Instant) -> bool {
        if revision <= self.revision() {
            return false;
        }
        self.named.push((revision, now));
        if self.named.len() > MOST_REVISIONS {
            self.named.remove(0);
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
    pub kept: KeptPrefixes,
    /// Rate of the output tokens of long runs.
    pub long_tokens: LongTokens,
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
            kept: KeptPrefixes::default(),
            long_tokens: LongTokens::default(),
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
        if !server.vanish(now) {
            self.servers.remove(id);
        }
    }

    /// Drops servers whose entries vanished and did not come back.
    pub fn drop_gone(&mut self, now: Instant) -> Vec<ServerId> {
        let gone: Vec<ServerId> = self
            .servers
            .values()
            .filter(|server| server.is_gone(now))
            .map(|s| s.entry.id.clone())
            .collect();
        gone.iter().for_each(|id| {
            self.servers.remove(id);
        });
        gone
    }

    /// Sets the memory of a service's engines.
    pub fn set_kv_capacity(&mut self, service: ServiceId, tokens: u64) {
        self.kv_capacity_tokens.insert(service, tokens);
    }

    /// Takes in that `revision` of a model's weights was named just now; returns whether it is news.
    pub fn set_target(&mut self, model: ModelId, revision: WeightsRevision, now: Instant) -> bool {
        self.targets.entry(model).or_default().name(revision, now)
    }

    /// Takes in a `revision` that was named some unknown time ago; servers with older weights are
    /// used for a short time only, since they may have been outdated for long.
    pub fn set_earlier_target(
        &mut self,
        model: ModelId,
        revision: WeightsRevision,
        now: Instant,
    ) -> bool {
        let allowance = OLD_WEIGHTS_LIMIT.saturating_sub(UNKNOWN_AGE_LIMIT);
        let named_at = now.checked_sub(allowance).unwrap_or(now);
        self.targets.entry(model).or_default().name(revision, named_at)
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
    pub fn note_other_weights(
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
    pub fn set_told(
        &mut self,
        partner: &InstanceId,
        news: &[ServerNews],
        now: Instant,
    ) -> Vec<(ServerId, SilenceChange)> {
        let told: BTreeMap<&ServerId, &ServerNews> =
            news.iter().map(|news| (&news.server, news)).collect();
        let none = ServerNews::default();
        let mut changes = Vec::new();
        for server in self.servers.values_mut() {
            let news = told.get(&server.entry.id).copied().unwrap_or(&none);
            let change = server.set_told(partner.clone(), news, now);
            changes.extend(change.map(|change| (server.entry.id.clone(), change)));
        }
        changes
    }

    /// Drops what a partner told, which other partners tell from now on.
    pub fn forget_partner(&mut self, partner: &InstanceId) {
        self.servers.values_mut().for_each(|server| server.forget_partner(partner));
        self.long_tokens.forget_partner(partner);
    }

    /// Returns what this node and all partners but `except` know of the servers in use.
    pub fn news_without(&self, except: &InstanceId, now: Instant) -> Vec<ServerNews> {
        let news = self.servers.values().map(|server| server.news_without(Some(except), now));
        news.filter(|news| news.load.requests > 0).collect()
    }

    /// Returns what this node alone knows of the servers that it uses.
    pub fn own_news(&self, now: Instant) -> Vec<ServerNews> {
        let used = self.servers.values().filter(|server| server.own_load.requests > 0);
        used.map(|server| server.own_news(now)).collect()
    }

    /// Takes in that a request with `load` is sent to a server.
    pub fn begin(&mut self, id: &ServerId, attempt: u64, load: ServerLoad, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.add_own(load, now);
            server.health.note_sent(attempt, now);
        }
    }

    /// Takes in that a server has read the prompt of a request.
    pub fn note_first_answer(&mut self, id: &ServerId, attempt: u64, unread: UnreadTokens) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_load.unread_tokens.subtract(unread);
            server.health.note_ended(attempt);
        }
    }

    /// Takes in that a request with `load` has ended.
    pub fn end(&mut self, id: &ServerId, attempt: u64, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_load.subtract(load);
            server.health.note_ended(attempt);
        }
    }
}
