//! Applies records of operators and servers, from the store and from partners, to the state that
//! traffic uses.

use super::state::ControlState;
use crate::adapters::http_server::ListenerLimits;
use crate::decision::relay::configuration::{CallerLimits, MAX_PERIOD_MS};
use crate::decision::relay::fleet::AnnouncementPeriod;
use crate::decision::relay::replica::TopicListing;
use crate::decision::relay::{Configuration, KeyedRecord, RecordTopic};
use crate::ports::OperatorRecord;
use crate::types::{InstanceId, LogPosition, log_position};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;
use strum::Display;

/// Milliseconds beyond the longer of the configured idle and head timeouts for which a connection
/// waits for a request head.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Where a record came from.
#[derive(Clone, Debug, Display)]
pub(super) enum RecordSource {
    /// Listing of the store; the record may be old.
    #[strum(to_string = "listing")]
    Listing,
    /// Copy from which the store was restored, listed by this node or a partner; the record may be
    /// older than what is known.
    #[strum(to_string = "restored")]
    Restored,
    /// Read from the store soon after it was written.
    #[strum(to_string = "store")]
    Store,
    /// Full copy from a partner; the record may be old.
    #[strum(to_string = "copy-of-{0}")]
    Copy(InstanceId),
    /// Update from a partner soon after it was written.
    #[strum(to_string = "{0}")]
    Partner(InstanceId),
}

impl RecordSource {
    /// Whether the record may be old.
    fn is_age_unknown(&self) -> bool {
        matches!(self, Self::Listing | Self::Restored | Self::Copy(_))
    }
}

impl ControlState {
    /// Applies a listing of a topic.
    pub(super) fn apply_listing(
        &mut self,
        topic: RecordTopic,
        listing: TopicListing,
        now: Instant,
    ) {
        log::info!(
            "event=topic_listed topic={topic} records={} end={}",
            listing.records.len(),
            listing.end
        );
        let source = if self.replica.is_restored_by(topic, listing.end) {
            RecordSource::Restored
        } else {
            RecordSource::Listing
        };
        let updates = self.replica.apply_listing(topic, listing);
        self.apply_updates(&updates, &source, now);
        self.catch_up(topic);
        self.mark_servers_listed();
    }

    /// Applies records that follow a known position.
    pub(super) fn apply_records(
        &mut self,
        topic: RecordTopic,
        records: Vec<KeyedRecord>,
        next_position: LogPosition,
        now: Instant,
    ) {
        let updates = self.replica.apply_records(topic, records, next_position);
        self.apply_updates(&updates, &RecordSource::Store, now);
        self.catch_up(topic);
    }

    /// Records how far this node knows a topic, after its records were put in force.
    pub(super) fn catch_up(&self, topic: RecordTopic) {
        let known = self.replica.known_below(topic);
        self.read_schedule.borrow_mut().catch_up(topic, known);
        self.publish_outdated_period();
    }

    /// Lets the traffic thread know whether the configuration in force is outdated.
    pub(super) fn publish_outdated_period(&self) {
        let period = self.read_schedule.borrow().outdated_period(RecordTopic::Operator);
        if period.is_some() || self.context.outdated_period.load().is_some() {
            self.context.outdated_period.store(period.map(Arc::new));
        }
    }

    /// Marks the list of servers as known once the replica has it.
    pub(super) fn mark_servers_listed(&self) {
        if self.replica.known_below(RecordTopic::Servers).is_some() {
            self.context.has_server_list.store(true, Ordering::Release);
        }
    }

