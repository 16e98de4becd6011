//! Commands that show nodes, backend servers, routing decisions and request traces.

use super::exit::{CliError, ExitStatus};
use super::options::Connection;
use super::output::{print_json, print_line};
use super::trace;
use crate::admin::messages::{
    ExplainReply, ExplainRequest, NodeReply, NodesReply, ServersReply, StatusReply,
};
use crate::decision::routing::explain::ServerBelief;
use crate::document::hash_key;
use crate::types::WorkspaceId;
use serde_json::{Value, json};
use std::io::Read;
use std::path::Path;

/// Prints the status of a node and the nodes that it knows.
pub async fn status(connection: &Connection) -> Result<ExitStatus, CliError> {
    let client = connection.client();
    let status: StatusReply = client.get("/admin/v1/status").await?;
    let nodes: NodesReply = client.get("/admin/v1/nodes").await?;
    if connection.json {
        print_json(&json!({ "status": status, "nodes": nodes.nodes }));
        return Ok(ExitStatus::Success);
    }
    print_line(&format!(
        "{} zone={} version={} draining={} accepted_revision={} in_force={}",
        status.instance,
        status.availability_zone,
        status.version,
        status.draining,
        status.accepted_revision,
        status.in_force
    ));
    for fault in &status.held_back {
        print_line(&format!("held back: {}: {}", fault.path, fault.message));
    }
    if let Some(offset) = status.newer_record_offset {
        print_line(&format!("record {offset} needs a later build"));
    }
    for record in &status.bad_records {
        print_line(&format!("bad record {}: {}", record.offset, record.reason));
    }
    for (stream, reply) in &status.streams {
        let error = reply.error.as_deref().unwrap_or("none");
        let read_ms_ago = format_optional(reply.read_ms_ago);
        print_line(&format!("stream {stream} read_ms_ago={read_ms_ago} error={error}"));
    }
    nodes.nodes.iter().for_each(|node| print_line(&format_node(node)));
    Ok(ExitStatus::Success)
}

/// Prints the backend servers as a node knows them.
pub async fn servers(connection: &Connection) -> Result<ExitStatus, CliError> {
    let reply: ServersReply = connection.client().get("/admin/v1/servers").await?;
    if connection.json {
        print_json(&reply);
        return Ok(ExitStatus::Success);
    }
    reply.servers.iter().for_each(|server| print_line(&format_server(server)));
    Ok(ExitStatus::Success)
}

/// Prints the routing decision for a request without sending it, and the cache state of its prompt.
pub async fn explain(
    connection: &Connection,
    workspace: WorkspaceId,
    file: &Path,
) -> Result<ExitStatus, CliError> {
    let file_error = |message: String| {
        CliError::new(ExitStatus::Failure, format!("{}: {message}", file.display()))
    };
    let text = std::fs::read_to_string(file).map_err(|error| file_error(error.to_string()))?;
    let request: Value =
        serde_json::from_str(&text).map_err(|error| file_error(error.to_string()))?;
    let request = ExplainRequest { workspace, request };
    let reply: ExplainReply = connection.client().post("/admin/v1/explain", &request).await?;
    if connection.json {
        print_json(&reply);
        return Ok(ExitStatus::Success);
    }
    match &reply.decision {
        Some(decision) => print_line(&format!(
            "server={} reason={} runner_up={} prompt_tokens={} expected_hit_tokens={} \
             queued_requests={}",
            decision.server,
            decision.reason,
            decision.runner_up.as_deref().unwrap_or("none"),
            decision.prompt_tokens,
            decision.expected_hit_tokens,
            decision.queued_requests
        )),
        None => print_line("no server is eligible"),
    }
    for level in &reply.levels {
        let holders: Vec<String> = level
            .holders
            .iter()
            .map(|holder| format!("{}({} ms ago)", holder.server, holder.used_ms_ago))
            .collect();
        print_line(&format!(
            "level key={} tokens={} kept_tokens={} holders={}",
            level.prefix_key,
            level.tokens,
            format_optional(level.kept_tokens),
            if holders.is_empty() { String::from("none") } else { holders.join(",") }
        ));
    }
    Ok(ExitStatus::Success)
}

/// Reads a key from standard input and prints its hash.
pub fn hash_key_from_input() -> Result<ExitStatus, CliError> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(|error| CliError::new(ExitStatus::Failure, error.to_string()))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(CliError::new(ExitStatus::Failure, "no key on standard input"));
    }
    print_line(&hash_key(key));
    Ok(ExitStatus::Success)
}

/// Reads logs of nodes from standard input and prints the trace of `request`.
pub fn trace_from_input(request: &str) -> Result<ExitStatus, CliError> {
    let lines = trace::trace_request(std::io::stdin().lock(), request)
        .map_err(|error| CliError::new(ExitStatus::Failure, error.to_string()))?;
    print_line(lines.trim_end());
    Ok(ExitStatus::Success)
}

fn format_node(node: &NodeReply) -> String {
    format!(
        "node {} zone={} state={} in_force={}",
        node.instance,
        node.availability_zone,
        node.state,
        format_optional(node.in_force)
    )
}

fn format_server(server: &ServerBelief) -> String {
    format!(
        "{} address={} in_service={} leaving={} failures={} own_requests={} \
         reported_requests={} reported_ms_ago={} models={}",
        server.server,
        server.address,
        server.in_service,
        server.leaving,
        server.failures,
        server.own_requests,
        format_optional(server.reported_requests),
        format_optional(server.reported_ms_ago),
        server.models.join(",")
    )
}

fn format_optional(value: Option<impl ToString>) -> String {
    value.map_or_else(|| String::from("unknown"), |value| value.to_string())
}
