//! Configuration of the relay: routes, services, caller limits and workspaces.

use super::quota::Quota;
use crate::types::{AvailabilityZone, ModelId, RouteId, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use strum::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest period of a configuration that counts, in milliseconds; longer ones may be more than a
/// clock can hold.
pub const MAX_PERIOD_MS: u64 = 3_600_000;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once.
    AtMostOnce,
    /// Event stream that must run at most once.
    Stream,
    /// Event stream that another server can resume after the last complete event.
    ResumableStream,
}

impl RetrySafety {
    /// Whether a request whose outcome is unknown may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// Service that gets the requests.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Route: service and guarantees of the requests to one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: RouteId,
    /// Host, in lower case.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// Whether requests may run more than once.
    pub retry_safety: RetrySafety,
    /// Milliseconds after which a request gets a final answer.
    pub timeout_ms: u64,
    /// Milliseconds within which a request should be answered.
    pub latency_objective_ms: u64,
    /// Longest pause between the events of a stream in milliseconds, 0 if not stated.
    pub max_event_gap_ms: u64,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Services that share the requests.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Returns the service of the request with hash `request_hash`, `None` if all weights are 0.
    pub fn service(&self, request_hash: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut position = request_hash.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if position < weight {
                return Some(&target.service);
            }
            position -= weight;
        }
        None
    }
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineProperties {
    /// Requests that a server runs at once.
    pub slots: u32,
    /// Capacity of a server's KV cache in tokens.
    pub kv_capacity_tokens: u64,
    /// Bytes of a token in the KV cache.
    pub kv_token_bytes: u64,
    /// Models that the servers serve.
    pub models: Vec<ModelId>,
}

/// Service: a set of servers that answer the same requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Connections that one server accepts from all nodes together.
    pub max_connections: u32,
    /// Engine properties, `None` for a plain service.
    pub engine: Option<EngineProperties>,
}

/// External store of KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct KvCacheStore {
    /// Address of the store.
    pub address: SocketAddr,
    /// Availability zone of the store.
    pub availability_zone: AvailabilityZone,
    /// Bandwidth of its link in megabits per second.
    pub link_mbit_per_s: f64,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum bytes of a request head.
    pub head_bytes: usize,
    /// Maximum bytes of a request body.
    pub body_bytes: usize,
    /// Milliseconds that a caller may take to send a request head.
    pub head_timeout_ms: u64,
    /// Milliseconds for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// Workspace that a caller's key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Priority that replaces the route's, 0 is the highest.
    pub priority: Option<u8>,
    /// Whether the workspace has cache isolation: it shares no KV cache with other workspaces.
    pub is_isolated: bool,
    /// Quota over all nodes, `None` if it has none.
    pub quota: Option<Quota>,
}

/// Validated configuration of the relay.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Revision; higher is newer.
    pub revision: u64,
    /// Routes by host, those with the longest path prefix first.
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// External stores of KV cache.
    pub kv_stores: Vec<KvCacheStore>,
    /// Limits on callers, `None` to keep those in force.
    pub limits: Option<CallerLimits>,
    /// Workspaces by caller key.
    keys: HashMap<SmolStr, Arc<Workspace>>,
    has_workspaces: bool,
    workspace_count: usize,
    cache_group: CacheGroup,
}

/// Identifies the workspaces among which KV cache is shared; 0 if none is isolated.
pub type CacheGroup = u64;

/// Who sent a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// No key is needed.
    Anonymous,
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// The key is missing or belongs to no workspace.
    Unknown,
}

impl Configuration {
    /// Returns a configuration without workspaces, stores and limits.
    pub fn new(revision: u64, routes: Vec<Route>, services: BTreeMap<ServiceId, Service>) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        for mut route in routes {
            route.timeout_ms = route.timeout_ms.min(MAX_PERIOD_MS);
            route.latency_objective_ms = route.latency_objective_ms.min(MAX_PERIOD_MS);
            route.max_event_gap_ms = route.max_event_gap_ms.min(MAX_PERIOD_MS);
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { revision, routes: by_host, services, ..Self::default() }
    }

    /// Adds workspaces with their keys; from then on requests to routes that are not public need a
    /// key.
    pub fn set_workspaces(&mut self, workspaces: Vec<(Workspace, Vec<SmolStr>)>) {
        self.has_workspaces = true;
        self.workspace_count = workspaces.len();
        let isolated = workspaces.iter().filter(|(workspace, _)| workspace.is_isolated);
        let isolated: BTreeSet<&WorkspaceId> =
            isolated.map(|(workspace, _)| &workspace.name).collect();
        self.cache_group =
            isolated.iter().fold(0, |seed, name| xxh3_64_with_seed(name.as_bytes(), seed));
        for (workspace, keys) in workspaces {
            let workspace = Arc::new(workspace);
            self.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&workspace))));
        }
    }

    /// Returns the route on `host` with the longest path prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the services that get streams. Those of a route that is not resumable yet count as well,
    /// since a later configuration may let their callers resume them.
    pub fn stream_services(&self) -> BTreeSet<ServiceId> {
        let routes = self.routes.values().flatten();
        let streams = routes.filter(|route| route.retry_safety.is_stream());
        let targets = streams.flat_map(|route| &route.targets);
        targets.map(|target| target.service.clone()).collect()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns who sent a request on `route` with `key`.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        if !self.has_workspaces || route.is_public {
            return Caller::Anonymous;
        }
        self.workspace(key).map_or(Caller::Unknown, |found| Caller::Workspace(Arc::clone(found)))
    }

    /// Returns the workspace that holds `key`.
    pub fn workspace(&self, key: Option<&str>) -> Option<&Arc<Workspace>> {
        self.keys.get(key?)
    }

    /// Returns the group of the workspaces that are not isolated. It changes with each workspace that
    /// becomes isolated, so that the others do not use what that one has left in the cache.
    pub fn cache_group(&self) -> CacheGroup {
        self.cache_group
    }

    /// Returns the number of workspaces.
    pub fn workspace_count(&self) -> usize {
        self.workspace_count
    }

    /// Whether requests carry workspace keys, which must not be forwarded to servers.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }
}
