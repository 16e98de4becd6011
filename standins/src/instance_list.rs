//! Stand-in of the platform's instance list, which lags behind the truth.

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
    /// Milliseconds after which a change shows.
    pub lag_ms: u64,
}

impl Default for InstanceListConfig {
    fn default() -> Self {
        Self { lag_ms: 1_000 }
    }
}

/// Instance on the list, in the form that callers see.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// `entry` or `backend_server`.
    pub kind: String,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
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
    list: Mutex<List>,
}

#[derive(Default)]
struct List {
    shown: BTreeMap<String, Instance>,
    pending: VecDeque<Change>,
}

struct Change {
    shown_at: Instant,
    name: String,
    instance: Option<Instance>,
}

impl InstanceListStandIn {
    /// Starts the list without instances.
    pub fn start(config: InstanceListConfig) -> anyhow::Result<Self> {
        let lag = Duration::from_millis(config.lag_ms);
        let shared = Arc::new(Shared { lag, list: Mutex::default() });
        let answering = Arc::clone(&shared);
        let handler: Handler = Arc::new(move |request| {
            let shared = Arc::clone(&answering);
            Box::pin(async move { answer(&shared, &request) })
        });
        Ok(Self { server: HttpServer::start(handler)?, shared })
    }

    /// Returns the address of the list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Registers `instance`, or changes it; the list shows it after its lag.
    pub fn put(&self, instance: Instance) {
        self.shared.change(instance.name.clone(), Some(instance));
    }

    /// Registers `instance` so that the list shows it at once, as one that has long been there.
    pub fn put_immediately(&self, instance: Instance) {
        lock(&self.shared.list).shown.insert(instance.name.clone(), instance);
    }

    /// Removes an instance; the list shows it until its lag has passed.
    pub fn remove(&self, name: &str) {
        self.shared.change(name.to_owned(), None);
    }
}

impl Shared {
    fn change(&self, name: String, instance: Option<Instance>) {
        let shown_at = Instant::now() + self.lag;
        lock(&self.list).pending.push_back(Change { shown_at, name, instance });
    }

    fn shown(&self, now: Instant) -> Vec<Instance> {
        let mut list = lock(&self.list);
        while list.pending.front().is_some_and(|change| change.shown_at <= now) {
            let Some(change) = list.pending.pop_front() else { break };
            match change.instance {
                Some(instance) => list.shown.insert(change.name, instance),
                None => list.shown.remove(&change.name),
            };
        }
        list.shown.values().cloned().collect()
    }
}

fn answer(shared: &Shared, request: &Request<Bytes>) -> HandlerResult {
    let path = request.uri().path();
    if path == "/instances" && request.method() == Method::GET {
        return json_response(StatusCode::OK, &json!({"instances": shared.shown(Instant::now())}));
    }
    let Some(name) = path.strip_prefix("/instances/") else {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such path");
    };
    match *request.method() {
        Method::PUT => match serde_json::from_slice::<Instance>(request.body()) {
            Ok(instance) => shared.change(name.to_owned(), Some(instance)),
            Err(error) => {
                return error_response(StatusCode::BAD_REQUEST, "body", &error.to_string());
            }
        },
        Method::DELETE => shared.change(name.to_owned(), None),
        _ => return error_response(StatusCode::METHOD_NOT_ALLOWED, "method", "PUT or DELETE"),
    }
    json_response(StatusCode::OK, &json!({}))
}
