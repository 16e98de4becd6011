//! Dispatch of callers' requests to the handlers.

use super::handlers::{health, metrics, models, service_call, text_generation};
use super::reply::failure_reply;
use super::{Failure, FailureCode, TrafficContext};
use crate::adapters::http_server::Reply;
use crate::logging::Quoted;
use crate::traffic::generation_request::Endpoint;
use http::{Method, Request};
use hyper::body::Incoming;
use std::sync::Arc;

/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Path that callers reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Route {
    Generation(Endpoint),
    Models,
    ServiceCall,
    Healthz,
    Readyz,
    Metrics,
}

/// Answers `request`.
pub async fn dispatch(context: Arc<TrafficContext>, request: Request<Incoming>) -> Reply {
    let counted = Arc::clone(&context);
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
        counted.count_failure(&failure);
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
    let (expected, route) = match path {
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
    if *method == expected {
        return Ok(route);
    }
    let message = format!("{path} takes {expected}, not {method}");
    Err(Failure::not_run(FailureCode::UnknownMethod, message))
}
