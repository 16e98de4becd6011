//! Callers: they begin streams, and take a stream up at another node if its channel breaks.

use crate::http::{Answer, Event, call};
use crate::server::MODEL;
use crate::site::{HOST, Site};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time for which a caller waits for the whole stream.
const DEADLINE: Duration = Duration::from_millis(15_000);

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub node: usize,
    pub status: u16,
    pub events: Vec<Event>,
    pub is_complete: bool,
    /// Whether the node was in touch: not started and not told to stop in the time before, nor until
    /// the answer began.
    pub is_in_touch: bool,
}

impl Attempt {
    pub fn has_begun(&self) -> bool {
        self.status == 200 && !self.events.is_empty()
    }

    fn is_complete_stream(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

/// A stream: the attempt that began it, and those that took it up if it broke.
#[derive(Clone, Debug)]
pub struct Stream {
    pub first: Attempt,
    pub taken_up: Vec<Attempt>,
}

/// The platform's balancer: takes a node out after two misses, and in again after an answer.
pub struct Balancer {
    in_rotation: Mutex<Vec<bool>>,
    next: AtomicU64,
}

impl Balancer {
    pub fn start(site: &Arc<Site>) -> Arc<Self> {
        let balancer = Arc::new(Self {
            in_rotation: Mutex::new(vec![true; site.node_count()]),
            next: AtomicU64::new(0),
        });
        let (site, of_checks) = (Arc::clone(site), Arc::clone(&balancer));
        thread::spawn(move || {
            let mut misses = vec![0; site.node_count()];
            loop {
                for (index, missed) in misses.iter_mut().enumerate() {
                    *missed = if site.is_ready(index) { 0 } else { *missed + 1 };
                    let mut in_rotation = of_checks.in_rotation.lock().expect("no panic");
                    in_rotation[index] = *missed < 2 && (in_rotation[index] || *missed == 0);
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
        balancer
    }

    /// Returns a node in rotation other than `except`.
    pub fn choose(&self, except: Option<usize>) -> usize {
        let in_rotation = self.in_rotation.lock().expect("no panic").clone();
        let is_usable = |index: &usize| in_rotation[*index] && Some(*index) != except;
        let usable: Vec<usize> = (0..in_rotation.len()).filter(is_usable).collect();
        let all: Vec<usize> = (0..in_rotation.len()).collect();
        let nodes = if usable.is_empty() { all } else { usable };
        nodes[self.next.fetch_add(1, Ordering::SeqCst) as usize % nodes.len()]
    }
}

/// Prompt of a request: shared parts and one of its own.
pub fn prompt_headers(shared: &str, own: &str) -> Vec<(String, String)> {
    vec![
        ("Coriandertide-Model".to_owned(), MODEL.to_owned()),
        ("Coriandertide-Token-Usage".to_owned(), "1460,80".to_owned()),
        ("Coriandertide-Prompt-Prefix".to_owned(), format!("{shared},{own}:250")),
    ]
}

/// Sends a request to a node; `resumed` names the first attempt and the last event of a stream.
pub fn send(
    site: &Site,
    node: usize,
    id: &str,
    key: &str,
    prompt: Vec<(String, String)>,
    resumed: Option<(&str, u64)>,
    deadline: Instant,
) -> Answer {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let mut headers = vec![
        ("Host".to_owned(), HOST.to_owned()),
        ("Coriandertide-Request-Id".to_owned(), id.to_owned()),
        ("Coriandertide-Deadline-Ms".to_owned(), remaining.as_millis().to_string()),
        ("Authorization".to_owned(), format!("Bearer {key}")),
    ];
    let prompt_text = prompt.last().map(|(_, parts)| parts.clone()).unwrap_or_default();
    headers.extend(prompt);
    if let Some((first, last)) = resumed {
        headers.push(("Resumes".to_owned(), first.to_owned()));
        headers.push(("Last-Event-Id".to_owned(), last.to_string()));
    }
    // The body holds the prompt, so that no two are alike.
    let body = format!("tell me {}", prompt_text);
    call(site.node(node).callers, "POST", "/chat/1", &headers, body.as_bytes(), deadline)
}

fn attempt(
    site: &Site,
    node: usize,
    id: String,
    resumed: Option<(&str, u64)>,
    deadline: Instant,
    contact: Duration,
) -> Attempt {
    let stream = resumed.map_or(id.clone(), |(first, _)| first.to_owned());
    let what = resumed.map_or("begins".to_owned(), |(first, last)| {
        format!("takes up stream={first} after={last}")
    });
    site.record.line(&format!("client {id} {what} at node {node}"));
    let sent_at = Instant::now();
    let before = site.node(node);
    let prompt = prompt_headers(&format!("{stream}-a:800"), &format!("{stream}-b"));
    let answer = send(site, node, &id, "key-1", prompt, resumed, deadline);
    let is_calm = before.is_running && sent_at >= before.disturbed_at + contact;
    // An attempt that is refused ends at once; for one that goes on only its begin matters.
    let is_refused = answer.status != 200;
    let is_in_touch =
        is_calm && (!is_refused || site.node(node).disturbed_at == before.disturbed_at);
    let mut software: Vec<&str> = answer.events.iter().map(|event| event.data.as_str()).collect();
    software.dedup();
    let range = answer.events.first().zip(answer.events.last());
    site.record.line(&format!(
        "client {id} node={node} status={} events={} software={} complete={} in_touch={is_in_touch}",
        answer.status,
        range.map_or("none".to_owned(), |(first, last)| format!("{}-{}", first.id, last.id)),
        software.join("+"),
        answer.is_complete,
    ));
    Attempt {
        node,
        status: answer.status,
        events: answer.events,
        is_complete: answer.is_complete,
        is_in_touch,
    }
}

/// Starts callers within `spread`, each of which has one stream at a time until `is_over`, and takes a
/// broken one up after each of `retry_pauses`. Returns their threads.
pub fn start(
    site: &Arc<Site>,
    balancer: &Arc<Balancer>,
    callers: usize,
    spread: Duration,
    contact: Duration,
    retry_pauses: &'static [Duration],
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Stream>>> {
    let begin = |caller: usize| {
        let (site, balancer) = (Arc::clone(site), Arc::clone(balancer));
        let is_over = Arc::clone(is_over);
        thread::spawn(move || {
            thread::sleep(spread.mul_f64(caller as f64 / callers as f64));
            let mut streams = Vec::new();
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let deadline = Instant::now() + DEADLINE;
                let node = balancer.choose(None);
                let id = format!("c{caller}-{number}");
                let first = attempt(&site, node, id.clone(), None, deadline, contact);
                let mut taken_up: Vec<Attempt> = Vec::new();
                for (retry, pause) in retry_pauses.iter().enumerate() {
                    let latest = taken_up.last().unwrap_or(&first);
                    let events = || taken_up.iter().rev().chain([&first]);
                    let last = events().find_map(|attempt| attempt.events.last());
                    let Some(last) =
                        last.map(|event| event.id).filter(|_| !latest.is_complete_stream())
                    else {
                        break;
                    };
                    thread::sleep(*pause);
                    if Instant::now() >= deadline {
                        break;
                    }
                    let node = balancer.choose(Some(latest.node));
                    let resumed = Some((id.as_str(), last));
                    let id = format!("{id}r{}", retry + 1);
                    taken_up.push(attempt(&site, node, id, resumed, deadline, contact));
                }
                if first.status != 200 {
                    thread::sleep(Duration::from_millis(300));
                }
                streams.push(Stream { first, taken_up });
            }
            streams
        })
    };
    (0..callers).map(begin).collect()
}
