//! Tasks that read the record store: they follow its topics, announce this node and discover other
//! nodes.

use super::RelayControlEvent;
use super::state::ControlState;
use crate::decision::relay::{NextRead, ReadSchedule, RecordTopic};
use crate::metrics::labels::ReasonLabels;
use crate::ports::{AnnouncedNode, RecordPage};
use crate::relay::RelayContext;
use crate::types::{LogOffset, PeerError, PeerResult};
use smol::Timer;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::net::SocketAddr;
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

/// Starts the tasks on the control thread.
pub(super) fn start(state: &ControlState, partner_address: SocketAddr) {
    for topic in RecordTopic::iter() {
        state.spawn(follow_topic(
            Arc::clone(&state.context),
            Rc::clone(&state.read_schedule),
            topic,
        ));
    }
    let name = state.context.settings.instance_name.clone();
    state.spawn(announce_and_discover(Arc::clone(&state.context), name, partner_address));
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
    let mut from = None;
    loop {
        let next = schedule.borrow().next_read(topic, Instant::now());
        let wait_until = match next {
            NextRead::Read { wait_until } => wait_until,
            NextRead::Wait(until) => {
                Timer::at(until.min(Instant::now() + SCHEDULE_POLL_PERIOD)).await;
                continue;
            }
        };
        let result = match from {
            None => list_topic(&context, topic).await.map(Some),
            Some(offset) => read_topic(&context, topic, offset, wait_until).await,
        };
        match result {
            Ok(next) => {
                from = next;
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

async fn list_topic(context: &RelayContext, topic: RecordTopic) -> PeerResult<LogOffset> {
    count_call(context, "list");
    let requested_at = Instant::now();
    let listing = context.ports.store.list(topic).await?;
    let end = listing.end;
    send_event(context, RelayControlEvent::TopicListed { topic, listing, requested_at }).await;
    Ok(end)
}

/// Reads records from `offset` on; returns the next offset, `None` if the topic must be listed
/// again.
async fn read_topic(
    context: &RelayContext,
    topic: RecordTopic,
    offset: LogOffset,
    wait_until: Instant,
) -> PeerResult<Option<LogOffset>> {
    count_call(context, "read");
    let requested_at = Instant::now();
    match context.ports.store.poll(topic, offset, wait_until).await? {
        RecordPage::Expired => {
            log::info!("event=records_expired topic={topic} offset={offset}");
            Ok(None)
        }
        RecordPage::Records { records, next_offset } => {
            // Without records the store has waited until `wait_until`.
            let confirmed_at = if records.is_empty() { wait_until } else { requested_at };
            let event =
                RelayControlEvent::RecordsRead { topic, records, next_offset, confirmed_at };
            send_event(context, event).await;
            Ok(Some(next_offset))
        }
    }
}

/// Announces this node once, then reads the announced nodes whenever it has no partner links.
async fn announce_and_discover(context: Arc<RelayContext>, name: SmolStr, address: SocketAddr) {
    let node = AnnouncedNode { name, address };
    let mut backoff = Backoff::new("announce");
    loop {
        count_call(&context, "announce");
        match context.ports.store.announce(&node).await {
            Ok(()) => break,
            Err(error) => backoff.wait_after_failure(&context, &error).await,
        }
    }
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

fn count_call(context: &RelayContext, call: &str) {
    let labels = ReasonLabels { reason: call.to_owned() };
    context.metrics.store_calls.get_or_create(&labels).inc();
}

async fn send_event(context: &RelayContext, event: RelayControlEvent) {
    if context.control_events.send(event).await.is_err() {
        log::debug!("event=control_stopped");
    }
}
