//! State and event loop of the control thread.

use super::crashes::CrashChecks;
use super::partners::Partners;
use super::rollout::RolloutControl;
use super::{RelayControlEvent, follow, kv_store, partner_links};
use crate::daemon::threads::catch_panic;
use crate::decision::relay::streams::VersionRecords;
use crate::decision::relay::{LoadExchange, ReadSchedule, Replica, StoreLink};
use crate::links::{Identity, PartnerMessage};
use crate::ports::AnnouncedNode;
use crate::relay::RelayContext;
use crate::relay::peers::reach;
use crate::relay::process_check::{PROCESS_CHECK_TIMEOUT, ask_process};
use crate::relay::stream_origin;
use crate::relay::suspension_detector::SuspensionDetector;
use crate::types::{InstanceId, ModelId, ServiceId, StoreEra, WeightsRevision, log_position};
use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Period of ticks, which do the periodic work.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Delay of a tick after which a version may have come and gone unseen.
const MIN_STALL: Duration = Duration::from_millis(1_000);

/// Period of ticks while a rollout is needed or under way; on a tree of nodes, only of the
/// coordinator.
const ROLLOUT_TICK_PERIOD: Duration = Duration::from_millis(25);

/// Period at which the software versions of all servers are recorded.
const VERSION_OBSERVATION_PERIOD: Duration = Duration::from_secs(1);

/// Period at which a node that has lost servers asks others whether they reach them.
const REACH_QUERY_PERIOD: Duration = Duration::from_millis(300);

/// Arguments of [`run_control`].
pub struct ControlDependencies {
    /// State shared with the traffic thread.
    pub context: Arc<RelayContext>,
    /// Id of this instance.
    pub instance: InstanceId,
    /// Queue of events.
    pub events: Receiver<RelayControlEvent>,
    /// Listener of partner links.
    pub partners: TcpListener,
    /// Address of that listener.
    pub partner_address: SocketAddr,
}

/// Control state; owned by the control thread.
pub(super) struct ControlState {
    pub(super) context: Arc<RelayContext>,
    pub(super) started_at: Instant,
    pub(super) executor: Weak<LocalExecutor<'static>>,
    pub(super) replica: Replica,
    /// Schedule of topic reads, shared with the tasks that read.
    pub(super) read_schedule: Rc<RefCell<ReadSchedule>>,
    pub(super) partners: Partners,
    pub(super) loads: LoadExchange,
    pub(super) rollout: RolloutControl,
    /// Weights that servers must load, by model.
    pub(super) targets: BTreeMap<ModelId, WeightsRevision>,
    /// Address of the configured external store of KV cache, shared with the task that polls it.
    pub(super) kv_store_address: Rc<Cell<Option<SocketAddr>>>,
    /// This node as it is announced in the store.
    pub(super) announced_node: AnnouncedNode,
    pub(super) crash_checks: CrashChecks,
    /// When the versions of all servers are observed again.
    next_observation_at: Instant,
    pub(super) version_records: VersionRecords,
    /// Services with routes for streams.
    pub(super) stream_services: BTreeSet<ServiceId>,
    /// When other nodes are next asked for lost servers.
    next_reach_query_at: Instant,
    /// Newest known era of the store, `None` before its first answer.
    pub(super) store_era: Option<StoreEra>,
    suspension_detector: SuspensionDetector,
}

/// Runs the control thread: starts its tasks and handles events.
pub async fn run_control(
    executor: Weak<LocalExecutor<'static>>,
    dependencies: ControlDependencies,
) {
    let now = Instant::now();
    let ControlDependencies { context, instance, events, partners: listener, partner_address } =
        dependencies;
    let partners = Partners::new(&context, instance.clone(), partner_address, now);
    let identity: Rc<RefCell<Identity>> = partners.identity();
    let kv_store_address = Rc::new(Cell::new(None));
    let mut state = ControlState {
        version_records: VersionRecords::new(instance.clone(), now),
        stream_services: BTreeSet::new(),
        rollout: RolloutControl::new(instance, context.settings.rollout_lease_ms),
        replica: Replica::default(),
        read_schedule: Rc::default(),
        partners,
        loads: LoadExchange::new(now),
        targets: BTreeMap::new(),
        kv_store_address: Rc::clone(&kv_store_address),
        announced_node: AnnouncedNode {
            name: context.settings.instance_name.clone(),
            address: partner_address,
        },
        crash_checks: CrashChecks::default(),
        next_observation_at: now,
        next_reach_query_at: now,
        store_era: None,
        suspension_detector: SuspensionDetector::new(),
        started_at: now,
        executor,
        context: Arc::clone(&context),
    };
    // The seed partners may be reachable while the store is not.
    state.apply_announced(&[], now);
    follow::start(&state);
    state.spawn(partner_links::accept_links(Arc::clone(&context), identity, listener));
    state.spawn(kv_store::poll_store(context, kv_store_address));
    run_event_loop(state, events).await;
}

