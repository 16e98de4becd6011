//! Choice of a server for a request.
//!
//! Each candidate has a cost in milliseconds: its backlog, the part of the prompt that it would
//! have to prefill or fetch, the distance and its health. All nodes rank the servers of a prefix
//! alike by rendezvous hashing. Without exchanging messages they thus send a prefix to the same
//! home server, and to the next ones only when the backlog of the home server costs more than a
//! transfer of the prefix. Decode-heavy requests and long prompts go to different servers, since
//! each prefill delays every token that the server generates.

use super::configuration::CacheGroup;
use super::fleet::Fleet;
use super::prompt::{PrefixKey, Prompt};
use super::server::{Server, ServerLoad};
use crate::types::{
    AvailabilityZone, ModelId, ServerId, ServiceId, SoftwareVersion, WeightsRevision,
};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Cost of a server in another availability zone: the network round trip.
const CROSS_ZONE_COST_MS: f64 = 8.0;

/// Milliseconds for which a plain call occupies a slot, used as the cost of a queue.
const PLAIN_CALL_MS: f64 = 60.0;

/// Requests per slot from which a plain server gets no more: beyond that it rejects some.
const MAX_PLAIN_REQUESTS_PER_SLOT: u32 = 4;

/// Time after newer weights were announced by which the last request must have begun on older ones.
pub(super) const OUTDATED_WEIGHTS_DEADLINE: Duration = Duration::from_millis(8_000);

/// Minimum time for which callers wait for the first event of a stream.
pub(super) const MIN_CALLER_PATIENCE: Duration = Duration::from_millis(2_000);

/// Latency objectives for which callers wait for the first event of a stream, if that is longer.
const CALLER_PATIENCE_OBJECTIVES: u32 = 4;

/// Longest pauses between events for which callers wait, if that is longer.
const CALLER_PATIENCE_EVENT_GAPS: u32 = 8;

/// Retry delay of a caller if the service has no ready server, or none with usable weights.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Retry delay of a caller while no software version of the service is recorded.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Id of the server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: AvailabilityZone,
    /// Version of the server's software.
    pub software: SoftwareVersion,
    /// Cost in milliseconds, including penalties.
    pub cost_ms: f64,
    /// Expected milliseconds until the server begins to answer.
    pub expected_ms: f64,
    /// Second best server with its cost in milliseconds, `None` if there is no other.
    pub runner_up: Option<(ServerId, f64)>,
    /// Cache use and weights, `None` for a plain call.
    pub prompt: Option<PromptChoice>,
    /// Load that the request adds to the server.
    pub load: ServerLoad,
}

/// Cache use and weights of a prompt at the chosen server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromptChoice {
    /// Revision of the weights that the server is believed to have loaded.
    pub weights: WeightsRevision,
    /// Salt of the cache keys.
    pub cache_salt: SmolStr,
    /// Keys of the shared prefixes, shortest first.
    pub keys: Vec<PrefixKey>,
    /// Server or store to fetch the prefix from, `None` if the server prefills all that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Store to save the prefix to, `None` if it is not saved.
    pub save_to: Option<SocketAddr>,
    /// Seconds of the store's link that the fetch takes.
    pub fetch_s: f64,
    /// Seconds of the store's link that the save takes.
    pub save_s: f64,
    /// Rendezvous rank of the server for the prefix, 0 for the home server.
    pub rank: usize,
    /// Tokens that the server prefills before it begins to answer, those of earlier prompts
    /// included.
    pub tokens_before_answer: f64,
    /// Milliseconds of the expected time that are not prefill.
    pub expected_wait_ms: f64,
}

/// Reason why no server can take a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum UnavailableReason {
    /// The service has no ready server that has not been tried.
    NoServer,
    /// All servers are unreachable or silent.
    Unreachable,
    /// All servers are full or loading new weights.
    Closed,
    /// All servers have asked this node for a pause.
    Paused,
    /// All servers take no more requests a second.
    Limited,
    /// All servers have outdated weights.
    OutdatedWeights,
    /// No server has the software version that began the stream.
    OtherSoftware,
    /// No software version of the service is known to be recorded.
    UnrecordedSoftware,
}

/// Error of a choice without a usable server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable {
    /// Why no server can take the request.
    pub reason: UnavailableReason,
    /// When a server may be available again.
    pub retry_at: Instant,
}

