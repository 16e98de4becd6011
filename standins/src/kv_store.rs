//! Stand-in of the store of kept KV cache.

use crate::http_server::{Handler, HandlerResult, HttpServer, error_response, json_response};
use crate::runtime::lock;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use lru::LruCache;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex};

/// Settings of the store.
#[derive(Clone, Debug)]
pub struct KvStoreConfig {
    /// Largest number of prefixes kept.
    pub max_prefixes: NonZeroUsize,
}

impl Default for KvStoreConfig {
    fn default() -> Self {
        Self { max_prefixes: NonZeroUsize::new(10_000).expect("not zero") }
    }
}

/// Running store of kept KV cache.
pub struct KvStoreStandIn {
    server: HttpServer,
    kept: Arc<StoredPrefixes>,
}

/// Prefixes kept, with their tokens by key.
pub struct StoredPrefixes {
    tokens: Mutex<LruCache<u64, u32>>,
}

#[derive(Deserialize)]
struct KeptQuery {
    prefix_keys: Vec<u64>,
}

#[derive(Deserialize)]
struct KeptEntry {
    tokens: u32,
}

impl KvStoreStandIn {
    /// Starts the store without prefixes.
    pub fn start(config: KvStoreConfig) -> anyhow::Result<Self> {
        let kept =
            Arc::new(StoredPrefixes { tokens: Mutex::new(LruCache::new(config.max_prefixes)) });
        let answering = Arc::clone(&kept);
        let handler: Handler = Arc::new(move |request| {
            let kept = Arc::clone(&answering);
            Box::pin(async move { answer(&kept, &request) })
        });
        Ok(Self { server: HttpServer::start(handler)?, kept })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the kept prefixes, which engines of the same process import and export.
    pub fn stored_prefixes(&self) -> Arc<StoredPrefixes> {
        Arc::clone(&self.kept)
    }
}

impl StoredPrefixes {
    /// Returns the tokens kept under `key`, 0 if none.
    pub fn tokens(&self, key: u64) -> u32 {
        lock(&self.tokens).get(&key).copied().unwrap_or(0)
    }

    /// Keeps `tokens` tokens under `key`.
    pub fn keep(&self, key: u64, tokens: u32) {
        lock(&self.tokens).put(key, tokens);
    }
}

fn answer(kept: &StoredPrefixes, request: &Request<Bytes>) -> HandlerResult {
    let path = request.uri().path();
    if path == "/kept" && request.method() == Method::POST {
        let Ok(query) = serde_json::from_slice::<KeptQuery>(request.body()) else {
            return error_response(StatusCode::BAD_REQUEST, "body", "not a list of keys");
        };
        let tokens: Vec<u32> = query.prefix_keys.iter().map(|key| kept.tokens(*key)).collect();
        return json_response(StatusCode::OK, &json!({ "kept_tokens": tokens }));
    }
    let key = path.strip_prefix("/kept/").and_then(|key| key.parse().ok());
    let entry = serde_json::from_slice::<KeptEntry>(request.body()).ok();
    let (Some(key), Some(entry)) = (key, entry) else {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such path or entry");
    };
    kept.keep(key, entry.tokens);
    json_response(StatusCode::OK, &json!({}))
}
