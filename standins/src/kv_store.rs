//! Stand-in for the external KV store, which stores KV cache by prefix key.

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

/// Settings of the KV store.
#[derive(Clone, Debug)]
pub struct KvStoreConfig {
    /// Maximum stored prefixes; beyond it the least recently used one is evicted.
    pub max_prefixes: NonZeroUsize,
}

impl Default for KvStoreConfig {
    fn default() -> Self {
        Self { max_prefixes: NonZeroUsize::new(10_000).expect("not zero") }
    }
}

/// Running KV store.
pub struct KvStoreStandIn {
    server: HttpServer,
    prefixes: Arc<StoredPrefixes>,
}

/// Stored prefixes: token counts by prefix key.
pub struct StoredPrefixes {
    tokens: Mutex<LruCache<u64, u32>>,
}

#[derive(Deserialize)]
struct LookupBody {
    prefix_keys: Vec<u64>,
}

#[derive(Deserialize)]
struct EntryBody {
    tokens: u32,
}

impl KvStoreStandIn {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(config: KvStoreConfig) -> anyhow::Result<Self> {
        let prefixes =
            Arc::new(StoredPrefixes { tokens: Mutex::new(LruCache::new(config.max_prefixes)) });
        let served = Arc::clone(&prefixes);
        let handler: Handler = Arc::new(move |request| {
            let prefixes = Arc::clone(&served);
            Box::pin(async move { answer(&prefixes, &request) })
        });
        Ok(Self { server: HttpServer::start(handler)?, prefixes })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the stored prefixes, which engines of this process read and write directly.
    pub fn stored_prefixes(&self) -> Arc<StoredPrefixes> {
        Arc::clone(&self.prefixes)
    }
}

impl StoredPrefixes {
    /// Returns the number of tokens stored under `key`, 0 if none.
    pub fn tokens(&self, key: u64) -> u32 {
        lock(&self.tokens).get(&key).copied().unwrap_or(0)
    }

    /// Stores a prefix of `tokens` tokens under `key`.
    pub fn store(&self, key: u64, tokens: u32) {
        lock(&self.tokens).put(key, tokens);
    }
}

fn answer(prefixes: &StoredPrefixes, request: &Request<Bytes>) -> HandlerResult {
    let path = request.uri().path();
    if path == "/kept" && request.method() == Method::POST {
        let Ok(query) = serde_json::from_slice::<LookupBody>(request.body()) else {
            return error_response(StatusCode::BAD_REQUEST, "body", "not a list of keys");
        };
        let tokens: Vec<u32> = query.prefix_keys.iter().map(|key| prefixes.tokens(*key)).collect();
        return json_response(StatusCode::OK, &json!({ "kept_tokens": tokens }));
    }
    let key = path.strip_prefix("/kept/").and_then(|key| key.parse().ok());
    let entry = serde_json::from_slice::<EntryBody>(request.body()).ok();
    let (Some(key), Some(entry)) = (key, entry) else {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such path or entry");
    };
    prefixes.store(key, entry.tokens);
    json_response(StatusCode::OK, &json!({}))
}
