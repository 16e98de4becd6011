//! Trace of one request, extracted from the logs of the nodes.

use std::fmt::Write as _;
use std::io::BufRead;

/// Time before and after a request in which events of its servers belong to the trace.
const SERVER_EVENT_MARGIN_MS: i64 = 2_000;

/// Key of the request id.
const REQUEST_KEY: &str = "request";

/// Key of a backend server's name.
const SERVER_KEY: &str = "server";

/// Parsed log line of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
struct LogLine {
    /// Text before the timestamp, such as a prefix added by a log collector.
    source: String,
    /// Timestamp in Unix milliseconds.
    unix_ms: i64,
    /// Event with its key=value pairs.
    event: String,
}

/// Returns the log lines of `request`, and those about its servers around that time that name no
/// request, in order of time.
///
/// # Errors
///
/// The error of reading `input`.
pub fn trace_request(input: impl BufRead, request: &str) -> std::io::Result<String> {
    let mut lines = Vec::new();
    for line in input.split(b'\n') {
        lines.extend(parse_line(&String::from_utf8_lossy(&line?)));
    }
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| value(&line.event, REQUEST_KEY) == Some(request)).collect();
    let times = request_lines.iter().map(|line| line.unix_ms);
    let (Some(first_ms), Some(last_ms)) = (times.clone().min(), times.max()) else {
        return Ok(format!("no line names request {request}\n"));
    };
    let servers: Vec<&str> =
        request_lines.iter().filter_map(|line| value(&line.event, SERVER_KEY)).collect();
    let is_in_trace = |line: &&LogLine| match value(&line.event, REQUEST_KEY) {
        Some(line_request) => line_request == request,
        None => {
            let is_near = (first_ms - SERVER_EVENT_MARGIN_MS..=last_ms + SERVER_EVENT_MARGIN_MS)
                .contains(&line.unix_ms);
            is_near
                && value(&line.event, SERVER_KEY).is_some_and(|server| servers.contains(&server))
        }
    };
    let mut trace: Vec<&LogLine> = lines.iter().filter(is_in_trace).collect();
    trace.sort_by_key(|line| line.unix_ms);
    let mut text = String::new();
    for LogLine { source, unix_ms, event } in trace {
        writeln!(text, "{:>+8} ms  {source:<28} {event}", unix_ms - first_ms)
            .expect("writing to a String cannot fail");
    }
    Ok(text)
}

/// Parses a log line; returns none if it does not have the format of a node's log.
fn parse_line(line: &str) -> Option<LogLine> {
    let (source, rest) = line.split_once("ts=")?;
    let (timestamp, rest) = rest.split_once(' ')?;
    let unix_ms = timestamp.parse::<jiff::Timestamp>().ok()?.as_millisecond();
    let event_start = rest.find("event=")?;
    Some(LogLine {
        source: source.trim().to_owned(),
        unix_ms,
        event: rest[event_start..].to_owned(),
    })
}

/// Returns the value of a key=value pair, none if `event` has no such key.
fn value<'a>(event: &'a str, key: &str) -> Option<&'a str> {
    event.split(' ').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}
