//! Requests that one node sends on for another, as they are encoded between them.

use crate::decision::relay::configuration::{CacheGroup, MAX_PERIOD_MS, Workspace};
use crate::decision::relay::{Authorization, RetrySafety, Route};
use crate::relay::attempts::Attempts;
use crate::relay::request::RelayedRequest;
use crate::types::{
    InstanceId, RequestId, RouteId, ServerId, ServiceId, SoftwareVersion, WorkspaceId,
};
use anyhow::{Context, ensure};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Path of forwarded requests.
pub const FORWARD_PATH: &str = "/forward";

/// Header that tells what the body of an answer to a forwarded request is.
pub const OUTCOME: HeaderName = HeaderName::from_static("cot-outcome");

/// Header with the software version of the server that answers.
pub const SOFTWARE: HeaderName = HeaderName::from_static("cot-software");

/// Header with the server that the request was last sent to. Earlier builds do not send it.
pub const SERVER: HeaderName = HeaderName::from_static("cot-server");

/// Value of [`OUTCOME`]: the answer of a server.
pub const ANSWERED: HeaderValue = HeaderValue::from_static("answered");

/// Value of [`OUTCOME`]: a refusal of the node, with the status that it would have sent a caller.
pub const REFUSED: HeaderValue = HeaderValue::from_static("refused");

/// Maximum bytes that the head of a request adds to its body.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Header of a request.
#[derive(Debug, Deserialize, Serialize)]
struct ForwardedHeader {
    name: String,
    #[serde(with = "serde_bytes_value")]
    value: Vec<u8>,
}

/// What the sender has decided about a request, and its head.
#[derive(Debug, Deserialize, Serialize)]
struct ForwardedHead {
    id: RequestId,
    route: RouteId,
    retry_safety: RetrySafety,
    timeout_ms: u64,
    latency_objective_ms: u64,
    max_event_gap_ms: u64,
    priority: u8,
    max_attempts: u32,
    service: ServiceId,
    workspace: Option<ForwardedWorkspace>,
    strips_api_key: bool,
    method: String,
    uri: String,
    headers: Vec<ForwardedHeader>,
    /// Milliseconds until the deadline.
    remaining_ms: u64,
    /// Milliseconds for which the caller waits.
    caller_remaining_ms: u64,
    /// Milliseconds since the request arrived.
    age_ms: u64,
    /// Servers that may have run the request.
    possible_runs: u32,
    /// Software version that the stream goes on at.
    software: Option<SoftwareVersion>,
    /// Last event that the sender has forwarded of the stream.
    last_event_id: Option<SmolStr>,
    /// Node that sends the request; earlier builds do not say.
    #[serde(default)]
    sender: InstanceId,
    /// Servers that may have run the request; earlier builds do not say.
    #[serde(default)]
    ran_at: Vec<ServerId>,
    /// Workspaces that share KV cache; earlier builds do not say, and share it among all that are not
    /// isolated.
    #[serde(default)]
    cache_group: CacheGroup,
    /// Revision of the configuration that authorizes the run; earlier builds do not say.
    #[serde(default)]
    revision: u64,
}

#[derive(Debug, Deserialize, Serialize)]
struct ForwardedWorkspace {
    name: WorkspaceId,
    priority: Option<u8>,
    is_isolated: bool,
}

mod serde_bytes_value {
    //! Bytes as a CBOR byte string.

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let value = ciborium::Value::deserialize(deserializer)?;
        value.into_bytes().map_err(|_| D::Error::custom("not a byte string"))
    }
}

/// Request that another node sent, as far as it is not derived from its headers.
pub struct ForwardedRequest {
    /// Id chosen by the caller.
    pub id: RequestId,
    /// Route, without its targets.
    pub route: Arc<Route>,
    /// Service that gets the request.
    pub service: ServiceId,
    /// Authorization by the configuration of the sender.
    pub authorization: Authorization,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the request arrived at the sender.
    pub arrived_at: Instant,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Until when the caller waits.
    pub caller_deadline: Instant,
    /// Attempts so far.
    pub attempts: Attempts,
    /// Last event that the sender has forwarded of the stream.
    pub last_event_id: Option<SmolStr>,
    /// Node that sent the request, empty if it is of an earlier build.
    pub sender: InstanceId,
}

