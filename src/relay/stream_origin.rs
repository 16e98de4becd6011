//! Software version at which a stream goes on that its caller resumes: tells other nodes where
//! streams began, and asks them.

use super::RelayContext;
use super::control::RelayControlEvent;
use super::peers::queries;
use super::refusal::{Refusal, RefusalReason};
use super::request::RelayedRequest;
use crate::adapters::deadline::timeout_at;
use crate::decision::relay::streams::{
    FoundVersion, OriginSearch, StreamKey, StreamOrigin, stream_key,
};
use crate::links::Datagram;
use crate::metrics::labels::ReasonLabels;
use crate::types::SoftwareVersion;
use smol::Timer;
use std::time::{Duration, Instant};

/// Time in which other nodes must answer: several round trips between availability zones, and the
/// time that a busy node takes.
const SEARCH_PERIOD: Duration = Duration::from_millis(250);

/// Time after which nodes that have not answered are asked again, since datagrams may be lost.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(60);

/// Time in which the list of servers must be confirmed: less than callers wait for a stream.
const CONFIRMATION_PERIOD: Duration = Duration::from_millis(900);

/// Period at which a search looks whether the list is confirmed.
const CONFIRMATION_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum streams whose owners are checked in a tick.
const MAX_REPLICATED_STREAMS: usize = 256;

/// Time beyond the caller's for which the origin of its stream is kept.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1_000);

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
    let asked = search.unanswered().len();
    ask_other_nodes(context, stream, request, &mut search).await;
    if search.needs_confirmation() {
        let deadline = request.deadline.min(asked_at + CONFIRMATION_PERIOD);
        await_confirmation(context, stream, &mut search, deadline).await;
    }
    let (source, software) = match search.result() {
        Some(FoundVersion::Known(software)) => ("known", Some(software)),
        Some(FoundVersion::Only(software)) => ("only", Some(software)),
        None => ("unknown", None),
    };
    log::info!(
        "event=stream_taken_up request={} stream={} after={} software={} source={source} asked={asked} \
         answers={} waited_ms={}",
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

/// Waits until the list of servers is confirmed, which shows whether a server of another version has
/// appeared that can have begun the stream.
async fn await_confirmation(
    context: &RelayContext,
    stream: Option<StreamKey>,
    search: &mut OriginSearch,
    deadline: Instant,
) {
    context.notify_control(RelayControlEvent::ServersQuestioned);
    while search.needs_confirmation() && Instant::now() < deadline {
        Timer::after(CONFIRMATION_POLL_PERIOD).await;
        search.update(&context.origins(), stream, Instant::now());
    }
}

async fn ask_other_nodes(
    context: &RelayContext,
    stream: Option<StreamKey>,
    request: &RelayedRequest,
    search: &mut OriginSearch,
) {
    let number = queries::next_query_number(context);
    let waiting = context.peer_queries.origins.begin(number, search.unanswered().len());
    let (number, service) = (waiting.number, request.service.clone());
    let query = Datagram::OriginQuery { number, stream, service };
    let deadline = request.deadline.min(Instant::now() + SEARCH_PERIOD);
    while !search.is_over() && Instant::now() < deadline {
        queries::send(context, &query, search.unanswered());
        let ask_again_at = deadline.min(Instant::now() + ASK_AGAIN_DELAY);
        while !search.is_over() {
            let Ok(Ok((address, answer))) = timeout_at(ask_again_at, waiting.answers.recv()).await
            else {
                break;
            };
            search.add_answer(address, answer, Instant::now());
        }
    }
}

/// Tells the nodes that have become owners of streams since the live nodes changed.
pub fn replicate_origins(context: &RelayContext, now: Instant) {
    let replicas = context.origins().next_replicas(MAX_REPLICATED_STREAMS, now);
    if replicas.is_empty() {
        return;
    }
    log::info!("event=stream_origins_replicated streams={}", replicas.len());
    for (record, owners) in replicas {
        queries::send(context, &Datagram::Origin(record), &owners);
    }
}

/// Records where a resumable stream began, and tells its owners.
pub fn record_origin(context: &RelayContext, request: &RelayedRequest, software: &SoftwareVersion) {
    let stream = request.head.resumes.as_ref().unwrap_or(&request.id);
    let origin = StreamOrigin { service: request.service.clone(), software: software.clone() };
    let expires_at = request.caller_deadline + EXPIRY_MARGIN;
    let (record, owners) =
        context.origins().begin(stream_key(stream), origin, expires_at, Instant::now());
    queries::send(context, &Datagram::Origin(record), &owners);
    log::debug!(
        "event=stream_origin_told request={} stream={stream} software={software} nodes={}",
        request.id,
        owners.len()
    );
}
