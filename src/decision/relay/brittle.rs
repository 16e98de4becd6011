//! Services whose servers are brittle: one that has to reject more requests in a second than it names
//! falls over.
//!
//! The bound is on the sum over all nodes. Not more nodes than a server bears rejections own it: the
//! first ones for it by rendezvous hashing. Each owner has a share of the rejections of a second: a
//! request takes one until it counts as accepted, a rejected one for a second. Beside that an owner
//! sends no more requests at once than the server had room for when it last rejected one. Nodes that
//! own no server of a service send their requests by way of others.

use super::node_ranking::NodeRanking;
use crate::types::{InstanceId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which a request that was not rejected counts as accepted: several round trips between
/// availability zones, and the time that a busy node takes to read the answer.
const REJECTION_TIME: Duration = Duration::from_millis(80);

/// Time for which a rejection counts: longer than the second over which a server counts them.
const REJECTION_MEMORY: Duration = Duration::from_millis(1_100);

/// Part of the rejections that a server bears which its owners may cause. The rest is for nodes that
/// do not agree on the owners for a moment.
const OWNED_FRACTION: f64 = 0.8;

/// Time after which an owner tries whether a server has room for one more request, from when its last
/// rejection no longer counts.
const ROOM_GROWTH_PERIOD: Duration = Duration::from_millis(2_000);

/// Delay after which a caller is told to come back to a node that owns no server.
const NOT_OWNED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after which a service counts as sound if no answer has said that it is brittle.
const BRITTLE_LIFETIME: Duration = Duration::from_secs(15);

/// Time after the last answer that named it from which one without it ends the brittleness: servers
/// of a service may change their minds one after the other.
const END_DELAY: Duration = Duration::from_secs(1);

/// Time after which partners are told again.
const REFRESH_PERIOD: Duration = Duration::from_secs(5);

/// Maximum services that are remembered.
const MAX_SERVICES: usize = 256;

/// Rejections a second that each server of a service bears from all nodes together.
pub type RejectionLimit = u32;

/// Notice to partners of brittle servers, or their end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BrittleNotice {
    /// The service.
    pub service: ServiceId,
    /// Rejections a second that a server bears, `None` once they are sound.
    pub limit: Option<RejectionLimit>,
    /// Milliseconds since the request was sent whose answer says so.
    pub age_ms: u64,
}

#[derive(Clone, Debug)]
struct BrittleService {
    /// `None` once the servers are sound.
    limit: Option<RejectionLimit>,
    /// When the request was sent whose answer last told of it.
    told_at: Instant,
    /// When partners were last told, and what.
    announced: Option<(Instant, Option<RejectionLimit>)>,
}

impl BrittleService {
    fn limit(&self, now: Instant) -> Option<RejectionLimit> {
        self.limit.filter(|_| now < self.told_at + BRITTLE_LIFETIME)
    }
}

/// What this node knows of the room at a server.
#[derive(Clone, Debug, Default)]
struct ServerRoom {
    /// Until when each request that was neither accepted nor rejected may still be rejected.
    unsettled_until: Vec<Instant>,
    /// Until when each rejection counts.
    rejected_until: Vec<Instant>,
    /// Requests of this node that the server had room for, and from when on it may have more, `None`
    /// before the first rejection.
    room: Option<(u32, Instant)>,
}

impl ServerRoom {
    /// Returns when one more request may be sent, `None` if it may now.
    fn next_permit_at(&self, share: usize, in_flight: u32, now: Instant) -> Option<Instant> {
        let counted = self.unsettled_until.iter().chain(&self.rejected_until);
        let mut counted: Vec<Instant> = counted.copied().filter(|until| now < *until).collect();
        counted.sort();
        let excess = (counted.len() + 1).checked_sub(share + 1);
        if let Some(free_at) = excess.and_then(|excess| counted.get(excess)) {
            return Some(*free_at);
        }
        let (room, grows_from) = self.room?;
        let grown = now.saturating_duration_since(grows_from).as_secs_f64()
            / ROOM_GROWTH_PERIOD.as_secs_f64();
        let is_full = f64::from(in_flight) >= (f64::from(room) + grown).floor();
        is_full.then_some(now + REJECTION_TIME)
    }

    fn remove_expired(&mut self, now: Instant) {
        self.unsettled_until.retain(|until| now < *until);
        self.rejected_until.retain(|until| now < *until);
    }
}

/// Services with brittle servers.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    services: BTreeMap<ServiceId, BrittleService>,
    rooms: BTreeMap<ServerId, ServerRoom>,
    ranking: NodeRanking,
}

impl BrittleServices {
    /// Sets the live nodes.
    pub fn set_nodes(&mut self, own: &InstanceId, live: &[InstanceId]) {
        self.ranking.set_nodes(own, live);
    }