    /// Applies records that are newer than the known ones.
    pub(super) fn apply_updates(
        &mut self,
        updates: &[KeyedRecord],
        source: &RecordSource,
        now: Instant,
    ) {
        let Some(topic) = updates.first().map(|record| record.topic) else { return };
        self.announce_records(topic, now);
        for record in updates {
            match (record.topic, &record.value) {
                (RecordTopic::Operator, Some(value)) => {
                    self.apply_operator_record(record, value, source, now);
                }
                (RecordTopic::Operator, None) => {
                    log::info!(
                        "event=operator_record_deleted key={} source={source}",
                        record.key.escape_debug()
                    );
                }
                (RecordTopic::Servers, Some(value)) => {
                    self.apply_server_record(record, value, source, now);
                }
                (RecordTopic::Servers, None) => {
                    log::info!(
                        "event=server_entry_gone server={} offset={} source={source}",
                        record.key.escape_debug(),
                        log_position::offset(record.position)
                    );
                    self.context.fleet().remove_entry(&record.key, now);
                }
            }
        }
        let servers = self.context.fleet().servers().count();
        self.context.metrics.servers.set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    fn apply_operator_record(
        &mut self,
        record: &KeyedRecord,
        value: &Bytes,
        source: &RecordSource,
        now: Instant,
    ) {
        let KeyedRecord { key, position, .. } = record;
        let offset = log_position::offset(*position);
        match self.context.ports.dialect.read_operator_record(key, value) {
            Ok(OperatorRecord::Configuration(configuration)) => {
                self.apply_configuration(*configuration, offset, source);
                let heard_at = self.read_schedule.borrow().behind_since(RecordTopic::Operator);
                log::info!(
                    "event=configuration_applied offset={offset} bytes={} decode_ms={} \
                     announced_ms={}",
                    value.len(),
                    now.elapsed().as_millis(),
                    heard_at.map_or(0, |at| at.elapsed().as_millis())
                );
            }
            Ok(OperatorRecord::Weights { model, revision }) => {
                let schedule = self.read_schedule.borrow();
                let age = schedule.age(RecordTopic::Operator, now);
                let period = age.and_then(|age| now.checked_sub(age)).map(|announced_after| {
                    let store_failed_at = schedule.last_failed_at(RecordTopic::Operator);
                    AnnouncementPeriod { announced_after, store_failed_at }
                });
                drop(schedule);
                let mut fleet = self.context.fleet();
                let is_new_target = match period {
                    Some(period) if !source.is_age_unknown() => {
                        fleet.set_target(model.clone(), revision, period, now)
                    }
                    period => {
                        let unknown_since = if period.is_some() { now } else { self.started_at };
                        let model = model.clone();
                        fleet.set_target_of_unknown_age(model, revision, unknown_since, period)
                    }
                };
                drop(fleet);
                if is_new_target {
                    log::info!(
                        "event=weights_named model={model} revision={revision} offset={offset} \
                         source={source} view_age_ms={}",
                        age.unwrap_or_default().as_millis()
                    );
                    self.targets.insert(model, revision);
                }
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => log::warn!(
                "event=operator_record_unreadable key={} offset={offset} error=\"{error:#}\"",
                key.escape_debug()
            ),
        }
    }

    /// Puts a configuration in force unless the current one is as new.
    fn apply_configuration(
        &mut self,
        configuration: Configuration,
        offset: u64,
        source: &RecordSource,
    ) {
        let revision = configuration.revision;
        let current = self.context.configuration.load().as_ref().map(|current| current.revision);
        if current >= Some(revision) {
            log::warn!(
                "event=configuration_ignored revision={revision} offset={offset} reason=older"
            );
            return;
        }
        log::info!(
            "event=configuration_in_force revision={revision} offset={offset} source={source} \
             routes={} services={}",
            configuration.route_count(),
            configuration.services.len()
        );
        {
            let mut fleet = self.context.fleet();
            for (name, service) in &configuration.services {
                if let Some(engine) = &service.engine {
                    fleet.set_kv_capacity(name.clone(), engine.kv_capacity_tokens);
                }
            }
        }
        if let Some(limits) = configuration.limits {
            self.context.caller_limits.store(Arc::new(server_limits(limits)));
        }
        self.stream_services = configuration.stream_services();
        self.kv_store_address.set(configuration.kv_stores.first().map(|store| store.address));
        self.context
            .metrics
            .configuration_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.context.configuration.store(Some(Arc::new(configuration)));
    }

    fn apply_server_record(
        &mut self,
        record: &KeyedRecord,
        value: &Bytes,
        source: &RecordSource,
        now: Instant,
    ) {
        let KeyedRecord { key, position, .. } = record;
        let offset = log_position::offset(*position);
        let entry = match self.context.ports.dialect.read_server_record(key, value) {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!(
                    "event=server_record_unreadable server={} offset={offset} \
                     error=\"{error:#}\"",
                    key.escape_debug()
                );
                self.context.fleet().remove_entry(key, now);
                return;
            }
        };
        log::info!(
            "event=server_entry server={key} service={} state={} software={} weights={:?} offset={offset} \
             source={source}",
            entry.service,
            entry.state,
            entry.software,
            entry.weights.values().collect::<Vec<_>>()
        );
        if self.context.origins().observe_version(&entry.service, &entry.software, now) {
            log::info!(
                "event=software_version service={} software={}",
                entry.service,
                entry.software
            );
        }
        if !matches!(source, RecordSource::Restored) {
            self.context.fleet().set_entry(entry);
        } else if !self.context.fleet().set_restored_entry(entry) {
            log::info!("event=server_entry_ignored server={key} reason=older_than_known");
        }
    }
}

fn server_limits(limits: CallerLimits) -> ListenerLimits {
    ListenerLimits {
        head_bytes: limits.head_bytes,
        head_timeout_ms: limits.idle_timeout_ms.max(limits.head_timeout_ms).min(MAX_PERIOD_MS)
            + IDLE_MARGIN_MS,
    }
}
