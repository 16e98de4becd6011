//! Dispatch of callers' requests to handlers.

use super::handlers::{health, metrics, models, service_call, text_generation};
use super::reply::failure_reply;
use super::{Failure, FailureCode, TrafficContext};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::http_server::Reply;
use crate::logging::Quoted;
use crate::traffic::generation_request::Endpoint;
use http::{Method, Request};
use std::sync::Arc;

/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Handler that a path belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Route {
    Generation(Endpoint),
    Models,
    ServiceCall,
    Healthz,
    Readyz,
    Metrics,
}

/// Runs the handler for `request`; counts, logs and encodes its failure, if any.
pub async fn dispatch(context: Arc<TrafficContext>, request: Request<CallerBody>) -> Reply {
    let failure_context = Arc::clone(&context);
    let result = match find_route(request.method(), request.uri().path()) {
        Ok(Route::Generation(endpoint)) => {
            text_generation::handle(context, endpoint, request).await
        }
        Ok(Route::Models) => models::handle(&context, &request),
        Ok(Route::ServiceCall) => service_call::handle(&context, request).await,
        Ok(Route::Healthz) => Ok(health::live()),
        Ok(Route::Readyz) => Ok(health::ready(&context)),
        Ok(Route::Metrics) => Ok(metrics::handle(&context)),
        Err(failure) => Err(failure),
    };
    result.unwrap_or_else(|failure| {
        failure_context.count_failure(&failure);
        log::info!(
            "event=refused code={} run={} message={}",
            failure.code,
            failure.run_state,
            Quoted(&failure.message)
        );
        failure_reply(&failure)
    })
}

fn find_route(method: &Method, path: &str) -> Result<Route, Failure> {
    if path.starts_with(SERVICES_PREFIX) {
        return Ok(Route::ServiceCall);
    }
    let (allowed_method, route) = match path {
        "/v1/chat/completions" => (Method::POST, Route::Generation(Endpoint::ChatCompletions)),
        "/v1/completions" => (Method::POST, Route::Generation(Endpoint::Completions)),
        "/v1/models" => (Method::GET, Route::Models),
        "/healthz" => (Method::GET, Route::Healthz),
        "/readyz" => (Method::GET, Route::Readyz),
        "/metrics" => (Method::GET, Route::Metrics),
        _ => {
            let message = format!("nothing is served at {path}");
            return Err(Failure::not_run(FailureCode::UnknownPath, message));
        }
    };
    if *method == allowed_method {
        return Ok(route);
    }
    let message = format!("{path} takes {allowed_method}, not {method}");
    Err(Failure::not_run(FailureCode::UnknownMethod, message))
}
