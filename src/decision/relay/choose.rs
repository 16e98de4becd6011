//! The choice of a server for a request.
//!
//! Each candidate has a cost in milliseconds: the work that waits there, what of the prompt it would
//! have to read or fetch, the distance, and what is known of its health. All nodes rank the servers
//! of a prefix alike by rendezvous hashing, so that without a message they send it to one home, and
//! to the next ones only when the home has more work than a transfer of the prefix costs. Long runs
//! and long prompts go to different servers, since each prompt that is read delays every token there.

use super::fleet::Fleet;
use super::prompt::{PrefixKey, Prompt};
use super::server::{Server, ServerLoad, ServerState};
use crate::types::{AvailabilityZone, ModelId, ServerId, ServiceId, WeightsRevision};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Cost of a server in another availability zone: the way there and back.
const CROSS_ZONE_COST_MS: f64 = 8.0;

/// Milliseconds that a plain call occupies a slot, as cost of a queue.
const PLAIN_CALL_MS: f64 = 60.0;

/// Requests for each slot that a plain server takes before it rejects some.
const MAX_PLAIN_REQUESTS_PER_SLOT: u32 = 4;

/// Time after which a server with older weights is not used any more.
pub(super) const MAX_OUTDATED_WEIGHTS_PERIOD: Duration = Duration::from_millis(6_000);

/// Wait before a caller comes back if no server is known.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Server.
    pub server: ServerId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Cost in milliseconds, penalties included.
    pub cost_ms: f64,
    /// Expected milliseconds until the server begins to answer.
    pub expected_ms: f64,
    /// Cost of the next best server in milliseconds, none if there is no other.
    pub runner_up: Option<(ServerId, f64)>,
    /// What the choice says of a prompt.
    pub prompt: Option<PromptChoice>,
    /// Load that the request adds.
    pub load: ServerLoad,
}

/// Choice for a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromptChoice {
    /// Weights that the server is believed to hold.
    pub weights: WeightsRevision,
    /// Name under which the prefixes are cached.
    pub cache_salt: SmolStr,
    /// Keys of the shared prefixes.
    pub keys: Vec<PrefixKey>,
    /// Where the server should fetch the prefix from.
    pub fetch_from: Option<SocketAddr>,
    /// Where the server should save the prefix to.
    pub save_to: Option<SocketAddr>,
    /// Seconds of the store's link that the fetch takes.
    pub fetch_s: f64,
    /// Seconds of the store's link that the save takes.
    pub save_s: f64,
    /// Rank of the server among the prefix's homes, 0 for the first.
    pub rank: usize,
}

/// Reason why no server can take a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum UnavailableReason {
    /// The service has no servers.
    NoServer,
    /// All servers are out of reach or silent.
    Unreachable,
    /// All servers are full or change their weights.
    Closed,
    /// All servers have outdated weights.
    OutdatedWeights,
}

/// No server can take a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable {
    /// Reason.
    pub reason: UnavailableReason,
    /// When a server may take it.
    pub retry_at: Instant,
}

/// What decides the choice beside the servers.
#[derive(Clone, Copy, Debug)]
pub struct ServerQuery<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Prompt, none for a plain call.
    pub prompt: Option<&'a Prompt>,
    /// Isolated workspace, whose cache entries no other one may use.
    pub isolated_workspace: Option<&'a str>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Servers that had the request already.
    pub tried: &'a [ServerId],
}

impl Fleet {
    /// Returns the server that a request should go to.
    ///
    /// # Errors
    ///
    /// No server can take the request now; the error says when one may.
    pub fn choose(&self, query: ServerQuery<'_>, now: Instant) -> Result<Choice, Unavailable> {
        let mut candidates: Vec<&Server> = self
            .servers
            .values()
            .filter(|server| server.entry.service == *query.service)
            .filter(|server| server.entry.state == ServerState::Ready && !server.has_expired(now))
            .filter(|server| !query.tried.contains(&server.entry.id))
            .collect();
        if candidates.is_empty() {
            return Err(unavailable(UnavailableReason::NoServer, now + NO_SERVER_RETRY_DELAY));
        }
        retain_preferred_if_any(&mut candidates, |server| !server.is_entry_missing());
        if let Some(prompt) = query.prompt {
            candidates.retain(|server| self.has_usable_weights(server, &prompt.model, now));
            if candidates.is_empty() {
                let retry_at = now + NO_SERVER_RETRY_DELAY;
                return Err(unavailable(UnavailableReason::OutdatedWeights, retry_at));
            }
        }
        retain_available(&mut candidates, |server| server.closed_until(now))
            .map_err(|until| unavailable(UnavailableReason::Closed, until))?;
        retain_available(&mut candidates, |server| server.suspended_until(now))
            .map_err(|until| unavailable(UnavailableReason::Unreachable, until))?;
        match query.prompt {
            Some(prompt) => Ok(self.choose_engine(&candidates, prompt, query, now)),
            None => self.choose_plain(&candidates, now),
        }
    }

