//! Software version at which a stream goes on that its caller resumes: tells other nodes where
//! streams began, and asks them.

use super::RelayContext;
use super::refusal::{Refusal, RefusalReason};
use super::request::RelayedRequest;
use crate::adapters::datagram_socket::DatagramSocket;
use crate::adapters::deadline::timeout_at;
use crate::decision::relay::stream_origins::{
    FoundVersion, OriginAnswer, OriginSearch, StreamKey, StreamOrigin, stream_key,
};
use crate::links::Datagram;
use crate::links::datagram::MAX_DATAGRAM_BYTES;
use crate::metrics::labels::ReasonLabels;
use crate::types::SoftwareVersion;
use async_channel::Sender;
use smol::Timer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time in which other nodes must answer: several round trips between availability zones, and the
/// time that a busy node takes.
const SEARCH_PERIOD: Duration = Duration::from_millis(250);

/// Time after which nodes that have not answered are asked again, since datagrams may be lost.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(60);

/// Delay after the socket failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time beyond the caller's for which the origin of its stream is kept.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1_000);

/// Answer of the node at an address.
type ReceivedAnswer = (SocketAddr, OriginAnswer);

/// Socket of queries between nodes, and the queries that wait for answers.
#[derive(Debug)]
pub struct OriginQueries {
    socket: DatagramSocket,
    waiting: Mutex<HashMap<u64, Sender<ReceivedAnswer>>>,
}

impl OriginQueries {
    /// Returns the state of a node without queries.
    pub fn new(socket: DatagramSocket) -> Self {
        Self { socket, waiting: Mutex::default() }
    }

    /// Returns the address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.socket.address()
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, Sender<ReceivedAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Query that is forgotten when dropped.
struct WaitingQuery<'a> {
    queries: &'a OriginQueries,
    number: u64,
}

impl Drop for WaitingQuery<'_> {
    fn drop(&mut self) {
        self.queries.waiting().remove(&self.number);
    }
}

/// Returns the software version at which the stream goes on that the caller resumes, `None` for a
/// new one.
///
/// # Errors
///
/// The version is not certain.
pub async fn find_software(
    context: &RelayContext,
    request: &RelayedRequest,
) -> Result<Option<SoftwareVersion>, Refusal> {
    if !request.is_resumption() {
        return Ok(None);
    }
    let stream = request.head.resumes.as_ref().map(stream_key);
    let asked_at = Instant::now();
    let mut search = context.origins().search(stream, &request.service, asked_at);
    if !search.is_over() {
        ask_other_nodes(context, stream, request, &mut search).await;
    }
    let (source, software) = match search.result() {
        Some(FoundVersion::Known(software)) => ("known", Some(software)),
        Some(FoundVersion::Only(software)) => ("only", Some(software)),
        None => ("unknown", None),
    };
    log::info!(
        "event=stream_taken_up request={} stream={} after={} software={} source={source} answers={} \
         waited_ms={}",
        request.id,
        request.head.resumes.as_deref().unwrap_or("none"),
        request.head.last_event_id.as_deref().unwrap_or("none"),
        software.as_deref().unwrap_or("none"),
        search.answers(),
        asked_at.elapsed().as_millis()
    );
    let labels = ReasonLabels { reason: source.to_owned() };
    context.metrics.stream_searches.get_or_create(&labels).inc();
    match software {
        Some(software) => Ok(Some(software)),
        None => Err(Refusal::new(RefusalReason::UnknownStream)),
    }
}

async fn ask_other_nodes(
    context: &RelayContext,
    stream: Option<StreamKey>,
    request: &RelayedRequest,
    search: &mut OriginSearch,
) {
    let number = context.next_number.fetch_add(1, Ordering::Relaxed);
    let (sender, answers) = async_channel::bounded(search.unanswered().len().max(1));
    context.origin_queries.waiting().insert(number, sender);
    let _query = WaitingQuery { queries: &context.origin_queries, number };
    let query = Datagram::OriginQuery { number, stream, service: request.service.clone() };
    let deadline = request.deadline.min(Instant::now() + SEARCH_PERIOD);
    while !search.is_over() && Instant::now() < deadline {
        send(context, &query, search.unanswered());
        let ask_again_at = deadline.min(Instant::now() + ASK_AGAIN_DELAY);
        while !search.is_over() {
            let Ok(Ok((address, answer))) = timeout_at(ask_again_at, answers.recv()).await else {
                break;
            };
            search.add_answer(address, answer);
        }
    }
}

/// Records where a resumable stream began, and tells its owners.
pub fn record_origin(context: &RelayContext, request: &RelayedRequest, software: &SoftwareVersion) {
    let stream = request.head.resumes.as_ref().unwrap_or(&request.id);
    let origin = StreamOrigin { service: request.service.clone(), software: software.clone() };
    let expires_at = request.caller_deadline + EXPIRY_MARGIN;
    let (record, owners) =
        context.origins().begin(stream_key(stream), origin, expires_at, Instant::now());
    send(context, &Datagram::Origin(record), &owners);
    log::debug!(
        "event=stream_origin_told request={} stream={stream} software={software} nodes={}",
        request.id,
        owners.len()
    );
}

fn send(context: &RelayContext, datagram: &Datagram, nodes: &[SocketAddr]) {
    match datagram.encode(&context.settings.partner_key) {
        Ok(bytes) => {
            nodes.iter().for_each(|node| context.origin_queries.socket.send(&bytes, *node));
        }
        Err(error) => log::warn!("event=datagram_not_sent error=\"{error:#}\""),
    }
}

/// Receives the datagrams of other nodes until the executor is dropped.
pub async fn receive_datagrams(context: Arc<RelayContext>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, sender) = match context.origin_queries.socket.receive(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=datagram_not_received error=\"{error}\"");
                Timer::after(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..len], &context.settings.partner_key) {
            Ok(datagram) => handle_datagram(&context, sender, datagram),
            Err(error) => log::debug!("event=datagram_ignored peer={sender} error=\"{error:#}\""),
        }
    }
}

fn handle_datagram(context: &RelayContext, sender: SocketAddr, datagram: Datagram) {
    let now = Instant::now();
    match datagram {
        Datagram::Origin(record) => context.origins().receive(record, now),
        Datagram::OriginQuery { number, stream, service } => {
            let answer = context.origins().answer(stream, &service, now);
            send(context, &Datagram::OriginAnswer { number, answer }, &[sender]);
        }
        Datagram::OriginAnswer { number, answer } => {
            let waiting = context.origin_queries.waiting().get(&number).cloned();
            if waiting.is_none_or(|waiting| waiting.try_send((sender, answer)).is_err()) {
                log::debug!("event=datagram_ignored peer={sender} reason=query_ended");
            }
        }
    }
}
