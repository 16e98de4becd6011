//! A node: listeners, the control thread and the traffic threads.

use super::threads::{self, spawn_control, spawn_traffic};
use crate::adapters::caller_memory::CallerMemory;
use crate::adapters::http_server::{self, Handler, ListenerLimits};
use crate::adapters::{
    HttpInstanceList, HttpKvStore, HttpLogService, HttpModelEngine, HttpPlainService,
};
use crate::admin::{self, AdminContext};
use crate::control::{self, ControlContext, ControlEvent, ControlState, Snapshot};
use crate::metrics::Metrics;
use crate::ports::{KvStore, ModelEngine};
use crate::settings::Settings;
use crate::traffic::context::{SharedState, TrafficDependencies};
use crate::traffic::{TrafficContext, dispatch};
use crate::types::{InstanceId, Revision};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use smol::Executor;
use smol::net::TcpListener;
use smol_str::format_smolstr;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Maximum events that wait for the control thread.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Maximum connections of the administration API.
const MAX_ADMIN_CONNECTIONS: usize = 64;

/// Period at which a draining node checks whether its connections have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Time given to a stopping node to notify its partners and release its leases and power.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// Running node.
pub struct Node {
    instance: InstanceId,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    partner_address: SocketAddr,
    traffic: Arc<TrafficContext>,
    /// Closing it ends the listeners, and each connection after its current request. They hold the
    /// receivers, so the number of receivers is that of the open connections.
    drain_sender: Sender<Infallible>,
    /// Closing it stops the threads.
    stop_sender: Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
    /// Queue of functions to run on the control thread.
    task_sender: Sender<ControlTask>,
    executor: Arc<Executor<'static>>,
}

/// Function that runs on the control thread.
type ControlTask = Box<dyn FnOnce() + Send>;

/// Listeners of a node, bound before its threads start.
struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    partners: TcpListener,
}

impl Node {
    /// Binds the listeners and starts the threads.
    pub fn start(settings: Settings) -> anyhow::Result<Self> {
        let instance = format_smolstr!("{}-{:08x}", settings.instance_name, fastrand::u32(..));
        let listeners = Listeners {
            callers: http_server::bind_callers(settings.listen.callers, "callers")?,
            admin: http_server::bind_callers(settings.listen.admin, "admin")?,
            partners: http_server::bind(settings.listen.partners, "partners")?,
        };
        let caller_address = listeners.callers.local_addr()?;
        let admin_address = listeners.admin.local_addr()?;
        let partner_address = listeners.partners.local_addr()?;
        let settings = Arc::new(settings);
        let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
        let (event_sender, event_receiver) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let (stop_sender, stop_signal) = async_channel::bounded(1);
        let (drain_sender, drain_signal) = async_channel::bounded(1);
        let (task_sender, task_receiver) = async_channel::unbounded();
        let engines = engine_client(&settings);
        let executor = Arc::new(Executor::new());
        let shared = SharedState {
            instance: instance.clone(),
            settings: Arc::clone(&settings),
            snapshot,
            power: Arc::default(),
            shed_signals: Arc::default(),
            metrics: Metrics::default(),
        };
        let traffic = Arc::new(TrafficContext::new(TrafficDependencies {
            shared: shared.clone(),
            engines: Arc::clone(&engines),
            services: Arc::new(HttpPlainService::new(settings.limits.answer_bytes)),
            control_events: event_sender.clone(),
            executor: Arc::downgrade(&executor),
        }));
        let mut threads = vec![start_control(
            ControlDependencies {
                shared,
                engines,
                event_sender,
                event_receiver,
                task_receiver,
                partners: listeners.partners,
                partner_address,
            },
            stop_signal.clone(),
        )?];
        serve_callers(&executor, listeners.callers, &traffic, drain_signal.clone());
        serve_admin(&executor, listeners.admin, &traffic, drain_signal);
        for number in 0..settings.traffic_threads {
            let name = format!("traffic-{number}");
            threads.push(spawn_traffic(name, Arc::clone(&executor), stop_signal.clone())?);
        }
        log::info!(
            "event=started instance={instance} callers={caller_address} admin={admin_address} \
             partners={partner_address}"
        );
        Ok(Self {
            instance,
            caller_address,
            admin_address,
            partner_address,
            traffic,
            drain_sender,
            stop_sender,
            threads,
            task_sender,
            executor,
        })
    }

    /// Returns the instance id of this process; each start of a node has a new one.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns the address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the administration API.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address of the listener for partners.
    pub fn partner_address(&self) -> SocketAddr {
        self.partner_address
    }

    /// Returns the revision of the document in force, 0 before the first.
    pub fn document_revision(&self) -> Revision {
        self.traffic.snapshot.load().document.as_ref().map_or(0, |document| document.offset)
    }

