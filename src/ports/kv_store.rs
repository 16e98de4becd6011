//! Port of the KV store, the external store of saved KV cache.

use crate::types::PeerResult;
use async_trait::async_trait;

/// Store of saved KV cache, from which engines import prefixes by key.
#[async_trait]
pub trait KvStore: Send + Sync {
    /// Returns the number of tokens stored for each prefix key, 0 if there are none.
    async fn stored_tokens(&self, prefix_keys: &[u64]) -> PeerResult<Vec<u32>>;
}
