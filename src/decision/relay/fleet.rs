//! Backend servers known to a node.

use super::brittle::BrittleServices;
use super::choose::{MIN_CALLER_PATIENCE, OUTDATED_WEIGHTS_DEADLINE, PromptChoice};
use super::decode_rate::DecodeRate;
use super::departures::Departures;
use super::health::SilenceChange;
use super::prefill_rate::PrefillRate;
use super::prefix_index::PrefixIndex;
use super::server::{
    PendingPrefill, Server, ServerEntry, ServerLoad, ServerState, ServerUpdate, UpdateScope,
};
use super::server_limit::ServerLimits;
use super::store_link::StoreLink;
use crate::decision::leaving::LeavingNotice;
use crate::types::{
    AvailabilityZone, Incarnation, InstanceId, ModelId, ServerId, ServiceId, WeightsRevision,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum revisions of a model that are remembered; servers are never that far behind.
const MAX_REVISIONS: usize = 16;

/// Time for which outdated servers are used if the age of the newer weights is unknown.
const MAX_OUTDATED_PERIOD_AT_UNKNOWN_AGE: Duration = Duration::from_millis(2_500);

/// Announced revision of the weights of a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct AnnouncedRevision {
    revision: WeightsRevision,
    /// When this node learned of it.
    learned_at: Instant,
    /// When the last request must have begun on older weights.
    usable_until: Instant,
}

/// When weights may have been announced, as far as a node that has learned of them can tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncementPeriod {
    /// When the view of the announcements was last complete.
    pub announced_after: Instant,
    /// When the record store last failed a read of this node.
    pub store_failed_at: Option<Instant>,
}

impl AnnouncementPeriod {
    /// Returns when the last request must have begun on older weights. The bound does not count across a
    /// failure of the store, after which outdated servers are used as after a start.
    fn usable_until(self) -> Instant {
        let until = self.announced_after + OUTDATED_WEIGHTS_DEADLINE;
        let failed_at = self.store_failed_at.filter(|at| *at > self.announced_after);
        let allowance = MAX_OUTDATED_PERIOD_AT_UNKNOWN_AGE + MIN_CALLER_PATIENCE;
        failed_at.map_or(until, |failed_at| until.max(failed_at + allowance))
    }
}

/// Weights of a model that its servers should load.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightsTarget {
    /// Announced revisions, oldest first.
    revisions: Vec<AnnouncedRevision>,
}

impl WeightsTarget {
    /// Returns the newest revision, 0 if none was announced.
    pub fn revision(&self) -> WeightsRevision {
        self.revisions.last().map_or(0, |announced| announced.revision)
    }

    /// Returns since when a server that has loaded revision `loaded` is outdated, `None` if it is
    /// not.
    pub fn outdated_since(&self, loaded: WeightsRevision) -> Option<Instant> {
        self.first_after(loaded).map(|announced| announced.learned_at)
    }

    /// Returns when the last request must have begun on revision `loaded`, `None` if it is current.
    pub fn usable_until(&self, loaded: WeightsRevision) -> Option<Instant> {
        self.first_after(loaded).map(|announced| announced.usable_until)
    }

    fn record_suspension(&mut self, gap: Duration) {
        for announced in &mut self.revisions {
            announced.usable_until =
                announced.usable_until.checked_sub(gap).unwrap_or(announced.usable_until);
        }
    }

    fn first_after(&self, loaded: WeightsRevision) -> Option<&AnnouncedRevision> {
        self.revisions.iter().find(|announced| announced.revision > loaded)
    }