    fn has_usable_weights(&self, server: &Server, model: &ModelId, now: Instant) -> bool {
        let Some(held) = server.weights.get(model) else { return false };
        let since = self.targets.get(model).and_then(|target| target.outdated_since(*held));
        since.is_none_or(|since| now < since + MAX_OUTDATED_WEIGHTS_PERIOD)
    }

    fn choose_plain(&self, candidates: &[&Server], now: Instant) -> Result<Choice, Unavailable> {
        let mut costs: Vec<(f64, &Server)> = Vec::with_capacity(candidates.len());
        for server in candidates {
            let requests = server.total_load(now).requests;
            let slots = server.entry.slots.max(1);
            if requests >= slots.saturating_mul(MAX_PLAIN_REQUESTS_PER_SLOT) {
                continue;
            }
            let waiting = requests.saturating_sub(slots - 1);
            let taken = f64::from(requests) / f64::from(slots);
            let queue_ms = f64::from(waiting) / f64::from(slots) * PLAIN_CALL_MS;
            let cost_ms = queue_ms
                + taken * PLAIN_CALL_MS / 2.0
                + self.zone_cost_ms(server)
                + server.health.cost_ms(now);
            costs.push((cost_ms, *server));
        }
        let Some((best, runner_up)) = two_cheapest(&costs) else {
            let call = Duration::from_millis(PLAIN_CALL_MS as u64) * MAX_PLAIN_REQUESTS_PER_SLOT;
            return Err(unavailable(UnavailableReason::Closed, now + call));
        };
        let load = ServerLoad { requests: 1, ..ServerLoad::default() };
        let slots = best.1.entry.slots.max(1);
        let waiting = best.1.total_load(now).requests.saturating_sub(slots - 1);
        let expected_ms = f64::from(waiting) / f64::from(slots) * PLAIN_CALL_MS;
        Ok(build_choice(best, expected_ms, runner_up, None, load))
    }

    pub(super) fn zone_cost_ms(&self, server: &Server) -> f64 {
        let is_near = server.entry.availability_zone == self.availability_zone;
        if is_near { 0.0 } else { CROSS_ZONE_COST_MS }
    }
}

/// Server with its cost in milliseconds.
pub(super) type CostedServer<'a> = (f64, &'a Server);

/// Returns the choice of `best`.
pub(super) fn build_choice(
    best: CostedServer<'_>,
    expected_ms: f64,
    runner_up: Option<CostedServer<'_>>,
    prompt: Option<PromptChoice>,
    load: ServerLoad,
) -> Choice {
    let entry = &best.1.entry;
    Choice {
        server: entry.id.clone(),
        address: entry.address,
        availability_zone: entry.availability_zone.clone(),
        cost_ms: best.0,
        expected_ms,
        runner_up: runner_up.map(|(cost_ms, server)| (server.entry.id.clone(), cost_ms)),
        prompt,
        load,
    }
}

fn unavailable(reason: UnavailableReason, retry_at: Instant) -> Unavailable {
    Unavailable { reason, retry_at }
}

/// Drops the servers that are not preferred, unless that would drop all.
fn retain_preferred_if_any(candidates: &mut Vec<&Server>, is_preferred: impl Fn(&Server) -> bool) {
    if candidates.iter().any(|server| is_preferred(server)) {
        candidates.retain(|server| is_preferred(server));
    }
}

/// Drops the servers that are barred; the error says when the first of them is free if all are.
fn retain_available(
    candidates: &mut Vec<&Server>,
    barred_until: impl Fn(&Server) -> Option<Instant>,
) -> Result<(), Instant> {
    let mut free_at: Option<Instant> = None;
    candidates.retain(|server| match barred_until(server) {
        None => true,
        Some(until) => {
            free_at = Some(free_at.map_or(until, |earlier| earlier.min(until)));
            false
        }
    });
    match free_at {
        Some(free_at) if candidates.is_empty() => Err(free_at),
        _ => Ok(()),
    }
}

/// Returns the cheapest and the next server.
pub(super) fn two_cheapest<'a>(
    costs: &[CostedServer<'a>],
) -> Option<(CostedServer<'a>, Option<CostedServer<'a>>)> {
    let mut best: Option<CostedServer<'a>> = None;
    let mut second: Option<CostedServer<'a>> = None;
    for &costed in costs {
        if best.is_none_or(|(cost_ms, _)| costed.0 < cost_ms) {
            second = best;
            best = Some(costed);
        } else if second.is_none_or(|(cost_ms, _)| costed.0 < cost_ms) {
            second = Some(costed);
        }
    }
    best.map(|best| (best, second))
}
