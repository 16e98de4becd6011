//! Limits that backend servers set on the requests from all nodes together.
//!
//! A server in need names in its answers how many requests a second it takes. Each node could obey
//! that only if it knew what all others send, so a few nodes own the limit of a server: the first
//! ones for the server by rendezvous hashing over the live nodes, which all nodes work out alike.
//! Each of them may send its share, the others send elsewhere. The fewer requests a server takes,
//! the fewer owners it has, so that their first requests at one moment stay within the limit too.

use super::limit_messages::{LimitAnnouncement, LimitNotice, RequestRate};
use super::node_ranking::NodeRanking;
use crate::types::{Incarnation, InstanceId, ServerId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Requests that a server bears at one moment, beside what its limit allows.
const SPARE_REQUESTS: f64 = 3.0;

/// Seconds' worth of a limit that a server bears at one moment, in addition. A window of four seconds
/// allows two, some of which are left for owners that change.
const SPARE_S: f64 = 1.0;

/// Minimum rate at which a server is tried, so that the end of its need is noticed.
const MIN_RATE_PER_S: f64 = 0.25;

/// Time after which a limit ends that no answer has named again.
const LIMIT_LIFETIME: Duration = Duration::from_secs(15);

/// Factor by which the rate grows each second once a limit has ended, so that the nodes do not
/// return all at once.
const RETURN_FACTOR_PER_S: f64 = 4.0;

/// Rate from which a limit that has ended is dropped.
const FREE_RATE_PER_S: f64 = 64.0;

/// Relative change of a rate that partners are told.
const ANNOUNCED_CHANGE: f64 = 0.1;

/// Minimum time between two announcements of changed rates.
const MIN_ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(250);

/// Time after which a limit is announced again while it is named.
const REFRESH_PERIOD: Duration = Duration::from_secs(5);

/// Maximum delay after which a caller is told to come back to a limited server.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Cost of a limited server in milliseconds, so that its prefixes move to another one and stay there.
const LIMITED_SERVER_COST_MS: f64 = 100.0;

/// Time in which that cost fades while all permits of a node lie unused, so that the server gets
/// some of what it takes and the end of its need is noticed.
const COST_FADE_S: f64 = 2.0;

/// Maximum limits that are remembered.
const MAX_LIMITS: usize = 4_096;

/// Limit of one server.
#[derive(Clone, Debug)]
struct ServerLimit {
    incarnation: Incarnation,
    rate: RequestRate,
    /// When the request was sent whose answer last told of the limit or its end. Answers to earlier
    /// requests do not count.
    told_at: Instant,
    /// When the limit ends unless it is named again, or when it ended.
    ends_at: Instant,
    /// Whether an answer without a limit has ended it.
    is_ended: bool,
    /// When partners were last told, with the rate, `None` for the end.
    announced: Option<(Instant, Option<RequestRate>)>,
    /// Rank of this node in the order of the live nodes for the server.
    own_rank: usize,
    /// Requests that this node may send, as of `permits_at`.
    permits: f64,
    permits_at: Instant,
}

impl ServerLimit {
    /// Returns the requests a second for all nodes, which grow once the limit has ended.
    fn rate_per_s(&self, now: Instant) -> f64 {
        let ended_s = now.saturating_duration_since(self.ends_at).as_secs_f64();
        let rate_per_s = self.rate.per_s().max(MIN_RATE_PER_S);
        (rate_per_s * RETURN_FACTOR_PER_S.powf(ended_s)).min(rate_per_s.max(FREE_RATE_PER_S))
    }

    fn is_free(&self, now: Instant) -> bool {
        now >= self.ends_at && self.rate_per_s(now) >= FREE_RATE_PER_S
    }

    /// Returns the permits of a node that gets `per_s` a second, without regard to the maximum.
    fn permits_at_rate(&self, per_s: f64, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.permits_at).as_secs_f64();
        self.permits + per_s * elapsed_s
    }

    fn notice(&self, server: &ServerId, now: Instant) -> LimitNotice {
        let age_ms = now.saturating_duration_since(self.told_at).as_millis();
        LimitNotice {
            server: server.clone(),
            incarnation: self.incarnation,
            rate: (!self.is_ended).then_some(self.rate),
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
        }
    }

    /// Returns what partners must be told, and remembers it as told.
    fn announce(&mut self, server: &ServerId, now: Instant) -> Option<LimitAnnouncement> {
        let notice = self.notice(server, now);
        let is_refresh = match self.announced {
            None => false,
            Some((at, told)) if has_changed(told, notice.rate) => {
                let is_soon = now < at + MIN_ANNOUNCEMENT_PERIOD;
                if is_soon && told.is_some() == notice.rate.is_some() {
                    return None;
                }
                false
            }
            Some((at, _)) if self.is_ended || now < at + REFRESH_PERIOD => return None,
            Some(_) => true,
        };
        self.announced = Some((now, notice.rate));
        Some(LimitAnnouncement { notice, is_refresh })
    }
}

