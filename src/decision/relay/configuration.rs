//! Configuration of the relay as a source names it: routes, services, limits and workspaces.

use crate::types::{AvailabilityZone, ModelId, RouteId, ServiceId, WorkspaceId};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use strum::Display;

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RetrySafety {
    /// Idempotent: may run any number of times.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Event stream that runs at most once.
    Stream,
    /// Event stream that another server can go on with from the last whole event.
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

/// Service with its part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// Service.
    pub service: ServiceId,
    /// Part of the requests, relative to the other targets.
    pub weight: u32,
}

/// Route: what is promised to the requests of a host below a path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: RouteId,
    /// Host, in lower case.
    pub host: SmolStr,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// Whether requests may be run again.
    pub retry_safety: RetrySafety,
    /// Milliseconds after which a request gets a final answer.
    pub timeout_ms: u64,
    /// Milliseconds within which a request should be answered.
    pub latency_objective_ms: u64,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Services, with their parts.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Returns the service of the request with hash `request_hash`.
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

/// Properties of the model engines of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineProperties {
    /// Requests that a server runs at once.
    pub slots: u32,
    /// Tokens that a server's KV cache holds.
    pub kv_capacity_tokens: u64,
    /// Bytes of a token in the KV cache.
    pub kv_token_bytes: u64,
    /// Models that the servers hold.
    pub models: Vec<ModelId>,
}

/// Service: a set of servers that answer the same requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Connections that one server accepts from all nodes together.
    pub max_connections: u32,
    /// Engine properties, none for a plain service.
    pub engine: Option<EngineProperties>,
}

/// Store of kept KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct KvCacheStore {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Megabits that its link carries in a second.
    pub link_mbit_per_s: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Milliseconds that a caller may take to send a head.
    pub head_timeout_ms: u64,
    /// Milliseconds that a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// Workspace, found by one of its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Priority that goes before the route's, 0 is the highest.
    pub priority: Option<u8>,
    /// Whether it shares no KV cache with other workspaces.
    pub is_isolated: bool,
}

/// Checked configuration of the relay.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Revision; higher is newer.
    pub revision: u64,
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Stores of kept KV cache.
    pub kv_stores: Vec<KvCacheStore>,
    /// Limits on callers.
    pub limits: Option<CallerLimits>,
    keys: HashMap<SmolStr, Arc<Workspace>>,
    has_workspaces: bool,
}

/// Who sent a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// The request needs no key.
    Anonymous,
    /// The request carries a key of this workspace.
    Workspace(Arc<Workspace>),
    /// The request carries no key that counts.
    Unknown,
}

impl Configuration {
    /// Returns a configuration of `routes` and `services`.
    pub fn new(revision: u64, routes: Vec<Route>, services: BTreeMap<ServiceId, Service>) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { revision, routes: by_host, services, ..Self::default() }
    }

    /// Sets the workspaces with their keys; requests then need a key unless their route is public.
    pub fn set_workspaces(&mut self, workspaces: Vec<(Workspace, Vec<SmolStr>)>) {
        self.has_workspaces = true;
        for (workspace, keys) in workspaces {
            let workspace = Arc::new(workspace);
            self.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&workspace))));
        }
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
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
        let workspace = key.and_then(|key| self.keys.get(key));
        workspace.map_or(Caller::Unknown, |found| Caller::Workspace(Arc::clone(found)))
    }

    /// Whether requests carry keys of workspaces, which servers must not see.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }
}
