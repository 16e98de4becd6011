//! Exchange of records with partners: digests of topics, and pages of the records that one lacks.

use crate::decision::relay::RecordTopic;
use crate::decision::relay::replica::{RecordsRequest, TopicDelta};
use crate::links::message::TopicDigest;
use crate::links::{MAX_MESSAGE_BYTES, PartnerMessage};
use crate::relay::control::records::RecordSource;
use crate::relay::control::state::ControlState;
use crate::types::{InstanceId, log_position};
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Maximum bytes of the records in a page: a few hundredths of a second on a slow link.
const MAX_PAGE_BYTES: usize = 64 * 1024;

/// Maximum bytes of the records for a partner that does not request pages.
const MAX_UNPAGED_BYTES: usize = MAX_MESSAGE_BYTES / 2;

impl ControlState {
    /// Schedules a digest for the next tick, since records have changed.
    pub(in crate::relay::control) fn schedule_digest(&mut self) {
        self.partners.has_new_records = true;
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
            let request = self.partners.record_requests.announce(peer, topic, position, known, now);
            if let Some(request) = request {
                self.partners.send(peer, &PartnerMessage::RecordsRequest(request));
            }
        }
        self.confirm_servers(now);
    }

    /// Applies a page of records and requests what is still missing.
    pub(super) fn receive_records(
        &mut self,
        peer: &InstanceId,
        mut delta: TopicDelta,
        now: Instant,
    ) {
        let topic = delta.topic;
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
        let next = next_page.map(|request| (peer.clone(), request));
        let next = next.or_else(|| self.partners.record_requests.next(topic, known, now));
        if let Some((peer, request)) = next {
            self.partners.send(&peer, &PartnerMessage::RecordsRequest(request));
        }
    }

    /// Sends a partner the next page of the records that it lacks.
    pub(super) fn send_records(&self, peer: &InstanceId, request: &RecordsRequest) {
        let max_bytes = if request.is_paged { MAX_PAGE_BYTES } else { MAX_UNPAGED_BYTES };
        if let Some(delta) = self.replica.delta(request, max_bytes) {
            self.partners.send(peer, &PartnerMessage::Records(Box::new(delta)));
        }
    }
}
