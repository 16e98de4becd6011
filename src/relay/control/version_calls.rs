//! Calls to the partitions of the record store that keep the software versions of services, and to other nodes.
//! All partitions are called at once, and a majority decides, so that the outage of one stops nothing.

use super::follow::count_call;
use crate::adapters::deadline::timeout_at;
use crate::decision::relay::streams::{
    EraAnswer, PartitionListing, ServiceVersion, VERSION_MAJORITY, VERSION_PARTITIONS, VersionCall,
    VersionListing, VersionOutcome,
};
use crate::links::Datagram;
use crate::relay::RelayContext;
use crate::relay::peers::queries;
use crate::types::{Delivery, LogPosition, PeerError, PeerResult, Step, StoreEra, log_position};
use anyhow::anyhow;
use futures_lite::{FutureExt, future};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smol::Timer;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which the other partitions are waited for once a majority has succeeded.
const STRAGGLER_PERIOD: Duration = Duration::from_millis(100);

/// Time in which other nodes must answer: several round trips between availability zones.
const ANSWER_PERIOD: Duration = Duration::from_millis(100);

/// Outcomes of calls to all partitions, `None` where a call failed or has not ended.
type Outcomes<T> = [Option<T>; VERSION_PARTITIONS];

/// Makes a call to the partitions.
///
/// # Errors
///
/// No majority has answered, or for a removal not all have; the error is that of one of the others.
pub(super) async fn make_call(
    context: &RelayContext,
    call: VersionCall,
) -> PeerResult<VersionOutcome> {
    match call {
        VersionCall::List => {
            let requested_at = Instant::now();
            let (listing, era) = list(context).await?;
            Ok(VersionOutcome::Listed { listing, era, requested_at })
        }
        VersionCall::Add(version) => {
            let add = |partition| add(context, partition, &version);
            let era = common_era(call_majority(add).await?.into_iter().flatten())?;
            Ok(VersionOutcome::Added { version, era })
        }
        VersionCall::Remove { version, ends } => remove(context, version, ends).await,
        VersionCall::ConfirmEra(confirmed) => {
            let confirm = |partition| confirm_era(context, partition, confirmed);
            let era = common_era(call_majority(confirm).await?.into_iter().flatten())?;
            Ok(VersionOutcome::EraConfirmed { confirmed, era })
        }
        VersionCall::AskNodes { era, known, nodes } => {
            let answers = ask_nodes(context, era, known, &nodes).await;
            Ok(VersionOutcome::NodesAnswered { asked_era: era, answers })
        }
    }
}

/// Asks nodes of which versions they may know open streams; returns the answers of those that answer in time.
async fn ask_nodes(
    context: &RelayContext,
    era: StoreEra,
    known: Vec<u64>,
    nodes: &[SocketAddr],
) -> Vec<(SocketAddr, EraAnswer)> {
    let number = queries::next_query_number(context);
    let waiting = context.peer_queries.eras.begin(number, nodes.len());
    queries::send(context, &Datagram::EraQuery { number, era, known }, nodes);
    let deadline = Instant::now() + ANSWER_PERIOD;
    let mut answers = Vec::new();
    while answers.len() < nodes.len() {
        let Ok(Ok(answer)) = timeout_at(deadline, waiting.answers.recv()).await else { break };
        answers.push(answer);
    }
    answers
}

async fn confirm_era(
    context: &RelayContext,
    partition: usize,
    confirmed: StoreEra,
) -> PeerResult<StoreEra> {
    count_call(context, "confirm_era");
    context.ports.store.confirm_era(partition, confirmed).await
}

async fn list(context: &RelayContext) -> PeerResult<(VersionListing, StoreEra)> {
    let list = |partition| async move {
        count_call(context, "list_versions");
        context.ports.store.list_versions(partition).await
    };
    let listings: Outcomes<PartitionListing> = call_majority(list).await?;
    let era = common_era(listings.iter().flatten().map(|listed| log_position::era(listed.end)))?;
    Ok((VersionListing::from(listings), era))
}

async fn add(
    context: &RelayContext,
    partition: usize,
    version: &ServiceVersion,
) -> PeerResult<StoreEra> {
    count_call(context, "add_version");
    context.ports.store.add_version(partition, version).await
}

/// Returns the era in which all partitions answered.
///
/// # Errors
///
/// The store was restored between two answers.
fn common_era(mut eras: impl Iterator<Item = StoreEra>) -> PeerResult<StoreEra> {
    let first = eras.next().unwrap_or_default();
    if eras.all(|era| era == first) {
        return Ok(first);
    }
    let error = anyhow!("the store was restored between two partitions");
    Err(PeerError::new(Step::Decode, SmolStr::new_static("store"), Delivery::Unknown, error))
}

/// Removes the record of a version in one partition after the other, until one has changed since its
/// listing.
async fn remove(
    context: &RelayContext,
    version: ServiceVersion,
    ends: [LogPosition; VERSION_PARTITIONS],
) -> PeerResult<VersionOutcome> {
    for (partition, listed_end) in ends.into_iter().enumerate() {
        count_call(context, "remove_version");
        if !context.ports.store.remove_version(partition, &version, listed_end).await? {
            return Ok(VersionOutcome::Conflict);
        }
    }
    Ok(VersionOutcome::Removed(version))
}

/// Calls all partitions at once; returns when all calls have ended, or a little after a majority has
/// succeeded.
async fn call_majority<T, F>(call: impl Fn(usize) -> F) -> PeerResult<Outcomes<T>>
where
    F: Future<Output = PeerResult<T>>,
{
    let call = &call;
    let calls = (0..VERSION_PARTITIONS).map(|index| async move { (index, call(index).await) });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut outcomes: Outcomes<T> = [const { None }; VERSION_PARTITIONS];
    let mut failure: Option<PeerError> = None;
    let mut stragglers_until: Option<Instant> = None;
    loop {
        let timeout = async {
            match stragglers_until {
                Some(until) => drop(Timer::at(until).await),
                None => future::pending().await,
            }
            None
        };
        match calls.next().or(timeout).await {
            Some((index, Ok(outcome))) => outcomes[index] = Some(outcome),
            Some((partition, Err(error))) => {
                log::info!("event=version_partition_failed partition={partition} {error}");
                failure = Some(error);
            }
            None => break,
        }
        if stragglers_until.is_none() && count_ended(&outcomes) >= VERSION_MAJORITY {
            stragglers_until = Some(Instant::now() + STRAGGLER_PERIOD);
        }
    }
    match failure {
        Some(error) if count_ended(&outcomes) < VERSION_MAJORITY => Err(error),
        _ => Ok(outcomes),
    }
}

fn count_ended<T>(outcomes: &Outcomes<T>) -> usize {
    outcomes.iter().flatten().count()
}
