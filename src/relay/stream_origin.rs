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
use crate::types::{ServiceId, SoftwareVersion};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time in which other nodes must answer: several round trips between availability zones, and the
/// time that a busy node takes.
const SEARCH_PERIOD: Duration = Duration::from_millis(250);

/// Time after which nodes that have not answered are asked again, since datagrams may be lost.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(60);

/// Time in which the records of versions must be listed: less than callers wait for a stream.
const LISTING_PERIOD: Duration = Duration::from_millis(900);

/// Period at which a search looks whether the records are listed.
const LISTING_POLL_PERIOD: Duration = Duration::from_millis(10);

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
    let deadline = request.deadline.min(asked_at + LISTING_PERIOD);
    await_listing(context, stream, &mut search, deadline).await;
    if search.lacks_record() && context.origins().may_record_first(Instant::now()) {
        await_first_record(context, &request.service, deadline).await;
        search.expect_listing(Instant::now());
        await_listing(context, stream, &mut search, deadline).await;
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

/// Waits until the records of versions are listed if that decides where the stream goes on.
async fn await_listing(
    context: &RelayContext,
    stream: Option<StreamKey>,
    search: &mut OriginSearch,
    deadline: Instant,
) {
    if search.needs_listing() {
        request_listing(context, search);
    }
    while search.needs_listing() && Instant::now() < deadline {
        Timer::after(LISTING_POLL_PERIOD).await;
        search.update(&context.origins(), stream, Instant::now());
    }
}

fn request_listing(context: &RelayContext, search: &OriginSearch) {
    context.origins().recorded_versions_mut().request_listing(search.began_at());
    context.notify_control(RelayControlEvent::VersionsWanted);
}

/// Waits until the versions of a service are recorded.
async fn await_first_record(context: &RelayContext, service: &ServiceId, deadline: Instant) {
    context.origins().recorded_versions_mut().request(service);
    context.notify_control(RelayControlEvent::VersionsWanted);
    let is_awaited = || context.origins().recorded_versions().is_awaited(service);
    while is_awaited() && Instant::now() < deadline {
        Timer::after(LISTING_POLL_PERIOD).await;
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
            search.add_answer(address, answer);
        }
        // Nodes that do not answer may be gone, so that the records are listed meanwhile.
        if search.needs_listing() && !search.is_over() {
            request_listing(context, search);
        }
        search.update(&context.origins(), stream, Instant::now());
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