fn has_changed(told: Option<RequestRate>, newest: Option<RequestRate>) -> bool {
    match (told, newest) {
        (Some(told), Some(newest)) => {
            (told.per_s() - newest.per_s()).abs() > told.per_s() * ANNOUNCED_CHANGE
        }
        (told, newest) => told != newest,
    }
}

/// Share of a limit that a node owns.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Requests a second that it may send.
    per_s: f64,
    /// Requests that it may send at one moment after a time without any.
    burst: f64,
    /// Requests that it may send now.
    permits: f64,
}

/// Limits of all servers, and this node's share of them.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    limits: BTreeMap<ServerId, ServerLimit>,
    ranking: NodeRanking,
}

impl ServerLimits {
    /// Sets the live nodes.
    pub fn set_nodes(&mut self, own: &InstanceId, live: &[InstanceId], now: Instant) {
        let servers: Vec<ServerId> = self.limits.keys().cloned().collect();
        servers.iter().for_each(|server| self.update_permits(server, now));
        self.ranking.set_nodes(own, live);
        for server in &servers {
            let own_rank = self.ranking.own_rank(server);
            if let Some(limit) = self.limits.get_mut(server) {
                limit.own_rank = own_rank;
            }
        }
    }

    /// Learns what an answer says to a request that this node sent at `sent_at`; returns what
    /// partners must be told.
    pub fn learn(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitAnnouncement> {
        if !self.apply(server, incarnation, rate, sent_at, now) {
            return None;
        }
        self.limits.get_mut(server)?.announce(server, now)
    }

    /// Learns what a partner says; returns what other partners must be told.
    pub fn merge(&mut self, notice: &LimitNotice, now: Instant) -> Option<LimitAnnouncement> {
        let told_at = now.checked_sub(Duration::from_millis(notice.age_ms))?;
        self.learn(&notice.server, notice.incarnation, notice.rate, told_at, now)
    }

    /// Returns all limits, for a partner that has just connected.
    pub fn notices(&self, now: Instant) -> Vec<LimitNotice> {
        let current = self.limits.iter().filter(|(_, limit)| now < limit.ends_at);
        current.map(|(server, limit)| limit.notice(server, now)).collect()
    }

    /// Forgets limits that ended long ago.
    pub fn remove_free(&mut self, now: Instant) {
        self.limits.retain(|_, limit| !limit.is_free(now));
    }

    /// Returns the number of servers with a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no server has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns when this node may send a request to the server, `None` if it may now. Where other
    /// nodes own the limit, it is when one of them may.
    pub fn next_permit_at(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<Instant> {
        let limit = self.limit(server, incarnation, now)?;
        let delay_s = match self.share(limit, now) {
            Some(share) if share.permits >= 1.0 => return None,
            Some(share) => (1.0 - share.permits) / share.per_s,
            None => 1.0 / limit.rate_per_s(now),
        };
        Some(now + Duration::from_secs_f64(delay_s).min(MAX_RETRY_DELAY))
    }

    /// Takes a permit to send a request to the server; returns whether there was one. Servers
    /// without a limit need none.
    pub fn try_take(&mut self, server: &ServerId, incarnation: Incarnation, now: Instant) -> bool {
        let Some(limit) = self.limit(server, incarnation, now) else { return true };
        let permits = self.permits(limit, now);
        if permits < 1.0 {
            return false;
        }
        self.set_permits(server, permits - 1.0, now);
        true
    }

    /// Gives a permit back, since nothing was sent.
    pub fn give_back(&mut self, server: &ServerId, incarnation: Incarnation, now: Instant) {
        let Some(limit) = self.limit(server, incarnation, now) else { return };
        let permits = self.permits(limit, now);
        self.set_permits(server, permits + 1.0, now);
    }

    /// Returns the cost of a server in milliseconds because of its limit.
    pub fn cost_ms(&self, server: &ServerId, incarnation: Incarnation, now: Instant) -> f64 {
        let Some(limit) = self.limit(server, incarnation, now) else { return 0.0 };
        let Some(share) = self.share(limit, now) else { return LIMITED_SERVER_COST_MS };
        let unused_s = (limit.permits_at_rate(share.per_s, now) - share.burst) / share.per_s;
        LIMITED_SERVER_COST_MS * (1.0 - unused_s / COST_FADE_S).clamp(0.0, 1.0)
    }

    fn limit(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<&ServerLimit> {
        let limit = self.limits.get(server)?;
        (limit.incarnation == incarnation && !limit.is_free(now)).then_some(limit)
    }

    /// Applies what an answer said; returns whether it is newer than what is known.
    fn apply(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
        told_at: Instant,
        now: Instant,
    ) -> bool {
        self.update_permits(server, now);
        let known = self.limits.get_mut(server).filter(|known| known.incarnation >= incarnation);
        match (known, rate) {
            (Some(known), _) if known.incarnation > incarnation || told_at < known.told_at => false,
            (Some(known), Some(rate)) => {
                known.told_at = told_at;
                known.rate = rate;
                known.is_ended = false;
                known.ends_at = told_at + LIMIT_LIFETIME;
                true
            }
            (Some(known), None) if told_at > known.told_at && now < known.ends_at => {
                known.told_at = told_at;
                known.is_ended = true;
                known.ends_at = now;
                true
            }
            (Some(_) | None, None) => false,
            (None, Some(rate)) => {
                self.evict_oldest();
                let limit = ServerLimit {
                    incarnation,
                    rate,
                    told_at,
                    ends_at: told_at + LIMIT_LIFETIME,
                    is_ended: false,
                    announced: None,
                    own_rank: self.ranking.own_rank(server),
                    permits: 0.0,
                    permits_at: now,
                };
                self.limits.insert(server.clone(), limit);
                true
            }
        }
    }

    fn evict_oldest(&mut self) {
        if self.limits.len() < MAX_LIMITS {
            return;
        }
        let oldest = self.limits.iter().min_by_key(|(_, limit)| limit.told_at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.limits.remove(&server);
        }
    }

    /// Returns what this node may send, `None` if other nodes own the limit.
    fn share(&self, limit: &ServerLimit, now: Instant) -> Option<Share> {
        let rate_per_s = limit.rate_per_s(now);
        let spare = SPARE_REQUESTS + rate_per_s * SPARE_S;
        let owners = (spare as usize).clamp(1, self.ranking.max_nodes());
        if limit.own_rank >= owners {
            return None;
        }
        let (per_s, burst) = (rate_per_s / owners as f64, (spare / owners as f64).max(1.0));
        let permits = limit.permits_at_rate(per_s, now).min(burst);
        Some(Share { per_s, burst, permits })
    }

    fn permits(&self, limit: &ServerLimit, now: Instant) -> f64 {
        self.share(limit, now).map_or(0.0, |share| share.permits)
    }

    fn set_permits(&mut self, server: &ServerId, permits: f64, now: Instant) {
        if let Some(limit) = self.limits.get_mut(server) {
            (limit.permits, limit.permits_at) = (permits, now);
        }
    }

    /// Brings the permits up to date before the rate or the owners change, so that a node that gets
    /// a share begins without any.
    fn update_permits(&mut self, server: &ServerId, now: Instant) {
        let Some(limit) = self.limits.get(server) else { return };
        let permits = self.permits(limit, now);
        self.set_permits(server, permits, now);
    }
}