/// Software versions at which a stream may begin.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BeginVersions {
    /// Versions that the record store is known to hold.
    pub recorded: Vec<SoftwareVersion>,
    /// Whether another version will do while no server has a recorded one.
    pub allows_unrecorded: bool,
}

/// Query for the server of a request.
#[derive(Clone, Copy, Debug)]
pub struct ServerQuery<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceId,
    /// Prompt, `None` for a plain call.
    pub prompt: Option<&'a Prompt>,
    /// Workspace of the request if it has cache isolation, `None` otherwise.
    pub isolated_workspace: Option<&'a str>,
    /// Workspaces that share KV cache with that of the request, if it has no cache isolation.
    pub cache_group: CacheGroup,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Time within which the answer should begin.
    pub latency_objective: Duration,
    /// Longest pause between the events of a stream that is still on time.
    pub max_event_gap: Duration,
    /// Software version that the server must have, since it began the stream; `None` if any will do.
    pub software: Option<&'a SoftwareVersion>,
    /// Versions at which the stream may begin, `None` if any will do.
    pub begins_at: Option<&'a BeginVersions>,
    /// Servers to which the request has been sent already.
    pub tried: &'a [ServerId],
}

impl ServerQuery<'_> {
    /// Returns for how long the caller waits for the first event.
    fn caller_patience(&self) -> Duration {
        MIN_CALLER_PATIENCE
            .max(self.latency_objective * CALLER_PATIENCE_OBJECTIVES)
            .max(self.max_event_gap * CALLER_PATIENCE_EVENT_GAPS)
    }
}

impl Fleet {
    /// Returns the server that a request should go to.
    ///
    /// # Errors
    ///
    /// No server can take the request now; the error says when to retry.
    pub fn choose(&self, query: ServerQuery<'_>, now: Instant) -> Result<Choice, Unavailable> {
        let mut candidates: Vec<&Server> = self
            .servers
            .values()
            .filter(|server| server.entry.service == *query.service)
            .filter(|server| self.is_in_service(server) && !server.has_expired(now))
            .collect();
        if let Some(begins_at) = query.begins_at {
            retain_recorded(&mut candidates, begins_at, now)?;
        }
        candidates.retain(|server| !query.tried.contains(&server.entry.id));
        if candidates.is_empty() {
            return Err(unavailable(UnavailableReason::NoServer, now + NO_SERVER_RETRY_DELAY));
        }
        if let Some(software) = query.software {
            candidates.retain(|server| server.entry.software == *software);
            if candidates.is_empty() {
                let retry_at = now + NO_SERVER_RETRY_DELAY;
                return Err(unavailable(UnavailableReason::OtherSoftware, retry_at));
            }
        }
        retain_preferred_if_any(&mut candidates, |server| !server.is_entry_missing());
        let begins_by = now + query.caller_patience();
        candidates.retain(|server| match query.prompt {
            Some(prompt) => self.has_usable_weights(server, &prompt.model, begins_by),
            None => {
                server.weights.keys().all(|model| self.has_usable_weights(server, model, begins_by))
            }
        });
        if candidates.is_empty() {
            let retry_at = now + NO_SERVER_RETRY_DELAY;
            return Err(unavailable(UnavailableReason::OutdatedWeights, retry_at));
        }
        retain_available(&mut candidates, |server| server.paused_until(now))
            .map_err(|until| unavailable(UnavailableReason::Paused, until))?;
        retain_available(&mut candidates, |server| server.closed_until(now))
            .map_err(|until| unavailable(UnavailableReason::Closed, until))?;
        retain_available(&mut candidates, |server| server.suspended_until(now))
            .map_err(|until| unavailable(UnavailableReason::Unreachable, until))?;
        retain_available(&mut candidates, |server| {
            self.limits.next_permit_at(&server.entry.id, server.incarnation(), now)
        })
        .map_err(|until| unavailable(UnavailableReason::Limited, until))?;
        retain_available(&mut candidates, |server| {
            let in_flight = server.local_load.requests;
            self.brittle.next_permit_at(query.service, &server.entry.id, in_flight, now)
        })
        .map_err(|until| unavailable(UnavailableReason::Limited, until))?;
        match query.prompt {
            Some(prompt) => Ok(self.choose_engine(&candidates, prompt, query, now)),
            None => self.choose_plain(&candidates, now),
        }
    }