    /// Stops gracefully: fails readiness probes, closes the listeners, waits for running requests,
    /// and notifies partners before its threads stop.
    pub fn drain(self) {
        let limits = self.traffic.settings.limits;
        log::info!("event=drain_started instance={}", self.instance);
        self.traffic.is_draining.store(true, Ordering::Release);
        thread::sleep(Duration::from_millis(limits.drain_grace_ms));
        self.drain_sender.close();
        let deadline = Instant::now() + Duration::from_millis(limits.drain_timeout_ms);
        while self.drain_sender.receiver_count() > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_PERIOD);
        }
        log::info!(
            "event=drained instance={} cut={}",
            self.instance,
            self.drain_sender.receiver_count()
        );
        self.traffic.announce_stop();
        thread::sleep(STOP_GRACE_PERIOD);
        self.kill();
    }

    /// Stops abruptly: closes all connections without waiting for requests.
    pub fn kill(self) {
        self.stop_sender.close();
        let Self { threads, executor, .. } = self;
        threads::join(threads);
        drop(executor);
    }

    /// Blocks all threads for `period`, like a paused process.
    pub fn freeze(&self, period: Duration) {
        for _ in 0..self.traffic.settings.traffic_threads {
            self.executor.spawn(async move { thread::sleep(period) }).detach();
        }
        let block = Box::new(move || thread::sleep(period));
        if self.task_sender.try_send(block).is_err() {
            log::error!("event=freeze_failed instance={}", self.instance);
        }
    }
}

fn engine_client(settings: &Settings) -> Arc<dyn ModelEngine> {
    Arc::new(HttpModelEngine::new(
        settings.availability_zone.clone(),
        Duration::from_millis(settings.control.exchange_timeout_ms),
        Duration::from_millis(settings.limits.frame_timeout_ms),
    ))
}

/// Dependencies of the control thread.
struct ControlDependencies {
    shared: SharedState,
    engines: Arc<dyn ModelEngine>,
    event_sender: Sender<ControlEvent>,
    event_receiver: Receiver<ControlEvent>,
    task_receiver: Receiver<ControlTask>,
    partners: TcpListener,
    partner_address: SocketAddr,
}

fn start_control(
    dependencies: ControlDependencies,
    stop_signal: Receiver<Infallible>,
) -> anyhow::Result<JoinHandle<()>> {
    let create_main_task = move |executor| {
        let SharedState { instance, settings, snapshot, power, shed_signals, metrics } =
            dependencies.shared;
        let timeout = Duration::from_millis(settings.control.exchange_timeout_ms);
        let platform = settings.platform;
        let kv_store = platform
            .kv_store
            .map(|address| Arc::new(HttpKvStore::new(address, timeout)) as Arc<dyn KvStore>);
        let context = ControlContext {
            instance,
            settings,
            power,
            shed_signals,
            log: Arc::new(HttpLogService::new(platform.log, timeout)),
            instance_list: Arc::new(HttpInstanceList::new(platform.instance_list, timeout)),
            engines: dependencies.engines,
            kv_store,
            metrics,
            events: dependencies.event_sender,
            live_nodes: Rc::new(Cell::new(1)),
            executor,
        };
        context.spawn(run_control_tasks(dependencies.task_receiver));
        let state = ControlState::new(context, snapshot, dependencies.partner_address);
        state.start(dependencies.partners);
        control::run(state, dependencies.event_receiver)
    };
    Ok(spawn_control(String::from("control"), create_main_task, stop_signal)?)
}

async fn run_control_tasks(tasks: Receiver<ControlTask>) {
    while let Ok(task) = tasks.recv().await {
        task();
    }
}

fn serve_callers(
    executor: &Arc<Executor<'static>>,
    listener: TcpListener,
    traffic: &Arc<TrafficContext>,
    drain_signal: Receiver<Infallible>,
) {
    let context = Arc::clone(traffic);
    let handler: Handler =
        Arc::new(move |request| Box::pin(dispatch(Arc::clone(&context), request)));
    let limits = server_limits(&traffic.settings);
    let memory = Arc::clone(&traffic.caller_memory);
    let weak = Arc::downgrade(executor);
    let server = http_server::serve(listener, weak, handler, limits, memory, drain_signal);
    executor.spawn(server).detach();
}

fn serve_admin(
    executor: &Arc<Executor<'static>>,
    listener: TcpListener,
    traffic: &Arc<TrafficContext>,
    drain_signal: Receiver<Infallible>,
) {
    let settings = &traffic.settings;
    let timeout = Duration::from_millis(settings.control.exchange_timeout_ms);
    let context = Arc::new(AdminContext {
        traffic: Arc::clone(traffic),
        log: Arc::new(HttpLogService::new(settings.platform.log, timeout)),
    });
    let handler: Handler =
        Arc::new(move |request| Box::pin(admin::server::dispatch(Arc::clone(&context), request)));
    let limits = server_limits(settings);
    let metrics = &traffic.metrics.caller_memory;
    let memory = CallerMemory::of_connections("admin", MAX_ADMIN_CONNECTIONS, metrics);
    let weak = Arc::downgrade(executor);
    let server = http_server::serve(listener, weak, handler, limits, memory, drain_signal);
    executor.spawn(server).detach();
}

fn server_limits(settings: &Settings) -> Arc<ArcSwap<ListenerLimits>> {
    Arc::new(ArcSwap::from_pointee(ListenerLimits {
        head_bytes: settings.limits.head_bytes,
        head_timeout_ms: settings.limits.read_timeout_ms,
    }))
}
