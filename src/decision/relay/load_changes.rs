//! Selection of the servers whose load a message to a neighbour lists, when there are too many
//! servers to list all of them each time.
//!
//! Servers that leave requests unanswered come first, since every node must stop using them unless
//! some node still hears them. The others follow by how far their load has moved from what the
//! neighbour was told, so that a server with a growing backlog is known everywhere before one that
//! gained a single request.

use super::fleet::Fleet;
use super::server::{Server, ServerLoad, ServerUpdate};
use crate::types::{InstanceId, ServerId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum servers with news about their contact in a message.
const MAX_CONTACT_NEWS: usize = 12;

/// Maximum servers with changed loads in a message.
const MAX_CHANGED: usize = 20;

/// Time without an answer from which a server is suspected of not answering at all.
const SUSPECTED_AFTER: Duration = Duration::from_millis(200);

/// Time by which the contact with a suspected server must be newer than the known one to be sent.
const CONTACT_STEP: Duration = Duration::from_millis(200);

/// Time after which the contact with a suspected server is sent again.
const SUSPICION_REPEAT_PERIOD: Duration = Duration::from_millis(400);

/// Time after which the load of a server in use is sent again unchanged, less than its lifetime at
/// the neighbour.
const REFRESH_PERIOD: Duration = Duration::from_millis(2_500);

/// Prompt tokens that weigh as much as one request when changes of load are compared.
const TOKENS_PER_REQUEST: f64 = 1_000.0;

/// Age of the neighbour's knowledge that doubles the weight of a change.
const CHANGE_AGE_UNIT: Duration = Duration::from_millis(500);

/// Factor of the weight of a server that a rollout has closed: its coordinator waits for the end of
/// the requests there.
const CLOSED_SERVER_FACTOR: f64 = 10.0;

/// Whether a server is suspected of not answering.
#[derive(Clone, Copy, Debug)]
pub(super) enum Suspicion {
    /// No node has waited long for an answer.
    None,
    /// A node has waited long. Contact with other nodes decides whether the server is silent.
    Suspected {
        /// Last contact of any node.
        last_contact_at: Option<Instant>,
    },
}

impl Suspicion {
    /// Returns whether a server is suspected, by all that this node knows.
    pub(super) fn of(server: &Server, now: Instant) -> Self {
        let contact = server.combined_contact(now);
        match contact.unanswered_since {
            Some(since) if now >= since + SUSPECTED_AFTER => {
                Self::Suspected { last_contact_at: contact.last_contact_at }
            }
            _ => Self::None,
        }
    }

    /// Whether another node must learn that `self` has become `newer`.
    pub(super) fn has_changed(self, newer: Self) -> bool {
        match (self, newer) {
            (Self::None, Self::None) => false,
            (Self::None, Self::Suspected { .. }) | (Self::Suspected { .. }, Self::None) => true,
            (
                Self::Suspected { last_contact_at: known },
                Self::Suspected { last_contact_at: newest },
            ) => newest > known.map(|known| known + CONTACT_STEP),
        }
    }
}

/// What a neighbour was last told about a server.
#[derive(Clone, Copy, Debug)]
struct SentUpdate {
    load: ServerLoad,
    suspicion: Suspicion,
    sent_at: Instant,
}

/// What a neighbour was last told about all servers.
#[derive(Clone, Debug, Default)]
pub(super) struct SentUpdates {
    servers: BTreeMap<ServerId, SentUpdate>,
}

impl SentUpdates {
    /// Returns the updates for the next message to `peer`, and remembers them as sent.
    pub(super) fn take_changes(
        &mut self,
        peer: &InstanceId,
        fleet: &Fleet,
        now: Instant,
    ) -> Vec<ServerUpdate> {
        self.servers.retain(|id, _| fleet.server(id).is_some());
        let mut contact_news: Vec<(Option<Instant>, &Server)> = Vec::new();
        let mut changed: Vec<(f64, &Server)> = Vec::new();
        for server in fleet.servers() {
            let sent = self.servers.get(&server.entry.id);
            if has_contact_news(server, sent, now) {
                contact_news.push((sent.map(|sent| sent.sent_at), server));
            }
            let weight = change_weight(sent, server.load_without(Some(peer), now), now);
            let is_closed = server.closed_until(now).is_some();
            if weight > 0.0 {
                changed.push((weight * if is_closed { CLOSED_SERVER_FACTOR } else { 1.0 }, server));
            }
        }
        contact_news.sort_by_key(|(sent_at, _)| *sent_at);
        contact_news.truncate(MAX_CONTACT_NEWS);
        changed.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        changed.truncate(MAX_CHANGED);
        let news: BTreeMap<&ServerId, &Server> = contact_news
            .into_iter()
            .map(|(_, server)| server)
            .chain(changed.into_iter().map(|(_, server)| server))
            .map(|server| (&server.entry.id, server))
            .collect();
        news.into_values().map(|server| self.build_update(server, peer, now)).collect()
    }

    fn build_update(&mut self, server: &Server, peer: &InstanceId, now: Instant) -> ServerUpdate {
        let mut update = server.update_without(Some(peer), now);
        let suspicion = Suspicion::of(server, now);
        if matches!(suspicion, Suspicion::None) {
            update.unanswered_ms = None;
        }
        let sent = SentUpdate { load: update.load, suspicion, sent_at: now };
        self.servers.insert(server.entry.id.clone(), sent);
        update
    }
}

/// Whether a neighbour that was last told `sent` must learn of the contact with the server.
fn has_contact_news(server: &Server, sent: Option<&SentUpdate>, now: Instant) -> bool {
    let suspicion = Suspicion::of(server, now);
    let known = sent.map_or(Suspicion::None, |sent| sent.suspicion);
    let is_repeat_due = matches!(suspicion, Suspicion::Suspected { .. })
        && sent.is_some_and(|sent| now >= sent.sent_at + SUSPICION_REPEAT_PERIOD);
    known.has_changed(suspicion) || is_repeat_due
}

/// Returns how much a load matters to a neighbour that was last told `sent`; 0 if it need not be
/// sent.
fn change_weight(sent: Option<&SentUpdate>, load: ServerLoad, now: Instant) -> f64 {
    let known = sent.map_or_else(ServerLoad::default, |sent| sent.load);
    let age = sent.map_or(Duration::ZERO, |sent| now.saturating_duration_since(sent.sent_at));
    let tokens = load.pending_prefill.total().abs_diff(known.pending_prefill.total());
    let memory_tokens = load.memory_tokens.abs_diff(known.memory_tokens);
    let requests = load.requests.abs_diff(known.requests);
    let change =
        f64::from(requests) + (f64::from(tokens) + memory_tokens as f64 / 2.0) / TOKENS_PER_REQUEST;
    if change == 0.0 {
        let is_refresh_due = load.requests > 0 && age >= REFRESH_PERIOD;
        return if is_refresh_due { f64::EPSILON } else { 0.0 };
    }
    change * (1.0 + age.as_secs_f64() / CHANGE_AGE_UNIT.as_secs_f64())
}
