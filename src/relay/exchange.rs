//! Handling of one request: admission, the search for a server, and the answer or refusal.

use super::refusal::{Refusal, RefusalReason};
use super::request::{RelayedRequest, receive};
use super::server_search::serve;
use super::{RelayContext, quota, stream};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::http_server::Reply;
use crate::types::RequestId;
use futures_lite::FutureExt;
use http::Request;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Instant;

/// Handles a request and returns the answer for the caller.
pub async fn handle(context: Arc<RelayContext>, request: Request<CallerBody>) -> Reply {
    let arrived_at = Instant::now();
    let head = context.ports.dialect.read_request(request.headers());
    let id = head.id.clone();
    let received = match receive(&context, request, head, arrived_at).await {
        Ok(_) if !context.stop.takes_requests(Instant::now()) => {
            Err(Refusal::stopping(Instant::now()))
        }
        Ok(request) => quota::check(&context, request).await,
        Err(refusal) => Err(refusal),
    };
    let request = match received {
        Ok(request) => Arc::new(request),
        Err(refusal) => {
            log_refusal(id.as_ref(), None, refusal, arrived_at);
            return refusal.reply(&context, id.as_ref());
        }
    };
    let mut unanswered =
        UnansweredRequest { context: &context, request: &request, is_answered: false };
    let stopped = async {
        context.stop.requests_end().await;
        Err(Refusal::new(RefusalReason::OutcomeUnknown))
    };
    let served = serve(&context, &request).or(stopped).await;
    unanswered.is_answered = true;
    match served {
        Ok(reply) => reply,
        Err(refusal) => {
            log_refusal(Some(&request.id), Some(&request.route.name), refusal, arrived_at);
            if refusal.reason.promises_no_run() {
                quota::give_back_grant(&context, &request);
            }
            stream::count_outcome(&context, &request, "refused");
            refusal.reply(&context, Some(&request.id))
        }
    }
}

/// Logs and counts a request whose task is dropped before it was answered, since the caller left.
struct UnansweredRequest<'a> {
    context: &'a RelayContext,
    request: &'a RelayedRequest,
    is_answered: bool,
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        stream::count_outcome(self.context, self.request, "left");
        log::info!(
            "event=left request={} route={} age_ms={}",
            self.request.id,
            self.request.route.name,
            self.request.age_ms()
        );
    }
}

fn log_refusal(id: Option<&RequestId>, route: Option<&SmolStr>, refusal: Refusal, since: Instant) {
    let retry_ms =
        refusal.retry_at.map_or(0, |at| at.saturating_duration_since(Instant::now()).as_millis());
    log::info!(
        "event=refused request={} route={} reason={} status={} retry_ms={retry_ms} age_ms={}",
        id.map_or("none", |id| id.as_str()),
        route.map_or("none", |route| route.as_str()),
        refusal.reason.name(),
        refusal.reason.status().as_u16(),
        since.elapsed().as_millis()
    );
}