/// Encodes a request of `sender` for another node, which may spend one run on it.
pub fn encode(
    request: &RelayedRequest,
    authorization: &Authorization,
    attempts: &Attempts,
    sender: &InstanceId,
    last_event_id: Option<SmolStr>,
    now: Instant,
) -> Bytes {
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let remaining_ms = |until: Instant| millis(until.saturating_duration_since(now));
    let header = |(name, value): (&HeaderName, &HeaderValue)| ForwardedHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    let route = &request.route;
    let head = ForwardedHead {
        id: request.id.clone(),
        route: route.name.clone(),
        retry_safety: route.retry_safety,
        timeout_ms: route.timeout_ms,
        latency_objective_ms: route.latency_objective_ms,
        max_event_gap_ms: route.max_event_gap_ms,
        priority: route.priority,
        max_attempts: attempts.possible_runs.saturating_add(1),
        service: request.service.clone(),
        workspace: authorization.workspace.as_ref().map(|workspace| ForwardedWorkspace {
            name: workspace.name.clone(),
            priority: workspace.priority,
            is_isolated: workspace.is_isolated,
        }),
        strips_api_key: authorization.strips_api_key,
        method: request.method.as_str().to_owned(),
        uri: request.uri.to_string(),
        headers: request.headers.iter().map(header).collect(),
        remaining_ms: remaining_ms(request.deadline),
        caller_remaining_ms: remaining_ms(request.caller_deadline),
        age_ms: millis(now.saturating_duration_since(request.arrived_at)),
        possible_runs: attempts.possible_runs,
        software: attempts.software.clone(),
        last_event_id,
        sender: sender.clone(),
        ran_at: attempts.ran_at.clone(),
        cache_group: authorization.cache_group,
        revision: authorization.revision,
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&head, &mut encoded).expect("writing to a Vec cannot fail");
    let length = u32::try_from(encoded.len()).expect("heads are small");
    let mut bytes = BytesMut::with_capacity(4 + encoded.len() + request.body.len());
    bytes.put_u32(length);
    bytes.put_slice(&encoded);
    bytes.put_slice(&request.body);
    bytes.freeze()
}

/// Decodes a request of another node.
///
/// # Errors
///
/// Bytes that [`encode`] has not written.
pub fn decode(mut bytes: Bytes, now: Instant) -> anyhow::Result<ForwardedRequest> {
    ensure!(bytes.len() >= 4, "step=decode request lacks its length");
    let length = bytes.get_u32() as usize;
    ensure!(bytes.len() >= length, "step=decode truncated head");
    let encoded = bytes.split_to(length);
    let head: ForwardedHead =
        ciborium::from_reader(encoded.as_ref()).context("step=decode head")?;
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for ForwardedHeader { name, value } in head.headers {
        let name: HeaderName = name.parse().context("step=decode header name")?;
        headers.append(name, HeaderValue::from_bytes(&value).context("step=decode header")?);
    }
    let route = Route {
        name: head.route,
        host: SmolStr::default(),
        path_prefix: SmolStr::default(),
        retry_safety: head.retry_safety,
        timeout_ms: head.timeout_ms.min(MAX_PERIOD_MS),
        latency_objective_ms: head.latency_objective_ms.min(MAX_PERIOD_MS),
        max_event_gap_ms: head.max_event_gap_ms.min(MAX_PERIOD_MS),
        priority: head.priority,
        // Earlier builds hand over all that the route allows, and count one run.
        max_attempts: head.max_attempts.min(head.possible_runs.saturating_add(1)),
        is_public: false,
        targets: Vec::new(),
    };
    let workspace = head.workspace.map(|workspace| {
        let ForwardedWorkspace { name, priority, is_isolated } = workspace;
        // The sender has a grant of the quota.
        Arc::new(Workspace { name, priority, is_isolated, quota: None })
    });
    let period = |millis: u64| Duration::from_millis(millis.min(MAX_PERIOD_MS));
    let age = period(head.age_ms);
    Ok(ForwardedRequest {
        id: head.id,
        route: Arc::new(route),
        service: head.service,
        authorization: Authorization {
            revision: head.revision,
            workspace,
            cache_group: head.cache_group,
            strips_api_key: head.strips_api_key,
        },
        method: head.method.parse().context("step=decode method")?,
        uri: head.uri.parse().context("step=decode uri")?,
        headers,
        body: bytes,
        arrived_at: now.checked_sub(age).unwrap_or(now),
        deadline: now + period(head.remaining_ms),
        caller_deadline: now + period(head.caller_remaining_ms),
        attempts: Attempts {
            tried: head.ran_at.clone(),
            ran_at: head.ran_at,
            possible_runs: head.possible_runs,
            software: head.software,
            hops: 0,
        },
        last_event_id: head.last_event_id,
        sender: head.sender,
    })
}
