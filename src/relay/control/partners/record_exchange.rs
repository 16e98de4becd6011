//! Exchange of records with partners: digests of topics, and pages of the records that one lacks.

use super::DIGEST_PERIOD;
use crate::decision::relay::replica::{RecordsRequest, TopicDelta};
use crate::decision::relay::{RecordTopic, record_packing};
use crate::links::message::TopicDigest;
use crate::links::{MAX_MESSAGE_BYTES, PartnerMessage};
use crate::relay::control::records::RecordSource;
use crate::relay::control::state::ControlState;
use crate::types::{InstanceId, log_position};
use log::Level;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Maximum bytes of the records in a page: a few hundredths of a second on a slow link.
const MAX_PAGE_BYTES: usize = 64 * 1024;

/// Maximum bytes of the records for a partner that does not request pages.
const MAX_UNPAGED_BYTES: usize = MAX_MESSAGE_BYTES / 2;

impl ControlState {
    /// Announces new records to all partners: those of operators at once, before they are put in force,
    /// the frequent ones of servers with the next tick.
    pub(in crate::relay::control) fn announce_records(&mut self, topic: RecordTopic, now: Instant) {
        match topic {
            RecordTopic::Operator => self.send_digests(now),
            RecordTopic::Servers => self.partners.has_new_records = true,
        }
    }

    /// Sends all partners a digest of the topics.
    pub(super) fn send_digests(&mut self, now: Instant) {
        self.partners.next_digest_at = now + DIGEST_PERIOD;
        self.broadcast(None, &PartnerMessage::Topics(self.topic_digests(now)));
    }

    pub(super) fn topic_digests(&self, now: Instant) -> Vec<TopicDigest> {
        let schedule = self.read_schedule.borrow();
        let digest = |topic| TopicDigest {
            topic,
            known_below: self.replica.known_below(topic),
            age_ms: schedule
                .age(topic, now)
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            confirmation: schedule.confirmation(topic),
        };
        RecordTopic::iter().map(digest).collect()
    }

    /// Compares a partner's digests with the replica and requests the records that this node lacks.
    pub(super) fn apply_digests(
        &mut self,
        peer: &InstanceId,
        digests: &[TopicDigest],
        now: Instant,
    ) {
        for &TopicDigest { topic, known_below, age_ms, confirmation } in digests {
            let known = self.replica.known_below(topic);
            if known_below <= known {
                if let Some(age_ms) = age_ms.filter(|_| known_below == known) {
                    let age = Duration::from_millis(age_ms);
                    self.read_schedule.borrow_mut().confirm_by(topic, confirmation, age, now);
                }
                continue;
            }
            let Some(position) = known_below else { continue };
            self.observe_era(log_position::era(position), now);
            if self.read_schedule.borrow_mut().observe_newer(topic, position, now) {
                log::log!(
                    level(topic),
                    "event=records_announced topic={topic} peer={peer} known_below={position} \
                     own={} age_ms={}",
                    known.unwrap_or_default(),
                    age_ms.unwrap_or_default()
                );
            }
            let request = self.partners.record_requests.announce(peer, topic, position, known, now);
            if let Some(request) = request {
                self.request_records(peer, request);
            }
        }
        self.publish_outdated_period();
    }

    fn request_records(&self, peer: &InstanceId, request: RecordsRequest) {
        let request = self.partners.record_requests.with_bases(request, &self.replica);
        let RecordsRequest { topic, known_below, after, bases, .. } = &request;
        log::log!(
            level(*topic),
            "event=records_requested topic={topic} peer={peer} own={} after={} bases={}",
            known_below.unwrap_or_default(),
            after.as_deref().unwrap_or("none").escape_debug(),
            bases.as_ref().map_or(0, Vec::len)
        );
        self.partners.send(peer, &PartnerMessage::RecordsRequest(request));
    }

    /// Applies a page of records, which came in a message of `bytes`, and requests what is still
    /// missing.
    pub(super) fn receive_records(
        &mut self,
        peer: &InstanceId,
        mut delta: TopicDelta,
        bytes: usize,
        now: Instant,
    ) {
        let topic = delta.topic;
        if let Err(error) = record_packing::unpack(&mut delta, &self.replica) {
            log::warn!("event=records_unreadable topic={topic} peer={peer} error=\"{error:#}\"");
            self.partners.record_requests.reject(topic);
            return;
        }
        log::log!(
            level(topic),
            "event=records_received topic={topic} peer={peer} records={} bytes={bytes} \
             known_below={} has_more={}",
            delta.records.len(),
            delta.known_below,
            delta.has_more
        );
        let is_restored = self.replica.is_restored_by(topic, delta.known_below);
        let source = match delta.from {
            _ if is_restored => RecordSource::Restored,
            None => RecordSource::Copy(peer.clone()),
            Some(_) => RecordSource::Partner(peer.clone()),
        };
        let next_page = self.partners.record_requests.receive(peer, &mut delta, now);
        let updates = self.replica.apply_delta(delta);
        self.apply_updates(&updates, &source, now);
        self.mark_servers_listed();
        let known = self.replica.known_below(topic);
        self.catch_up(topic);
        let next = next_page.map(|request| (peer.clone(), request));
        let next = next.or_else(|| self.partners.record_requests.next(topic, known, now));
        if let Some((peer, request)) = next {
            self.request_records(&peer, request);
        }
    }

    /// Sends a partner the next page of the records that it lacks.
    pub(super) fn send_records(&mut self, peer: &InstanceId, request: &RecordsRequest) {
        let max_bytes = if request.is_paged { MAX_PAGE_BYTES } else { MAX_UNPAGED_BYTES };
        let Some(mut delta) = self.replica.delta(request, max_bytes) else { return };
        let records = delta.records.len();
        self.partners.record_packer.pack(&mut delta, request, &self.replica);
        log::log!(
            level(delta.topic),
            "event=records_sent topic={} peer={peer} records={records} known_below={} packed={:?}",
            delta.topic,
            delta.known_below,
            delta.packed
        );
        self.partners.send(peer, &PartnerMessage::Records(Box::new(delta)));
    }
}

/// Returns the level of the log lines on records; those of servers change all the time.
fn level(topic: RecordTopic) -> Level {
    match topic {
        RecordTopic::Operator => Level::Info,
        RecordTopic::Servers => Level::Debug,
    }
}