    /// Whether a request that begins by `begins_by` may use the server's weights of `model`: they are
    /// current, or were until recently.
    fn has_usable_weights(&self, server: &Server, model: &ModelId, begins_by: Instant) -> bool {
        let Some(revision) = server.weights.get(model) else { return false };
        let usable_until = self.weights_usable_until(model, *revision);
        usable_until.is_none_or(|usable_until| begins_by < usable_until)
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
            let occupancy = f64::from(requests) / f64::from(slots);
            let queue_ms = f64::from(waiting) / f64::from(slots) * PLAIN_CALL_MS;
            let cost_ms = queue_ms
                + occupancy * PLAIN_CALL_MS / 2.0
                + self.zone_cost_ms(server)
                + self.limits.cost_ms(&server.entry.id, server.incarnation(), now)
                + server.health.cost_ms(now);
            costs.push((cost_ms, *server));
        }
        let Some((best, runner_up)) = two_cheapest(&costs) else {
            let queue_time =
                Duration::from_millis(PLAIN_CALL_MS as u64) * MAX_PLAIN_REQUESTS_PER_SLOT;
            return Err(unavailable(UnavailableReason::Closed, now + queue_time));
        };
        let load = ServerLoad { requests: 1, ..ServerLoad::default() };
        let slots = best.1.entry.slots.max(1);
        let waiting = best.1.total_load(now).requests.saturating_sub(slots - 1);
        let expected_ms = f64::from(waiting) / f64::from(slots) * PLAIN_CALL_MS;
        Ok(build_choice(best, expected_ms, runner_up, None, load))
    }

    pub(super) fn zone_cost_ms(&self, server: &Server) -> f64 {
        let is_same_zone = server.entry.availability_zone == self.availability_zone;
        if is_same_zone { 0.0 } else { CROSS_ZONE_COST_MS }
    }
}

/// Server with its cost in milliseconds.
pub(super) type CostedServer<'a> = (f64, &'a Server);

/// Builds the choice of `best`, whose answer is expected to begin after `expected_ms`.
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
        software: entry.software.clone(),
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

/// Drops the servers whose version is not recorded. Where none is recorded, streams still begin once the
/// query allows it: after a kill of all nodes, those of a service without a record are refused.
fn retain_recorded(
    candidates: &mut Vec<&Server>,
    begins_at: &BeginVersions,
    now: Instant,
) -> Result<(), Unavailable> {
    let is_recorded = |server: &&Server| begins_at.recorded.contains(&server.entry.software);
    if candidates.iter().any(is_recorded) {
        candidates.retain(is_recorded);
    } else if !candidates.is_empty() && !begins_at.allows_unrecorded {
        return Err(unavailable(UnavailableReason::UnrecordedSoftware, now + RECORD_RETRY_DELAY));
    }
    Ok(())
}

/// Drops the servers that are not preferred, unless none is.
fn retain_preferred_if_any(candidates: &mut Vec<&Server>, is_preferred: impl Fn(&Server) -> bool) {
    if candidates.iter().any(|server| is_preferred(server)) {
        candidates.retain(|server| is_preferred(server));
    }
}

/// Drops unavailable servers; if all are, the error is the time at which the first becomes
/// available.
fn retain_available(
    candidates: &mut Vec<&Server>,
    unavailable_until: impl Fn(&Server) -> Option<Instant>,
) -> Result<(), Instant> {
    let mut first_available_at: Option<Instant> = None;
    candidates.retain(|server| match unavailable_until(server) {
        None => true,
        Some(until) => {
            first_available_at =
                Some(first_available_at.map_or(until, |earlier| earlier.min(until)));
            false
        }
    });
    match first_available_at {
        Some(first_available_at) if candidates.is_empty() => Err(first_available_at),
        _ => Ok(()),
    }
}

/// Returns the cheapest server and the second cheapest.
pub(super) fn two_cheapest<'a>(
    costs: &[CostedServer<'a>],
) -> Option<(CostedServer<'a>, Option<CostedServer<'a>>)> {
    let mut best: Option<CostedServer<'a>> = None;
    let mut second: Option<CostedServer<'a>> = None;
    for &candidate in costs {
        if best.is_none_or(|(cost_ms, _)| candidate.0 < cost_ms) {
            second = best;
            best = Some(candidate);
        } else if second.is_none_or(|(cost_ms, _)| candidate.0 < cost_ms) {
            second = Some(candidate);
        }
    }
    best.map(|best| (best, second))
}