async fn run_event_loop(mut state: ControlState, events: Receiver<RelayControlEvent>) {
    let mut next_tick_at = Instant::now();
    loop {
        let received = async { events.recv().await.map(Some).ok() };
        let tick = async {
            Timer::at(next_tick_at).await;
            Some(None)
        };
        let Some(event) = received.or(tick).await else { return };
        let now = Instant::now();
        state.handle_suspension();
        state.handle_stall(now.saturating_duration_since(next_tick_at), now);
        match event {
            Some(event) => state.guard("control_event", |state| state.handle(event, now)),
            None => {
                state.guard("control_tick", |state| state.tick(now));
                next_tick_at = now + state.tick_period();
            }
        }
        next_tick_at = next_tick_at.min(Instant::now() + state.tick_period());
    }
}

impl ControlState {
    /// Runs `task` on the control thread.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Calls `handle`; a panic in it ends neither the thread nor the process.
    fn guard(&mut self, kind: &str, handle: impl FnOnce(&mut Self)) {
        if !catch_panic(kind, || handle(self)) {
            self.context.metrics.handler_panics.inc();
        }
    }

    fn tick_period(&self) -> Duration {
        let is_tree = self.loads.is_tree();
        if self.rollout.is_coordinator() || self.rollout.is_active() && !is_tree {
            ROLLOUT_TICK_PERIOD
        } else {
            TICK_PERIOD
        }
    }

    fn handle(&mut self, event: RelayControlEvent, now: Instant) {
        match event {
            RelayControlEvent::TopicListed { topic, listing, requested_at } => {
                self.observe_era(log_position::era(listing.end), now);
                self.apply_listing(topic, listing, now);
                self.read_schedule.borrow_mut().confirm(topic, requested_at, now);
                self.publish_outdated_period();
            }
            RelayControlEvent::RecordsRead { topic, records, next_position, confirmed_at } => {
                self.observe_era(log_position::era(next_position), now);
                self.apply_records(topic, records, next_position, now);
                if let Some(confirmed_at) = confirmed_at {
                    self.read_schedule.borrow_mut().confirm(topic, confirmed_at.min(now), now);
                    self.publish_outdated_period();
                }
            }
            RelayControlEvent::NodesAnnounced(nodes) => self.apply_announced(&nodes, now),
            RelayControlEvent::LinkOpened { link, peer, dialed, outgoing } => {
                self.open_link(link, peer, dialed, outgoing, now);
            }
            RelayControlEvent::LinkReceived { link, message } => {
                self.receive_message(link, message, now)
            }
            RelayControlEvent::LinkEnded { link, end } => self.end_link(link, &end, now),
            RelayControlEvent::DialFailed(address) => self.handle_failed_dial(address, now),
            RelayControlEvent::PrefixesStored if self.loads.is_tree() => {}
            RelayControlEvent::PrefixesStored => self.send_load(now),
            RelayControlEvent::ExchangeCut(cut) => self.check_crash(cut, now),
            RelayControlEvent::CrashChecked { server, incarnation, has_crashed } => {
                self.apply_crash_check((server, incarnation), has_crashed, now);
            }
            RelayControlEvent::KeysCleared(strikes) => {
                self.broadcast(None, &PartnerMessage::KeyStrikes(strikes));
            }
            RelayControlEvent::ServersLeaving(notices) => {
                self.broadcast(None, &PartnerMessage::Leaving(notices));
            }
            RelayControlEvent::BrittleLearned(notice) => {
                self.broadcast(None, &PartnerMessage::Brittle(vec![notice]));
            }
            RelayControlEvent::LimitLearned(announcement) => {
                self.announce_limit(None, &announcement);
            }
            RelayControlEvent::ReportEnded { model, server, report } => {
                self.apply_report(&model, &server, report, now);
            }
            RelayControlEvent::OrderEnded { model, server, fencing_number, outcome } => {
                self.apply_order(&model, &server, fencing_number, outcome, now);
            }
            RelayControlEvent::RegisterRead(read) => self.apply_register_read(read, now),
            RelayControlEvent::RegisterReplaced { sent_at, outcome } => {
                self.apply_replacement(sent_at, outcome, now);
            }
            RelayControlEvent::VersionCallEnded(outcome) => self.apply_version_call(outcome, now),
            RelayControlEvent::KvStoreChanged { address, is_emptied } => {
                self.apply_kv_store(address, is_emptied, now);
            }
            RelayControlEvent::ProcessDoubted { server, address } => {
                let context = Arc::clone(&self.context);
                self.spawn(async move {
                    let deadline = Instant::now() + PROCESS_CHECK_TIMEOUT;
                    let asked = ask_process(&context, &server, address, deadline).await;
                    if let Err(error) = asked {
                        log::debug!("event=process_unknown server={server} {error}");
                    }
                });
            }
            RelayControlEvent::EraLearned(era) => self.observe_era(era, now),
            RelayControlEvent::VersionsWanted => self.tick_version_records(now),
            RelayControlEvent::NodeStopping => self.announce_stop(now),
            RelayControlEvent::NodeStopped => self.leave_partners(now),
        }
    }

