//! The story of one request, read from the logs of the nodes.

use std::fmt::Write as _;
use std::io::BufRead;

/// Milliseconds around a request in which events of its servers belong to its story.
const MARGIN_MS: i64 = 2_000;

/// Field that names the request.
const REQUEST_FIELD: &str = "request";

/// Field that names a server.
const SERVER_FIELD: &str = "server";

/// Log line as far as a story needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
struct LogLine {
    /// What stands before the line, such as the name that a log collector adds.
    source: String,
    unix_ms: i64,
    /// Event with its fields.
    text: String,
}

/// Reads logs and returns the lines of `request`, with those about its servers meanwhile, by time.
///
/// # Errors
///
/// Input that cannot be read.
pub fn trace_request(input: impl BufRead, request: &str) -> std::io::Result<String> {
    let mut lines = Vec::new();
    for line in input.split(b'\n') {
        lines.extend(parse(&String::from_utf8_lossy(&line?)));
    }
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| field(&line.text, REQUEST_FIELD) == Some(request)).collect();
    let times = own.iter().map(|line| line.unix_ms);
    let (Some(first_ms), Some(last_ms)) = (times.clone().min(), times.max()) else {
        return Ok(format!("no line names request {request}\n"));
    };
    let servers: Vec<&str> =
        own.iter().filter_map(|line| field(&line.text, SERVER_FIELD)).collect();
    let belongs = |line: &&LogLine| match field(&line.text, REQUEST_FIELD) {
        Some(other) => other == request,
        None => {
            let is_near = (first_ms - MARGIN_MS..=last_ms + MARGIN_MS).contains(&line.unix_ms);
            is_near
                && field(&line.text, SERVER_FIELD).is_some_and(|server| servers.contains(&server))
        }
    };
    let mut story: Vec<&LogLine> = lines.iter().filter(belongs).collect();
    story.sort_by_key(|line| line.unix_ms);
    let mut text = String::new();
    for LogLine { source, unix_ms, text: event } in story {
        writeln!(text, "{:>+8} ms  {source:<28} {event}", unix_ms - first_ms)
            .expect("a String takes every write");
    }
    Ok(text)
}

/// Returns the line, none if it is not one of the node's.
fn parse(line: &str) -> Option<LogLine> {
    let (source, rest) = line.split_once("ts=")?;
    let (timestamp, rest) = rest.split_once(' ')?;
    let unix_ms = timestamp.parse::<jiff::Timestamp>().ok()?.as_millisecond();
    let event = rest.find("event=")?;
    Some(LogLine { source: source.trim().to_owned(), unix_ms, text: rest[event..].to_owned() })
}

/// Returns the value of a field.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