    /// Learns what an answer says to a request that was sent at `sent_at`; returns what partners must
    /// be told.
    pub fn learn(
        &mut self,
        service: &ServiceId,
        limit: Option<RejectionLimit>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<BrittleNotice> {
        let has_room = self.services.len() < MAX_SERVICES;
        if !self.services.contains_key(service) && (limit.is_none() || !has_room) {
            return None;
        }
        let known = match (self.services.get_mut(service), limit) {
            (None, _) => {
                let brittle = BrittleService { limit, told_at: sent_at, announced: None };
                self.services.entry(service.clone()).or_insert(brittle)
            }
            (Some(known), Some(_)) if sent_at >= known.told_at => {
                (known.limit, known.told_at) = (limit, sent_at);
                known
            }
            (Some(known), None) if known.limit.is_some() && sent_at > known.told_at + END_DELAY => {
                (known.limit, known.told_at) = (None, sent_at);
                known
            }
            (Some(_), _) => return None,
        };
        let is_told = known.announced.is_some_and(|(at, told)| {
            told == known.limit && (told.is_none() || now < at + REFRESH_PERIOD)
        });
        if is_told {
            return None;
        }
        known.announced = Some((now, known.limit));
        Some(notice(service, known, now))
    }

    /// Learns what a partner says; returns what other partners must be told.
    pub fn merge(&mut self, notice: &BrittleNotice, now: Instant) -> Option<BrittleNotice> {
        let told_at = now.checked_sub(Duration::from_millis(notice.age_ms))?;
        self.learn(&notice.service, notice.limit, told_at, now)
    }

    /// Returns all brittle services, for a partner that has just connected.
    pub fn notices(&self, now: Instant) -> Vec<BrittleNotice> {
        let brittle = self.services.iter().filter(|(_, known)| known.limit(now).is_some());
        brittle.map(|(service, known)| notice(service, known, now)).collect()
    }

    /// Returns the services with brittle servers.
    pub fn services(&self, now: Instant) -> Vec<ServiceId> {
        let brittle = self.services.iter().filter(|(_, known)| known.limit(now).is_some());
        brittle.map(|(service, _)| service.clone()).collect()
    }

    /// Whether the servers of a service are brittle.
    pub fn is_brittle(&self, service: &ServiceId, now: Instant) -> bool {
        self.limit(service, now).is_some()
    }

    /// Whether this node may send requests to a server; all nodes may if it is not brittle.
    pub fn is_owner(&self, service: &ServiceId, server: &ServerId, now: Instant) -> bool {
        let limit = self.limit(service, now);
        limit.is_none_or(|limit| self.ranking.own_rank(server) < self.owners(limit))
    }

    /// Returns when this node may send a request to a server, `None` if it may now. `in_flight` is the
    /// number of its requests there.
    pub fn next_permit_at(
        &self,
        service: &ServiceId,
        server: &ServerId,
        in_flight: u32,
        now: Instant,
    ) -> Option<Instant> {
        let limit = self.limit(service, now)?;
        if !self.is_owner(service, server, now) {
            return Some(now + NOT_OWNED_RETRY_DELAY);
        }
        self.rooms.get(server)?.next_permit_at(self.share(limit), in_flight, now)
    }

    /// Takes the permit to send a request to a server; returns whether there was one.
    pub fn try_take(
        &mut self,
        service: &ServiceId,
        server: &ServerId,
        in_flight: u32,
        now: Instant,
    ) -> bool {
        if self.limit(service, now).is_none() {
            return true;
        }
        if self.next_permit_at(service, server, in_flight, now).is_some() {
            return false;
        }
        let room = self.rooms.entry(server.clone()).or_default();
        room.remove_expired(now);
        room.unsettled_until.push(now + REJECTION_TIME);
        true
    }

    /// Records that a request was not sent, or that a server has accepted it.
    pub fn settle(&mut self, server: &ServerId) {
        if let Some(room) = self.rooms.get_mut(server)
            && !room.unsettled_until.is_empty()
        {
            room.unsettled_until.remove(0);
        }
    }

    /// Records that a server rejected a request while it had `in_flight` others of this node.
    pub fn record_rejection(
        &mut self,
        service: &ServiceId,
        server: &ServerId,
        in_flight: u32,
        now: Instant,
    ) {
        if self.limit(service, now).is_none() {
            return;
        }
        self.settle(server);
        let room = self.rooms.entry(server.clone()).or_default();
        room.rejected_until.push(now + REJECTION_MEMORY);
        room.room = Some((in_flight.max(1), now + REJECTION_MEMORY));
    }

    /// Forgets what is over.
    pub fn remove_expired(&mut self, now: Instant) {
        self.services.retain(|_, known| now < known.told_at + BRITTLE_LIFETIME);
        if self.services.is_empty() {
            self.rooms.clear();
        }
    }

    fn limit(&self, service: &ServiceId, now: Instant) -> Option<RejectionLimit> {
        self.services.get(service)?.limit(now)
    }

    /// Returns the number of nodes that may send requests to a server.
    fn owners(&self, limit: RejectionLimit) -> usize {
        let owners = (f64::from(limit) * OWNED_FRACTION) as usize;
        owners.clamp(1, self.ranking.max_nodes())
    }

    /// Returns the rejections that this node may cause in a second at a server that it owns.
    fn share(&self, limit: RejectionLimit) -> usize {
        let share = f64::from(limit) * OWNED_FRACTION / self.owners(limit) as f64;
        (share as usize).max(1)
    }
}

fn notice(service: &ServiceId, known: &BrittleService, now: Instant) -> BrittleNotice {
    let age_ms = now.saturating_duration_since(known.told_at).as_millis();
    BrittleNotice {
        service: service.clone(),
        limit: known.limit,
        age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
    }
}
