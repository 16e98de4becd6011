//! Tasks that read the record store: they follow its topics, announce this node and discover other
//! nodes.

use super::RelayControlEvent;
use super::state::ControlState;
use crate::decision::relay::{NextRead, ReadSchedule, RecordTopic};
use crate::metrics::labels::ReasonLabels;
use crate::ports::{AnnouncedNode, RecordPage};
use crate::relay::RelayContext;
use crate::types::{LogPosition, PeerError, PeerResult, StoreEra, log_position};
use bytes::Bytes;
use smol::Timer;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Maximum time between two checks whether a topic must be read, since the schedule changes as
/// partners connect and disconnect.
const SCHEDULE_POLL_PERIOD: Duration = Duration::from_millis(200);

/// Delay after the first failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after consecutive failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Period at which a node without partner links reads the announced nodes.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(10);

/// Maximum delay of the announcement after a restore of the store, which all nodes notice at once.
const MAX_REANNOUNCE_DELAY: Duration = Duration::from_secs(2);

/// Starts the tasks on the control thread.
pub(super) fn start(state: &ControlState) {
    for topic in RecordTopic::iter() {
        state.spawn(follow_topic(
            Arc::clone(&state.context),
            Rc::clone(&state.read_schedule),
            topic,
        ));
    }
    let node = state.announced_node.clone();
    state.spawn(announce_and_discover(Arc::clone(&state.context), node));
}

/// Exponential delay between failed calls of one kind.
struct Backoff {
    /// Name of the call in logs and metrics.
    call: &'static str,
    delay: Duration,
    /// Whether the last call failed.
    is_failing: bool,
}

impl Backoff {
    fn new(call: &'static str) -> Self {
        Self { call, delay: MIN_RETRY_DELAY, is_failing: false }
    }

    fn record_success(&mut self) {
        if self.is_failing {
            log::info!("event=store_regained call={}", self.call);
        }
        *self = Self::new(self.call);
    }

    async fn wait_after_failure(&mut self, context: &RelayContext, error: &PeerError) {
        let labels = ReasonLabels { reason: self.call.to_owned() };
        context.metrics.store_failures.get_or_create(&labels).inc();
        if self.is_failing {
            log::debug!("event=store_call_failed call={} {error}", self.call);
        } else {
            log::warn!("event=store_lost call={} {error}", self.call);
            self.is_failing = true;
        }
        Timer::after(self.delay).await;
        self.delay = (self.delay * 2).min(MAX_RETRY_DELAY);
    }
}

async fn follow_topic(
    context: Arc<RelayContext>,
    schedule: Rc<RefCell<ReadSchedule>>,
    topic: RecordTopic,
) {
    let mut backoff = Backoff::new(match topic {
        RecordTopic::Operator => "follow_operator",
        RecordTopic::Servers => "follow_servers",
    });
    let mut position = ReadPosition::Unknown;
    loop {
        let next = match position {
            ReadPosition::InTopic(_) => NextRead::Read { wait_until: Instant::now() },
            _ => schedule.borrow().next_read(topic, Instant::now()),
        };
        let wait_until = match next {
            NextRead::Read { wait_until } => wait_until,
            NextRead::Wait(until) => {
                Timer::at(until.min(Instant::now() + SCHEDULE_POLL_PERIOD)).await;
                continue;
            }
        };
        let result = match position {
            ReadPosition::Unknown => list_topic(&context, topic).await,
            ReadPosition::InTopic(from) | ReadPosition::AtEnd(from) => {
                read_topic(&context, topic, from, wait_until).await
            }
        };
        match result {
            Ok(next) => {
                position = next;
                schedule.borrow_mut().record_answer(topic, Instant::now());
                backoff.record_success();
            }
            Err(error) => {
                schedule.borrow_mut().record_failure(topic, Instant::now());
                backoff.wait_after_failure(&context, &error).await;
            }
        }
    }
}

/// Position from which a topic is read on.
#[derive(Clone, Copy, Debug)]
enum ReadPosition {
    /// None; the topic must be listed.
    Unknown,
    /// The topic has later records, which are read at once.
    InTopic(LogPosition),
    /// The topic had no later records.
    AtEnd(LogPosition),
}

