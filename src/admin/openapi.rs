//! OpenAPI description of the administration API, generated from the routes and the message types.

use super::error::ErrorCode;
use super::messages::{
    DecisionsReply, DocumentReply, EditReply, ErrorReply, ExplainReply, ExplainRequest,
    HistoryReply, LeasesReply, NodesReply, PowerReply, RestoreRequest, ServersReply, StatusReply,
    ValidateReply, ValidateRequest,
};
use super::routes::AdminRoute;
use crate::decision::configuration::{EditEntry, EditRequest};
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, SchemaGenerator};
use serde_json::{Map, Value, json};
use strum::IntoEnumIterator;

/// Returns the OpenAPI description.
pub fn description() -> Value {
    let mut generator = SchemaSettings::openapi3().into_generator();
    let mut paths = Map::new();
    for route in AdminRoute::iter() {
        let operation = operation(route, &mut generator);
        let path = paths.entry(route.path()).or_insert_with(|| json!({}));
        path[route.method().as_str().to_ascii_lowercase()] = operation;
    }
    json!({
        "openapi": "3.0.3",
        "info": {
            "title": "coriandertide administration API",
            "version": env!("CARGO_PKG_VERSION"),
        },
        "paths": paths,
        "components": {
            "securitySchemes": { "key": { "type": "http", "scheme": "bearer" } },
            "schemas": generator.take_definitions(true),
        },
    })
}

fn operation(route: AdminRoute, generator: &mut SchemaGenerator) -> Value {
    let id: &'static str = route.into();
    let error = generator.subschema_for::<ErrorReply>();
    let mut operation = json!({
        "operationId": id,
        "responses": {
            "200": success_response(route, generator),
            "default": {
                "description": "Error",
                "content": { "application/json": { "schema": error } },
            },
        },
    });
    if let Some(role) = route.min_role() {
        operation["security"] = json!([{ "key": [] }]);
        operation["x-least-role"] = json!(role);
        operation["x-error-codes"] = error_codes(route);
    }
    if let Some(schema) = request_schema(route, generator) {
        let content = json!({ "application/json": { "schema": schema } });
        operation["requestBody"] = json!({ "required": true, "content": content });
    }
    if let Some(parameter) = parameter(route) {
        operation["parameters"] = json!([parameter]);
    }
    operation
}

fn success_response(route: AdminRoute, generator: &mut SchemaGenerator) -> Value {
    let schema = match route {
        AdminRoute::Document => schema::<DocumentReply>(generator),
        AdminRoute::History => schema::<HistoryReply>(generator),
        AdminRoute::Validate => schema::<ValidateReply>(generator),
        AdminRoute::SubmitEdit | AdminRoute::Restore => schema::<EditReply>(generator),
        AdminRoute::FindEdit => schema::<EditEntry>(generator),
        AdminRoute::Status => schema::<StatusReply>(generator),
        AdminRoute::Nodes => schema::<NodesReply>(generator),
        AdminRoute::Servers => schema::<ServersReply>(generator),
        AdminRoute::Leases => schema::<LeasesReply>(generator),
        AdminRoute::Power => schema::<PowerReply>(generator),
        AdminRoute::Explain => schema::<ExplainReply>(generator),
        AdminRoute::Decisions => schema::<DecisionsReply>(generator),
        AdminRoute::Openapi => json!({ "type": "object" }),
        AdminRoute::Metrics => {
            return json!({
                "description": "Metrics",
                "content": { "text/plain": { "schema": { "type": "string" } } },
            });
        }
    };
    json!({ "description": "Success", "content": { "application/json": { "schema": schema } } })
}

fn request_schema(route: AdminRoute, generator: &mut SchemaGenerator) -> Option<Value> {
    match route {
        AdminRoute::Validate => Some(schema::<ValidateRequest>(generator)),
        AdminRoute::SubmitEdit => Some(schema::<EditRequest>(generator)),
        AdminRoute::Restore => Some(schema::<RestoreRequest>(generator)),
        AdminRoute::Explain => Some(schema::<ExplainRequest>(generator)),
        _ => None,
    }
}

fn parameter(route: AdminRoute) -> Option<Value> {
    let (location, name) = match route {
        AdminRoute::FindEdit => ("path", "edit_id"),
        AdminRoute::History => ("query", "section"),
        _ => return None,
    };
    let schema = json!({ "type": "string" });
    Some(json!({ "in": location, "name": name, "required": location == "path", "schema": schema }))
}

/// Returns the error codes that a route may reply with.
fn error_codes(route: AdminRoute) -> Value {
    let codes = ErrorCode::iter().filter(|code| may_occur_on(*code, route));
    codes.map(<&'static str>::from).collect()
}

/// Returns whether a reply of `route` may have `code`.
fn may_occur_on(code: ErrorCode, route: AdminRoute) -> bool {
    match code {
        ErrorCode::InvalidKey | ErrorCode::Forbidden | ErrorCode::NotReady => true,
        ErrorCode::InvalidRequest => route.method() == http::Method::POST,
        ErrorCode::NotFound => route == AdminRoute::FindEdit,
        ErrorCode::UnknownPath | ErrorCode::UnknownMethod => false,
        ErrorCode::NotExpired => route == AdminRoute::Restore,
        ErrorCode::InvalidDocument | ErrorCode::LogUnavailable | ErrorCode::OutcomeUnknown => {
            matches!(route, AdminRoute::SubmitEdit | AdminRoute::Restore)
        }
        ErrorCode::Outdated | ErrorCode::Overtaken | ErrorCode::EditIdTaken => {
            route == AdminRoute::SubmitEdit
        }
    }
}

fn schema<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    generator.subschema_for::<T>().to_value()
}
