//! Requests for the records that partners know and this node lacks.
//!
//! For each topic one request at a time is under way, with one partner. A copy that does not fit
//! into one message is fetched page by page, in the order of the keys. What partners announce
//! meanwhile is requested after that.

use super::RecordTopic;
use super::replica::{RecordsRequest, Replica, TopicDelta};
use crate::types::{InstanceId, LogPosition};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which an unanswered request may be repeated.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which the next page may be requested from another partner; it waits behind the pages
/// of other nodes on the partner's link.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Request that was sent and not answered in full.
#[derive(Clone, Debug)]
struct PendingRequest {
    peer: InstanceId,
    request: RecordsRequest,
    /// Position below which the partner knew all records when it sent the first page.
    copied_below: Option<LogPosition>,
    expires_at: Instant,
}

/// Requests for one topic.
#[derive(Clone, Debug, Default)]
struct TopicRequests {
    pending: Option<PendingRequest>,
    /// Partner that announced the highest position, and that position.
    announced: Option<(InstanceId, LogPosition)>,
    /// Position below which this node knew all records at its last request, `None` before the
    /// first listing.
    last_known: Option<LogPosition>,
    /// Whether packed records could not be read, so that the next ones must do without bases.
    needs_whole: bool,
}

/// Requests for all topics.
#[derive(Clone, Debug, Default)]
pub struct RecordRequests {
    topics: BTreeMap<RecordTopic, TopicRequests>,
}

impl RecordRequests {
    /// Handles a partner's announcement that it knows a topic below `position`, of which this node
    /// knows the records below `known`; returns the request to send to that partner.
    pub fn announce(
        &mut self,
        peer: &InstanceId,
        topic: RecordTopic,
        position: LogPosition,
        known: Option<LogPosition>,
        now: Instant,
    ) -> Option<RecordsRequest> {
        let requests = self.topics.entry(topic).or_default();
        if requests.announced.as_ref().is_none_or(|(_, highest)| *highest < position) {
            requests.announced = Some((peer.clone(), position));
        }
        let is_pending = requests.pending.as_ref().is_some_and(|request| now < request.expires_at);
        if is_pending || known >= Some(position) {
            return None;
        }
        Some(requests.start(peer, topic, known, now))
    }

    /// Prepares a received delta for the replica: only the last of all pages completes a copy, up
    /// to what the partner knew at the first. Returns the request for the next page.
    pub fn receive(
        &mut self,
        peer: &InstanceId,
        delta: &mut TopicDelta,
        now: Instant,
    ) -> Option<RecordsRequest> {
        let requests = self.topics.entry(delta.topic).or_default();
        requests.needs_whole = false;
        let is_answer = |pending: &&mut PendingRequest| {
            pending.peer == *peer && pending.request.after == delta.after
        };
        let Some(pending) = requests.pending.as_mut().filter(is_answer) else {
            // The pages before this one are not known to have arrived.
            delta.has_more |= delta.after.is_some();
            return None;
        };
        let copied_below = *pending.copied_below.get_or_insert(delta.known_below);
        delta.known_below = delta.known_below.min(copied_below);
        if delta.is_part() {
            return None;
        }
        if !delta.has_more {
            requests.pending = None;
            return None;
        }
        pending.request.after = delta.records.iter().map(|record| record.key.clone()).max();
        pending.expires_at = now + PAGE_TIMEOUT;
        Some(pending.request.clone())
    }

    /// Returns the request for what was announced while another request was under way, and the
    /// partner to send it to.
    pub fn next(
        &mut self,
        topic: RecordTopic,
        known: Option<LogPosition>,
        now: Instant,
    ) -> Option<(InstanceId, RecordsRequest)> {
        let requests = self.topics.get_mut(&topic)?;
        let (peer, position) = requests.announced.clone()?;
        let has_advanced = known > requests.last_known;
        if requests.pending.is_some() || !has_advanced || known >= Some(position) {
            return None;
        }
        let request = requests.start(&peer, topic, known, now);
        Some((peer, request))
    }

    /// Returns the request with the bases that the partner may use.
    pub fn with_bases(&self, mut request: RecordsRequest, replica: &Replica) -> RecordsRequest {
        let requests = self.topics.get(&request.topic);
        let needs_whole = requests.is_some_and(|requests| requests.needs_whole);
        let bases = if needs_whole { Vec::new() } else { replica.bases(request.topic) };
        request.bases = Some(bases);
        request
    }

    /// Drops the request under way, whose answer could not be read; the next one names no bases.
    pub fn reject(&mut self, topic: RecordTopic) {
        let requests = self.topics.entry(topic).or_default();
        requests.pending = None;
        requests.needs_whole = true;
    }

    /// Forgets the requests to a partner whose link has ended.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        for requests in self.topics.values_mut() {
            requests.pending.take_if(|pending| pending.peer == *peer);
            requests.announced.take_if(|(announcer, _)| announcer == peer);
        }
    }
}

impl TopicRequests {
    fn start(
        &mut self,
        peer: &InstanceId,
        topic: RecordTopic,
        known_below: Option<LogPosition>,
        now: Instant,
    ) -> RecordsRequest {
        let request =
            RecordsRequest { topic, known_below, after: None, is_paged: true, bases: None };
        self.last_known = known_below;
        self.pending = Some(PendingRequest {
            peer: peer.clone(),
            request: request.clone(),
            copied_below: None,
            expires_at: now + REQUEST_TIMEOUT,
        });
        request
    }
}