async fn list_topic(context: &RelayContext, topic: RecordTopic) -> PeerResult<ReadPosition> {
    count_call(context, "list");
    let requested_at = Instant::now();
    let listing = context.ports.store.list(topic).await?;
    let end = listing.end;
    send_event(context, RelayControlEvent::TopicListed { topic, listing, requested_at }).await;
    Ok(ReadPosition::AtEnd(end))
}

/// Reads records from `from` on; returns the next position.
async fn read_topic(
    context: &RelayContext,
    topic: RecordTopic,
    from: LogPosition,
    wait_until: Instant,
) -> PeerResult<ReadPosition> {
    count_call(context, "read");
    let requested_at = Instant::now();
    match context.ports.store.poll(topic, from, wait_until).await? {
        RecordPage::Expired => {
            let offset = log_position::offset(from);
            log::info!("event=records_expired topic={topic} offset={offset}");
            Ok(ReadPosition::Unknown)
        }
        RecordPage::Restored => {
            let era = log_position::era(from);
            log::warn!("event=records_restored topic={topic} known_era={era}");
            Ok(ReadPosition::Unknown)
        }
        RecordPage::Records { records, next_position, end } => {
            let is_last = next_position >= end;
            if topic == RecordTopic::Operator && !records.is_empty() {
                log::info!(
                    "event=records_read topic={topic} records={} bytes={} next={next_position} \
                     end={end} read_ms={}",
                    records.len(),
                    records.iter().filter_map(|r| r.value.as_ref()).map(Bytes::len).sum::<usize>(),
                    requested_at.elapsed().as_millis()
                );
            }
            // Without records the store has waited until `wait_until`.
            let confirmed_at = if records.is_empty() { wait_until } else { requested_at };
            let confirmed_at = is_last.then_some(confirmed_at);
            let event =
                RelayControlEvent::RecordsRead { topic, records, next_position, confirmed_at };
            send_event(context, event).await;
            Ok(match is_last {
                true => ReadPosition::AtEnd(next_position),
                false => ReadPosition::InTopic(next_position),
            })
        }
    }
}

/// Announces this node, then reads the announced nodes whenever it has no partner links.
async fn announce_and_discover(context: Arc<RelayContext>, node: AnnouncedNode) {
    announce(&context, &node).await;
    let mut backoff = Backoff::new("announced");
    loop {
        if context.metrics.links.get() == 0 {
            count_call(&context, "announced");
            match context.ports.store.announced_nodes().await {
                Ok(nodes) => {
                    backoff.record_success();
                    send_event(&context, RelayControlEvent::NodesAnnounced(nodes)).await;
                }
                Err(error) => {
                    backoff.wait_after_failure(&context, &error).await;
                    continue;
                }
            }
        }
        Timer::after(DISCOVERY_PERIOD).await;
    }
}

/// Announces this node in the store, however often that takes.
async fn announce(context: &RelayContext, node: &AnnouncedNode) {
    let mut backoff = Backoff::new("announce");
    loop {
        count_call(context, "announce");
        match context.ports.store.announce(node).await {
            Ok(()) => return,
            Err(error) => backoff.wait_after_failure(context, &error).await,
        }
    }
}

impl ControlState {
    /// Records an era of the store that this node learned of. After a restore the announcement of
    /// this node may be lost, so that it is repeated, at different times on different nodes.
    pub(super) fn observe_era(&mut self, era: StoreEra, now: Instant) {
        let known = self.store_era.replace(era.max(self.store_era.unwrap_or(era)));
        self.rollout.observe_era(era, now);
        self.context.origins().observe_era(era, now);
        let Some(known) = known else {
            log::info!("event=store_era_known era={era}");
            return;
        };
        if era < known {
            log::info!("event=store_answer_outdated era={era} known_era={known}");
        }
        if era <= known {
            return;
        }
        log::warn!("event=store_restored era={era} known_era={known}");
        self.version_records.restart();
        let (context, node) = (Arc::clone(&self.context), self.announced_node.clone());
        let delay = MAX_REANNOUNCE_DELAY.mul_f64(fastrand::f64());
        self.spawn(async move {
            Timer::after(delay).await;
            announce(&context, &node).await;
        });
    }
}

pub(super) fn count_call(context: &RelayContext, call: &str) {
    let labels = ReasonLabels { reason: call.to_owned() };
    context.metrics.store_calls.get_or_create(&labels).inc();
}

async fn send_event(context: &RelayContext, event: RelayControlEvent) {
    if context.control_events.send(event).await.is_err() {
        log::debug!("event=control_stopped");
    }
}