    fn tick(&mut self, now: Instant) {
        let mut fleet = self.context.fleet();
        let expired = fleet.remove_expired(now);
        fleet.limits.remove_free(now);
        fleet.brittle.remove_expired(now);
        self.context.metrics.limited_servers.set(fleet.limits.len() as i64);
        if !expired.is_empty() {
            let servers = fleet.servers().count();
            self.context.metrics.servers.set(i64::try_from(servers).unwrap_or(i64::MAX));
        }
        drop(fleet);
        for server in expired {
            log::info!("event=server_gone server={server} reason=entry_not_back");
            self.context.pool.close_idle_connections(&server);
        }
        self.context.pool.close_expired(now);
        self.observe_versions(now);
        self.context.quotas().tick(self.context.quota_clock.now());
        self.tick_version_records(now);
        stream_origin::replicate_origins(&self.context, now);
        self.tick_reach(now);
        self.crash_checks.remove_expired(now);
        self.tick_partners(now);
        self.tick_loads(now);
        if !self.context.is_stopping.load(Ordering::Acquire) {
            self.tick_rollouts(now);
        }
    }

    /// Tries links to servers, and asks other nodes for those that this one has lost.
    fn tick_reach(&mut self, now: Instant) {
        for trial in reach::due_trials(&self.context, now) {
            let context = Arc::clone(&self.context);
            self.spawn(async move {
                reach::try_link(&context, trial).await;
            });
        }
        if now >= self.next_reach_query_at && reach::ask_other_nodes(&self.context, now) {
            self.next_reach_query_at = now + REACH_QUERY_PERIOD;
        }
        self.context.peer_pool.close_expired(now);
    }

    /// Records which software versions still have servers.
    fn observe_versions(&mut self, now: Instant) {
        if now < self.next_observation_at {
            return;
        }
        self.next_observation_at = now + VERSION_OBSERVATION_PERIOD;
        let fleet = self.context.fleet();
        let mut origins = self.context.origins();
        for server in fleet.servers() {
            origins.observe_version(&server.entry.service, &server.entry.software, now);
        }
        origins.remove_expired(now);
    }

    /// Sets or removes the external store of KV cache in the fleet.
    fn apply_kv_store(&mut self, address: Option<SocketAddr>, is_emptied: bool, now: Instant) {
        let state = if address.is_some() { "regained" } else { "lost" };
        log::info!("event=kv_store_{state} emptied={is_emptied}");
        let configuration = self.context.configuration.load_full();
        let store = configuration.iter().flat_map(|known| &known.kv_stores);
        let mut store = store;
        let store = store.find(|store| Some(store.address) == address).cloned();
        let engines = configuration.iter().flat_map(|known| known.services.values());
        let token_bytes =
            engines.filter_map(|service| service.engine.as_ref()).map(|e| e.kv_token_bytes).max();
        let nodes = self.partners.max_live_nodes();
        let mut fleet = self.context.fleet();
        fleet.kv_store =
            store.map(|store| StoreLink::new(store, token_bytes.unwrap_or_default(), nodes, now));
        if is_emptied {
            fleet.prefixes.clear_stored();
        }
    }

    /// Records that this node stood still for `stall`, and may have missed what came and went.
    fn handle_stall(&mut self, stall: Duration, now: Instant) {
        if stall < MIN_STALL {
            return;
        }
        log::warn!("event=stalled stall_ms={}", stall.as_millis());
        self.context.origins().record_gap(now);
        self.version_records.list_again();
    }

    /// Drops the lease if the machine was suspended, since its deadline may have passed meanwhile, and
    /// ages what the monotonic clock has kept young.
    fn handle_suspension(&mut self) {
        let Some(gap) = self.suspension_detector.take_suspension() else { return };
        log::warn!("event=suspended gap_ms={}", gap.as_millis());
        self.rollout.drop_lease();
        self.read_schedule.borrow_mut().record_suspension(gap);
        self.context.fleet().record_suspension(gap);
        self.context.quotas().restart(self.context.quota_clock.now());
        // Records that this node relied on may have been removed meanwhile.
        let mut origins = self.context.origins();
        origins.recorded_versions_mut().clear();
        origins.record_gap(Instant::now());
        drop(origins);
        self.version_records.restart();
    }
}
