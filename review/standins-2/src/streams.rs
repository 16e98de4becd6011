//! Clients of a resumable streaming route: they read a stream, and take it up again on a new channel if
//! it breaks off.

use crate::http;
use crate::record::Record;
use crate::site::HOST;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a client waits for the whole stream.
const DEADLINE: Duration = Duration::from_millis(15_000);

/// Client of a stream.
#[derive(Clone)]
pub struct Client {
    pub number: usize,
    pub key: &'static str,
    /// Shared part of its prompt.
    pub part: String,
    /// Silence after which it abandons the stream.
    pub patience: Duration,
    pub retries: Retries,
}

/// Tries of a client after the first one, and the pause before each.
#[derive(Clone, Copy)]
pub struct Retries {
    pub count: usize,
    pub pause: Duration,
}

/// Try of a client that had an answer.
#[derive(Debug)]
pub struct Try {
    pub at: Instant,
    /// Whether it takes up a stream that an earlier one has begun.
    pub takes_up: bool,
    /// Whether it brought an event.
    pub is_served: bool,
}

/// What a client got of one stream over its tries.
#[derive(Debug, Default)]
pub struct Received {
    pub id: String,
    pub last_event: u64,
    pub is_complete: bool,
    pub versions: BTreeSet<String>,
    /// Whether an event was missing or came twice.
    pub is_out_of_order: bool,
    pub tries: Vec<Try>,
}

/// Reads a stream; `entry` gives the address of a node that takes new channels.
pub fn read_stream(
    client: &Client,
    entry: &dyn Fn(usize) -> Option<SocketAddr>,
    record: &Record,
) -> Received {
    let Client { number, key, part, patience, retries } = client;
    let first_id = format!("{:08x}{:08x}", 0x5eed_0000_u32 + *number as u32, std::process::id());
    let mut received = Received { id: first_id.clone(), ..Received::default() };
    let deadline = Instant::now() + DEADLINE;
    for attempt in 0..=retries.count {
        if attempt > 0 {
            std::thread::sleep(retries.pause);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let id = if attempt == 0 { first_id.clone() } else { format!("{first_id}{attempt:02x}") };
        let Some(address) = entry(number + attempt) else { continue };
        let mut head = format!(
            "POST /note/2f HTTP/1.1\r\nHost: {HOST}\r\nCoriandertide-Request-Id: {id}\r\n\
             Coriandertide-Model: {}\r\nCoriandertide-Token-Usage: 826,90\r\n\
             Coriandertide-Prompt-Prefix: {part}:198,{number:06x}ff:628\r\n\
             Coriandertide-Deadline-Ms: {}\r\nAuthorization: Bearer {key}\r\nContent-Length: 6\r\n",
            crate::engine::MODEL,
            left.as_millis()
        );
        if received.last_event > 0 {
            head += &format!("Last-Event-Id: {}\r\nResumes: {first_id}\r\n", received.last_event);
        }
        head += "\r\n";
        let after = received.last_event;
        let (at, takes_up) = (Instant::now(), after > 0);
        match http::send(address, &head, b"prompt", *patience) {
            Ok(answer) if answer.status == 200 => {
                let versions = read_events(answer, &mut received);
                let is_served = received.last_event > after;
                received.tries.push(Try { at, takes_up, is_served });
                record.add(format!(
                    "client got of {id} (of {first_id}): events {} to {} by {} complete={}",
                    after + 1,
                    received.last_event,
                    versions.into_iter().collect::<Vec<_>>().join("+"),
                    received.is_complete
                ));
            }
            Ok(answer) => {
                received.tries.push(Try { at, takes_up, is_served: false });
                record.add(format!(
                    "client got of {id} (of {first_id}): {} Retry-After {}",
                    answer.status,
                    answer.header("retry-after").unwrap_or("none")
                ));
            }
            Err(error) => record.add(format!("client got of {id} (of {first_id}): {error}")),
        }
        if received.is_complete {
            break;
        }
    }
    received
}

fn read_events(mut answer: http::Answer, received: &mut Received) -> BTreeSet<String> {
    let mut versions = BTreeSet::new();
    let mut text = String::new();
    loop {
        match answer.next_data() {
            Ok(data) if data.is_empty() => {
                received.is_complete = text.is_empty();
                break;
            }
            Ok(data) => text += &String::from_utf8_lossy(&data),
            Err(_) => break,
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| {
                event
                    .lines()
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap_or_default()
                    .trim()
                    .to_owned()
            };
            let number: u64 = field("id:").parse().unwrap_or(0);
            received.is_out_of_order |= number != received.last_event + 1;
            received.last_event = number;
            versions.insert(field("data:"));
        }
    }
    received.versions.extend(versions.iter().cloned());
    versions
}
