//! Stand-in for the platform's instance list, which shows changes only after a lag.

use crate::http_server::{Handler, HandlerResult, HttpServer, error_response, json_response};
use crate::runtime::lock;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Settings of the instance list.
#[derive(Clone, Debug)]
pub struct InstanceListConfig {
    /// Milliseconds until a change becomes visible.
    pub lag_ms: u64,
}

impl Default for InstanceListConfig {
    fn default() -> Self {
        Self { lag_ms: 1_000 }
    }
}

/// Instance in the JSON format of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Instance name.
    pub name: String,
    /// `entry` or `backend_server`.
    pub kind: String,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub availability_zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Running instance list.
pub struct InstanceListStandIn {
    server: HttpServer,
    shared: Arc<Shared>,
}

struct Shared {
    lag: Duration,
    list: Mutex<InstanceList>,
}

#[derive(Default)]
struct InstanceList {
    visible: BTreeMap<String, Instance>,
    pending: VecDeque<PendingChange>,
}

/// Change that becomes visible at `visible_at`; without an instance it removes `name`.
struct PendingChange {
    visible_at: Instant,
    name: String,
    instance: Option<Instance>,
}

impl InstanceListStandIn {
    /// Starts an empty list.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(config: InstanceListConfig) -> anyhow::Result<Self> {
        let lag = Duration::from_millis(config.lag_ms);
        let shared = Arc::new(Shared { lag, list: Mutex::default() });
        let served = Arc::clone(&shared);
        let handler: Handler = Arc::new(move |request| {
            let shared = Arc::clone(&served);
            Box::pin(async move { answer(&shared, &request) })
        });
        Ok(Self { server: HttpServer::start(handler)?, shared })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds or replaces `instance`; the change becomes visible after the lag.
    pub fn put(&self, instance: Instance) {
        self.shared.enqueue_change(instance.name.clone(), Some(instance));
    }

    /// Adds or replaces `instance` without the lag, as if it had been listed for long.
    pub fn put_immediately(&self, instance: Instance) {
        lock(&self.shared.list).visible.insert(instance.name.clone(), instance);
    }

    /// Removes the instance `name`; it stays visible until the lag has passed.
    pub fn remove(&self, name: &str) {
        self.shared.enqueue_change(name.to_owned(), None);
    }
}

impl Shared {
    fn enqueue_change(&self, name: String, instance: Option<Instance>) {
        let visible_at = Instant::now() + self.lag;
        lock(&self.list).pending.push_back(PendingChange { visible_at, name, instance });
    }

    /// Applies the changes due at `now` and returns the visible instances.
    fn visible_instances(&self, now: Instant) -> Vec<Instance> {
        let mut list = lock(&self.list);
        while list.pending.front().is_some_and(|change| change.visible_at <= now) {
            let Some(change) = list.pending.pop_front() else { break };
            match change.instance {
                Some(instance) => list.visible.insert(change.name, instance),
                None => list.visible.remove(&change.name),
            };
        }
        list.visible.values().cloned().collect()
    }
}

fn answer(shared: &Shared, request: &Request<Bytes>) -> HandlerResult {
    let path = request.uri().path();
    if path == "/instances" && request.method() == Method::GET {
        return json_response(
            StatusCode::OK,
            &json!({"instances": shared.visible_instances(Instant::now())}),
        );
    }
    let Some(name) = path.strip_prefix("/instances/") else {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such path");
    };
    match *request.method() {
        Method::PUT => match serde_json::from_slice::<Instance>(request.body()) {
            Ok(instance) => shared.enqueue_change(name.to_owned(), Some(instance)),
            Err(error) => {
                return error_response(StatusCode::BAD_REQUEST, "body", &error.to_string());
            }
        },
        Method::DELETE => shared.enqueue_change(name.to_owned(), None),
        _ => return error_response(StatusCode::METHOD_NOT_ALLOWED, "method", "PUT or DELETE"),
    }
    json_response(StatusCode::OK, &json!({}))
}
