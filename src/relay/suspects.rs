//! Requests whose prompt parts are suspected to crash servers.

use super::RelayContext;
use super::control::RelayControlEvent;
use super::refusal::{Refusal, RefusalReason};
use super::request::RelayedRequest;
use crate::decision::poison::{Fingerprint, RankedKey, SuspectKey, Treatment};
use crate::decision::relay::Prompt;
use crate::types::RequestId;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Retry delay of a caller whose request waits for a probe of one of its keys: about the time of a
/// short answer.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Keys under which crashes of servers are recorded against a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectKeys {
    /// Keys of the shared parts of the prompt, and last that of the whole request.
    keys: Vec<SuspectKey>,
}

impl SuspectKeys {
    /// Returns the keys of a request.
    pub fn new(prompt: Option<&Prompt>, fingerprint: Fingerprint) -> Self {
        let mut keys = prompt.map(Prompt::shared_part_keys).unwrap_or_default();
        keys.push(fingerprint);
        Self { keys }
    }

    /// Returns all keys.
    pub fn all(&self) -> &[SuspectKey] {
        &self.keys
    }

    /// Returns the keys of the parts that other requests may share.
    fn parts(&self) -> &[SuspectKey] {
        self.keys.split_last().map_or(&[], |(_request, parts)| parts)
    }
}

/// Keys with their ranks in a log line.
pub struct KeyList<'a>(pub &'a [RankedKey]);

impl fmt::Display for KeyList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, RankedKey { key, rank, .. }) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{key:016x}/{rank}")?;
        }
        Ok(())
    }
}

/// Request that runs alone among those with its keys at this node, until dropped.
pub struct Probe {
    context: Arc<RelayContext>,
    keys: SuspectKeys,
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.context.crash_evidence().end_probe(self.keys.all());
    }
}

/// Admits a request by the crashes recorded against its keys. Returns the probe that it must hold,
/// `None` if it runs normally.
///
/// # Errors
///
/// A refusal if one of its keys is refused, or is being probed by another request.
pub fn admit(
    context: &Arc<RelayContext>,
    request: &RequestId,
    keys: &SuspectKeys,
) -> Result<Option<Probe>, Refusal> {
    let now = Instant::now();
    let mut evidence = context.crash_evidence();
    let treatment = evidence.treatment(keys.all(), now);
    if treatment == Treatment::Normal {
        return Ok(None);
    }
    let is_admitted = treatment == Treatment::Probe && evidence.try_begin_probe(keys.all(), now);
    let ranked = evidence.ranked(keys.all(), now);
    drop(evidence);
    log::info!(
        "event=suspect request={request} keys={} treatment={treatment} is_admitted={is_admitted}",
        KeyList(&ranked)
    );
    match treatment {
        _ if is_admitted => Ok(Some(Probe { context: Arc::clone(context), keys: keys.clone() })),
        Treatment::Refused { .. } => Err(Refusal::new(RefusalReason::Poison)),
        Treatment::Waits { until } => Err(Refusal::with_retry(RefusalReason::Suspect, until)),
        Treatment::Probe | Treatment::Normal => {
            Err(Refusal::with_retry(RefusalReason::Suspect, now + PROBE_RETRY_DELAY))
        }
    }
}

/// Whether the request may be sent to another server after an attempt that a crash may have ended.
pub fn may_resend(context: &RelayContext, request: &RelayedRequest, now: Instant) -> bool {
    context.crash_evidence().treatment(request.suspect_keys.all(), now) == Treatment::Normal
}

/// Records that the request was answered completely, so that its keys crash no servers.
pub fn acquit(context: &RelayContext, request: &RelayedRequest) {
    let now = Instant::now();
    let keys = &request.suspect_keys;
    context.poison().clear_strikes(request.fingerprint);
    let mut evidence = context.crash_evidence();
    let is_request_suspect = evidence.is_suspect(request.fingerprint, now);
    // A request that never comes again need not be remembered as answered.
    let acquitted = if is_request_suspect { keys.all() } else { keys.parts() };
    let cleared = evidence.acquit(acquitted, now);
    drop(evidence);
    if cleared.is_empty() {
        return;
    }
    for strike in &cleared {
        log::info!(
            "event=key_cleared key={:016x} server={} rank={} request={}",
            strike.key,
            strike.server,
            strike.rank,
            request.id
        );
    }
    context.notify_control(RelayControlEvent::KeysCleared(cleared));
}
