//! Sends on the requests of nodes that have lost their links to servers.

use super::message::{self, ANSWERED, FORWARD_PATH, MAX_HEAD_BYTES, OUTCOME, REFUSED, SERVER};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::http_server::Reply;
use crate::relay::RelayContext;
use crate::relay::refusal::{Refusal, RefusalReason};
use crate::relay::request::{self, RelayedRequest};
use crate::relay::server_search::{SearchResult, serve_forwarded};
use crate::relay::stream;
use crate::types::RequestId;
use anyhow::ensure;
use http::{HeaderValue, Request};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time in which the body of a request must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles a request of another node; the answer tells whether it is a server's.
pub async fn handle(context: Arc<RelayContext>, request: Request<CallerBody>) -> Reply {
    let _count = ForwardedCount::begin(&context);
    let received = receive(&context, request).await;
    let (id, result) = match received {
        Ok(ReceivedRequest { request, is_server_wanted }) => {
            let request = Arc::new(request);
            let attempts = request.forwarded_attempts.clone().unwrap_or_default();
            let mut result = serve_forwarded(&context, &request, attempts).await;
            result.server = result.server.filter(|_| is_server_wanted);
            if result.served.is_err() {
                stream::count_outcome(&context, &request, "refused");
            }
            (Some(request.id.clone()), result)
        }
        Err((id, refusal)) => (id, SearchResult { served: Err(refusal), server: None }),
    };
    let (mut reply, outcome) = match result.served {
        Ok(reply) => (reply, ANSWERED),
        Err(refusal) => {
            log::info!(
                "event=refused_forwarded request={} reason={} status={}",
                id.as_deref().unwrap_or("none"),
                refusal.reason.name(),
                refusal.reason.status().as_u16()
            );
            (refusal.reply(&context, id.as_ref()), REFUSED)
        }
    };
    reply.headers_mut().insert(OUTCOME, outcome);
    let server = result.server.and_then(|server| HeaderValue::from_str(&server).ok());
    server.into_iter().for_each(|server| {
        reply.headers_mut().insert(SERVER, server);
    });
    reply
}

/// Request of another node.
struct ReceivedRequest {
    request: RelayedRequest,
    /// Whether the node takes the server out of the answer. Earlier builds, which do not send their
    /// name, would pass it on to their callers.
    is_server_wanted: bool,
}

type Rejection = (Option<RequestId>, Refusal);

async fn receive(
    context: &Arc<RelayContext>,
    request: Request<CallerBody>,
) -> Result<ReceivedRequest, Rejection> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let is_forward = request.uri().path() == FORWARD_PATH;
    let max_bytes = request::max_body_bytes(context) + MAX_HEAD_BYTES;
    let body = request::read_body(context, request.into_body(), max_bytes, deadline).await;
    let (body, room) = body.map_err(|refusal| (None, refusal))?;
    let decoded = ensure_forward(is_forward).and_then(|()| message::decode(body, Instant::now()));
    let forwarded = decoded.map_err(|error| {
        log::warn!("event=forwarded_request_unreadable error=\"{error:#}\"");
        (None, Refusal::new(RefusalReason::BodyIncomplete))
    })?;
    let id = forwarded.id.clone();
    log::info!(
        "event=forward_received request={id} route={} from={} runs={} max_attempts={}",
        forwarded.route.name,
        forwarded.sender,
        forwarded.attempts.possible_runs,
        forwarded.route.max_attempts
    );
    let now = Instant::now();
    if !context.stop.takes_requests(now) {
        return Err((Some(id), Refusal::stopping(now)));
    }
    let is_server_wanted = !forwarded.sender.is_empty();
    match RelayedRequest::forwarded(context, forwarded, room) {
        Ok(request) => Ok(ReceivedRequest { request, is_server_wanted }),
        Err(refusal) => Err((Some(id), refusal)),
    }
}

fn ensure_forward(is_forward: bool) -> anyhow::Result<()> {
    ensure!(is_forward, "step=decode unknown path");
    Ok(())
}

/// Returns the software version as the value of a header.
pub fn software_header(software: &str) -> HeaderValue {
    HeaderValue::from_str(software).unwrap_or(HeaderValue::from_static(""))
}

/// Request of another node that counts until its answer has begun.
struct ForwardedCount<'a>(&'a RelayContext);

impl<'a> ForwardedCount<'a> {
    fn begin(context: &'a RelayContext) -> Self {
        context.forwarded_requests.fetch_add(1, Ordering::Relaxed);
        context.metrics.forwarded_requests.inc();
        Self(context)
    }
}

impl Drop for ForwardedCount<'_> {
    fn drop(&mut self) {
        self.0.forwarded_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