    fn add(&mut self, announced: AnnouncedRevision) -> bool {
        if announced.revision <= self.revision() {
            return false;
        }
        self.revisions.push(announced);
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
    /// Announced weights by model.
    pub(super) targets: BTreeMap<ModelId, WeightsTarget>,
    /// Tokens that the KV cache of one engine holds, by service.
    pub(super) kv_capacity_tokens: BTreeMap<ServiceId, u64>,
    /// Recently prefilled prefixes and where they are cached or stored.
    pub prefixes: PrefixIndex,
    /// Output token rate of decode-heavy requests.
    pub decode_rate: DecodeRate,
    /// Prefill rates by service.
    pub(super) prefill_rates: BTreeMap<ServiceId, PrefillRate>,
    /// Link to the external store of KV cache, `None` without a store or while it does not answer.
    pub kv_store: Option<StoreLink>,
    /// Servers that are known to be leaving.
    pub departures: Departures,
    /// Limits that servers have named.
    pub limits: ServerLimits,
    /// Services whose servers fall over if they reject too many requests.
    pub brittle: BrittleServices,
    /// Time that the reports of other nodes about servers take to arrive.
    report_delay: Duration,
}

impl Fleet {
    /// Returns an empty fleet for a node in `availability_zone`.
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            servers: BTreeMap::new(),
            targets: BTreeMap::new(),
            kv_capacity_tokens: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            decode_rate: DecodeRate::default(),
            prefill_rates: BTreeMap::new(),
            kv_store: None,
            departures: Departures::default(),
            limits: ServerLimits::default(),
            brittle: BrittleServices::default(),
            report_delay: Duration::ZERO,
        }
    }

    /// Returns the rate at which the engines of a service prefill.
    pub fn prefill_rate(&self, service: &ServiceId) -> PrefillRate {
        self.prefill_rates.get(service).copied().unwrap_or_default()
    }

    /// Learns from an answer that began `answer_ms` after the request was sent. Returns the rate of
    /// the service if it has changed much since it was last returned.
    pub fn learn_prefill_rate(
        &mut self,
        service: &ServiceId,
        choice: &PromptChoice,
        answer_ms: f64,
    ) -> Option<f64> {
        let rate = self.prefill_rates.entry(service.clone()).or_default();
        rate.add_answer(choice.tokens_before_answer, answer_ms - choice.expected_wait_ms)
    }

    /// Sets the time that the reports of other nodes about servers take to arrive.
    pub fn set_report_delay(&mut self, report_delay: Duration) {
        self.report_delay = report_delay;
        for server in self.servers.values_mut() {
            server.health.set_report_delay(report_delay);
        }
    }

    /// Adds a server or updates it with an entry from a restored copy of the server list, which may
    /// be older than what is known; returns whether it was used. An incarnation that is gone, or
    /// older than the known one, is ignored until it writes its entry again.
    pub fn set_restored_entry(&mut self, entry: ServerEntry) -> bool {
        let incarnation = entry.started_unix_ms.unwrap_or_default();
        let known = self.servers.get(&entry.id).map(Server::incarnation);
        let is_older = known.is_some_and(|known| incarnation < known);
        if is_older || self.departures.is_gone(&entry.id, incarnation) {
            return false;
        }
        self.set_entry(entry);
        true
    }

    /// Adds a server or updates it with its newest entry.
    pub fn set_entry(&mut self, entry: ServerEntry) {
        self.departures.remove_gone(&entry.id);
        if entry.state == ServerState::Draining {
            let incarnation = entry.started_unix_ms.unwrap_or_default();
            self.departures.add(&LeavingNotice { server: entry.id.clone(), incarnation });
        }
        match self.servers.get_mut(&entry.id) {
            Some(server) => server.update(entry),
            None => {
                let mut server = Server::new(entry);
                server.health.set_report_delay(self.report_delay);
                self.servers.insert(server.entry.id.clone(), server);
            }
        }
    }

    /// Sets whether this node has lost the servers of a service: what it leaves unanswered then says
    /// nothing about them.
    pub fn set_cut_off(&mut self, service: &ServiceId, is_cut_off: bool) {
        for server in self.servers.values_mut() {
            if server.entry.service == *service {
                server.health.set_cut_off(is_cut_off);
            }
        }
    }

    /// Returns the services of which this node may use no server, since they are brittle and others
    /// own them.
    pub fn unowned_services(&self, now: Instant) -> Vec<ServiceId> {
        let mut services = self.brittle.services(now);
        services.retain(|service| !self.owns_server(service, now));
        services
    }

    /// Whether this node may use a server of the service.
    pub fn owns_server(&self, service: &ServiceId, now: Instant) -> bool {
        let mut servers = self.servers.values().filter(|server| server.entry.service == *service);
        servers.any(|server| {
            self.is_in_service(server) && self.brittle.is_owner(service, &server.entry.id, now)
        })
    }

    /// Whether a server accepts requests, by its entry and all that is known of its leaving.
    pub fn is_in_service(&self, server: &Server) -> bool {
        server.entry.state == ServerState::Ready
            && !self.departures.contains(&server.entry.id, server.incarnation())
    }

    /// Marks the entry of a server as missing; a draining server is removed at once.
    pub fn remove_entry(&mut self, id: &ServerId, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if !server.mark_entry_missing(now) {
            self.servers.remove(id);
        }
    }

    /// Removes servers whose entries stayed missing for too long and returns them.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ServerId> {
        let expired: Vec<(ServerId, Incarnation)> = self
            .servers
            .values()
            .filter(|server| server.has_expired(now))
            .map(|server| (server.entry.id.clone(), server.incarnation()))
            .collect();
        for (id, incarnation) in &expired {
            self.servers.remove(id);
            self.departures.add_gone(id, *incarnation);
        }
        expired.into_iter().map(|(id, _)| id).collect()
    }

    /// Sets how many tokens the KV cache of each of a service's engines holds.
    pub fn set_kv_capacity(&mut self, service: ServiceId, tokens: u64) {
        self.kv_capacity_tokens.insert(service, tokens);
    }

    /// Records that `revision` of a model was announced in `period`; returns whether it is newer than the
    /// known ones. What is left of the time for outdated servers counts from the begin of that period: the
    /// news may have been on its way since.
    pub fn set_target(
        &mut self,
        model: ModelId,
        revision: WeightsRevision,
        period: AnnouncementPeriod,
        now: Instant,
    ) -> bool {
        let usable_until = period.usable_until();
        let announced = AnnouncedRevision { revision, learned_at: now, usable_until };
        self.targets.entry(model).or_default().add(announced)
    }

    /// Shortens the use of outdated weights by the time for which the machine was suspended, which the
    /// monotonic clock does not count.
    pub fn record_suspension(&mut self, gap: Duration) {
        for target in self.targets.values_mut() {
            target.record_suspension(gap);
        }
    }

    /// Returns the model and weights of a server that are outdated first, `None` if it has none.
    pub fn first_outdated_weights(&self, id: &ServerId) -> Option<(ModelId, WeightsRevision)> {
        let weights = self.servers.get(id)?.weights.iter();
        let first = weights.min_by_key(|(model, revision)| {
            let usable_until = self.weights_usable_until(model, **revision);
            (usable_until.is_none(), usable_until)
        });
        first.map(|(model, revision)| (model.clone(), *revision))
    }

    /// Returns when the last request must have begun on a revision of a model, `None` if it is current.
    pub fn weights_usable_until(
        &self,
        model: &ModelId,
        revision: WeightsRevision,
    ) -> Option<Instant> {
        self.targets.get(model)?.usable_until(revision)
    }

    /// Records a `revision` that was announced an unknown time ago, perhaps before `unknown_since`;
    /// returns whether it is newer than the known ones.
    ///
    /// Outdated servers are used for a short time after `unknown_since` only, since they may have
    /// been outdated for long. A node that has just started must count from its start: it may have
    /// learned of the weights late. A node whose view was complete before knows the `period`.
    pub fn set_target_of_unknown_age(
        &mut self,
        model: ModelId,
        revision: WeightsRevision,
        unknown_since: Instant,
        period: Option<AnnouncementPeriod>,
    ) -> bool {
        let allowance =
            OUTDATED_WEIGHTS_DEADLINE - MIN_CALLER_PATIENCE - MAX_OUTDATED_PERIOD_AT_UNKNOWN_AGE;
        let learned_at = unknown_since.checked_sub(allowance).unwrap_or(unknown_since);
        let usable_until = learned_at + OUTDATED_WEIGHTS_DEADLINE;
        let usable_until =
            period.map_or(usable_until, |period| usable_until.min(period.usable_until()));
        let announced = AnnouncedRevision { revision, learned_at, usable_until };
        self.targets.entry(model).or_default().add(announced)
    }

    /// Returns the weights that the servers should load, by model.
    pub fn targets(&self) -> &BTreeMap<ModelId, WeightsTarget> {
        &self.targets
    }

    /// Returns the server with `id`.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the server with `id` for changes.
    pub fn server_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Sets the weights that a server has loaded, as learned from an answer or a partner.
    pub fn set_weights(&mut self, id: &ServerId, model: &ModelId, revision: WeightsRevision) {
        if let Some(server) = self.servers.get_mut(id) {
            server.weights.insert(model.clone(), revision);
        }
    }

    /// Corrects the weights of a server that rejected a request for `believed`. If that revision is
    /// outdated, the server probably has the newest one; otherwise the weights of its last entry
    /// are assumed.
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

    /// Applies a partner's updates. With [`UpdateScope::AllServers`], servers not listed have no
    /// requests from that partner. Returns the servers that became silent or recovered.
    pub fn apply_updates(
        &mut self,
        partner: &InstanceId,
        updates: &[ServerUpdate],
        scope: UpdateScope,
        now: Instant,
    ) -> Vec<(ServerId, SilenceChange)> {
        let mut changes = Vec::new();
        let mut apply = |server: &mut Server, update: &ServerUpdate| {
            let change = server.apply_update(partner.clone(), update, scope, now);
            changes.extend(change.map(|change| (server.entry.id.clone(), change)));
        };
        match scope {
            UpdateScope::AllServers => {
                let by_server: BTreeMap<&ServerId, &ServerUpdate> =
                    updates.iter().map(|update| (&update.server, update)).collect();
                let unused = ServerUpdate::default();
                for server in self.servers.values_mut() {
                    let update = by_server.get(&server.entry.id).copied().unwrap_or(&unused);
                    apply(server, update);
                }
            }
            UpdateScope::Changes => {
                for update in updates {
                    if let Some(server) = self.servers.get_mut(&update.server) {
                        apply(server, update);
                    }
                }
            }
        }
        changes
    }

    /// Drops a partner's updates, since other partners cover its requests from now on.
    pub fn remove_partner(&mut self, partner: &InstanceId) {
        self.servers.values_mut().for_each(|server| server.remove_partner(partner));
        self.decode_rate.remove_partner(partner);
    }

    /// Returns the updates of this node alone, for servers with requests.
    pub fn local_updates(&self, now: Instant) -> Vec<ServerUpdate> {
        let used = self.servers.values().filter(|server| server.local_load.requests > 0);
        used.map(|server| server.local_update(now)).collect()
    }

    /// Records that a request with `load` is sent to a server.
    pub fn begin_request(&mut self, id: &ServerId, attempt: u64, load: ServerLoad, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.add_local_load(load, now);
            server.health.record_sent(attempt, now);
        }
    }

    /// Records the first answer to a request: the server has prefilled its prompt.
    pub fn finish_prefill(&mut self, id: &ServerId, attempt: u64, pending: PendingPrefill) {
        if let Some(server) = self.servers.get_mut(id) {
            server.local_load.pending_prefill.subtract(pending);
            server.health.clear_unanswered(attempt);
        }
    }

    /// Records that a request with `load` has ended.
    pub fn end_request(&mut self, id: &ServerId, attempt: u64, load: ServerLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.local_load.subtract(load);
            server.health.clear_unanswered(attempt);
        }
    }
}
