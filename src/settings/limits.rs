//! Settings of the limits on callers' requests.

use crate::types::Faults;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum bytes of a request's head.
    pub head_bytes: usize,
    /// Maximum bytes of a request's body.
    pub body_bytes: usize,
    /// Maximum bytes of a service's response body, or of the text of a model answer that is not
    /// streamed.
    pub answer_bytes: usize,
    /// Megabytes that the process may use, 0 for 256; callers may make the node hold 60% of what is beyond
    /// 24.
    pub memory_mb: usize,
    /// Sockets and files that the process may open, 0 for what the system allows; connections of callers
    /// take half of them at most.
    pub max_descriptors: usize,
    /// Milliseconds in which a caller must send a request's head or body.
    pub read_timeout_ms: u64,
    /// Timeout of a whole model request in milliseconds.
    pub request_timeout_ms: u64,
    /// Milliseconds without a frame after which an attempt fails.
    pub frame_timeout_ms: u64,
    /// Milliseconds for which a draining node still accepts requests once it reports not ready.
    pub drain_grace_ms: u64,
    /// Milliseconds for which a draining node waits for running requests.
    pub drain_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            answer_bytes: 16 * 1024 * 1024,
            memory_mb: 0,
            max_descriptors: 0,
            read_timeout_ms: 10_000,
            request_timeout_ms: 60_000,
            frame_timeout_ms: 5_000,
            drain_grace_ms: 2_000,
            drain_timeout_ms: 70_000,
        }
    }
}

impl LimitSettings {
    /// Adds a fault for each invalid setting.
    pub fn check(&self, faults: &mut Faults) {
        let sizes_bytes = [
            ("limits.head_bytes", self.head_bytes),
            ("limits.body_bytes", self.body_bytes),
            ("limits.answer_bytes", self.answer_bytes),
        ];
        for (path, bytes) in sizes_bytes {
            faults.require(bytes >= 1024, path, "must be at least 1024");
        }
        let most = 1 << 20;
        faults.require(self.memory_mb <= most, "limits.memory_mb", "must be from 0 to 1048576");
        let timeouts_ms = [
            ("limits.read_timeout_ms", self.read_timeout_ms),
            ("limits.request_timeout_ms", self.request_timeout_ms),
            ("limits.frame_timeout_ms", self.frame_timeout_ms),
            ("limits.drain_timeout_ms", self.drain_timeout_ms),
        ];
        for (path, timeout_ms) in timeouts_ms {
            faults.require(timeout_ms > 0, path, "must be above 0");
        }
        faults.require(
            self.drain_timeout_ms >= self.request_timeout_ms,
            "limits.drain_timeout_ms",
            "must not be below limits.request_timeout_ms, or a drain would cut requests",
        );
    }
}
