//! Port of the store of kept KV cache.

use crate::types::PeerResult;
use async_trait::async_trait;

/// Store of kept KV cache; engines import from it by key.
#[async_trait]
pub trait KvStore: Send + Sync {
    /// Returns, for each prefix key, the number of tokens the store keeps under it, 0 if none.
    async fn stored_tokens(&self, prefix_keys: &[u64]) -> PeerResult<Vec<u32>>;
}
