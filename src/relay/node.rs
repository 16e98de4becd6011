//! Starts and stops a relay node, which runs on threads of its own.

use super::control::{self, ControlDependencies, RelayControlEvent};
use super::exchange;
use super::metrics::RelayMetrics;
use super::peers::{PeerQueries, listener, queries};
use super::planned_stop::PlannedStop;
use super::{RelayContext, RelayPorts, RelaySettings};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::caller_memory::{CallerMemory, limits_of_node};
use crate::adapters::connection_pool::ConnectionPool;
use crate::adapters::datagram_socket::DatagramSocket;
use crate::adapters::http_server::{self, Handler, ListenerLimits, Reply};
use crate::daemon::threads::{self, spawn_control, spawn_traffic};
use crate::decision::poison::{CrashEvidence, PoisonState};
use crate::decision::relay::quota::QuotaLedger;
use crate::decision::relay::{Fleet, Gateways, ResendBudget, StreamOrigins};
use crate::links::Identity;
use crate::metrics::encode;
use crate::relay::suspension_detector::BootClock;
use crate::traffic::reply::text_reply;
use crate::types::InstanceId;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use http::{Request, StatusCode};
use prometheus_client::registry::Registry;
use smol::Executor;
use smol::net::TcpListener;
use smol_str::format_smolstr;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum events that wait for the control thread.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// Limits of the callers' listener until a configuration sets others.
const DEFAULT_CALLER_LIMITS: ListenerLimits =
    ListenerLimits { head_bytes: 16 * 1024, head_timeout_ms: 16_000 };

/// Limits of the readiness and metrics listeners.
const MONITORING_LIMITS: ListenerLimits =
    ListenerLimits { head_bytes: 8 * 1024, head_timeout_ms: 60_000 };

/// Maximum connections of the readiness listener, and of the metrics listener.
const MAX_MONITORING_CONNECTIONS: usize = 32;

/// Ports that are tried if any free one will do for the listener and the socket for other nodes.
const MAX_PORT_ATTEMPTS: usize = 16;

/// Period at which a draining node checks whether its connections have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Time before the end of a stop at which requests without an answer get their last one.
const LAST_ANSWER_PERIOD: Duration = Duration::from_millis(200);

/// Time in which a node that has stopped tells its partners.
const LEAVE_PERIOD: Duration = Duration::from_millis(50);

/// A running relay node.
pub struct RelayNode {
    context: Arc<RelayContext>,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
    partner_address: SocketAddr,
    /// Closing it ends the listener, and each caller connection after its current request. They
    /// hold the receivers, so the number of receivers is that of the open connections.
    drain_sender: Sender<Infallible>,
    /// Closing it stops the threads.
    stop_sender: Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
    executor: Arc<Executor<'static>>,
}

impl RelayNode {
    /// Starts a node; `ports` creates its adapters, which share the connection pool.
    ///
    /// # Errors
    ///
    /// A listener that cannot be bound, or a thread that cannot be started.
    pub fn start(
        settings: RelaySettings,
        metrics: RelayMetrics,
        ports: impl FnOnce(Arc<ConnectionPool>) -> RelayPorts,
    ) -> anyhow::Result<Self> {
        let executor: Arc<Executor<'static>> = Arc::default();
        let pool = Arc::new(ConnectionPool::new(Arc::downgrade(&executor)));
        let ports = ports(Arc::clone(&pool));
        let callers = http_server::bind_callers(settings.listen.callers, "callers")?;
        let readiness = http_server::bind(settings.listen.readiness, "readiness")?;
        let metrics_listener = http_server::bind(settings.listen.metrics, "metrics")?;
        let partners = http_server::bind(settings.listen.partners, "partners")?;
        let (peers, datagrams) = bind_peers(settings.listen.peers)?;
        let partner_address = partners.local_addr()?;
        let caller_address = callers.local_addr()?;
        let readiness_address = readiness.local_addr()?;
        let instance = new_instance_id(&settings);
        let (control_events, events) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let identity = Identity::new(
            settings.partner_key.clone(),
            instance.clone(),
            partner_address,
            settings.availability_zone.clone(),
        );
        let pools = Pools {
            servers: pool,
            peers: Arc::new(ConnectionPool::of_nodes(Arc::downgrade(&executor), identity.clone())),
        };
        let peer_queries = PeerQueries::new(datagrams);
        let context =
            new_context(settings, metrics, ports, pools, identity, peer_queries, control_events);
        let context = Arc::new(context);
        let (drain_sender, drain_signal) = async_channel::bounded(1);
        let (stop_sender, stop_signal) = async_channel::bounded(1);
        let control_dependencies = ControlDependencies {
            context: Arc::clone(&context),
            instance: instance.clone(),
            events,
            partners,
            partner_address,
        };
        let control_thread = spawn_control(
            String::from("control"),
            move |executor| control::run_control(executor, control_dependencies),
            stop_signal.clone(),
        )?;
        executor.spawn(queries::receive_datagrams(Arc::clone(&context))).detach();
        let weak = Arc::downgrade(&executor);
        let peers = listener::serve(Arc::clone(&context), peers, weak, drain_signal.clone());
        executor.spawn(peers).detach();
        serve_callers(&executor, &context, callers, drain_signal);
        serve_monitoring(&executor, &context, readiness, metrics_listener, stop_signal.clone());
        let traffic_thread =
            spawn_traffic(String::from("traffic"), Arc::clone(&executor), stop_signal)?;
        log::info!(
            "event=started instance={instance} version={} callers={caller_address} \
             partners={partner_address}",
            env!("CARGO_PKG_VERSION")
        );
        Ok(Self {
            context,
            caller_address,
            readiness_address,
            partner_address,
            drain_sender,
            stop_sender,
            threads: vec![control_thread, traffic_thread],
            executor,
        })
    }

    /// Returns the address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the readiness listener.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Returns the address of the listener for partner links.
    pub fn partner_address(&self) -> SocketAddr {
        self.partner_address
    }

    /// Stops gracefully: reports not ready, stops accepting connections and requests `accept_ms` later,
    /// and waits for running requests until `limit_ms`.
    pub fn drain(self) {
        let limits = self.context.settings.stop;
        let started_at = Instant::now();
        log::info!("event=drain_started");
        self.context.stop.begin(started_at + Duration::from_millis(limits.accept_ms));
        self.context.is_stopping.store(true, Ordering::Release);
        self.context.notify_control(RelayControlEvent::NodeStopping);
        thread::sleep(Duration::from_millis(limits.accept_ms));
        self.drain_sender.close();
        let deadline = started_at + Duration::from_millis(limits.limit_ms);
        self.await_connections(deadline.checked_sub(LAST_ANSWER_PERIOD).unwrap_or(deadline));
        self.context.stop.end_requests();
        self.await_connections(deadline);
        log::info!("event=stopped cut={}", self.drain_sender.receiver_count());
        self.context.notify_control(RelayControlEvent::NodeStopped);
        thread::sleep(LEAVE_PERIOD);
        self.kill();
    }

    /// Waits until all connections have ended, or the deadline.
    fn await_connections(&self, deadline: Instant) {
        while self.drain_sender.receiver_count() > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_PERIOD);
        }
    }

    /// Stops at once and closes all connections.
    pub fn kill(self) {
        self.stop_sender.close();
        let Self { threads, executor, .. } = self;
        threads::join(threads);
        drop(executor);
    }
}

fn new_instance_id(settings: &RelaySettings) -> InstanceId {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format_smolstr!("{}-{:x}", settings.instance_name, started.as_millis())
}

/// Connections to servers and to other nodes.
struct Pools {
    servers: Arc<ConnectionPool>,
    peers: Arc<ConnectionPool>,
}

/// Binds the listener and the socket for other nodes to one address.
fn bind_peers(address: SocketAddr) -> anyhow::Result<(TcpListener, DatagramSocket)> {
    let mut attempts = if address.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
    loop {
        attempts -= 1;
        let listener = http_server::bind(address, "peers")?;
        match DatagramSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempts == 0 => return Err(error),
            Err(error) => log::debug!("event=port_taken error=\"{error:#}\""),
        }
    }
}

fn new_context(
    settings: RelaySettings,
    metrics: RelayMetrics,
    ports: RelayPorts,
    pools: Pools,
    identity: Identity,
    peer_queries: PeerQueries,
    control_events: Sender<RelayControlEvent>,
) -> RelayContext {
    let started_at = Instant::now();
    let resend_budget = match settings.is_first_start {
        true => ResendBudget::new(settings.resend, 1, started_at),
        false => ResendBudget::restarted(settings.resend, started_at),
    };
    RelayContext {
        started_at,
        configuration: ArcSwapOption::empty(),
        outdated_period: ArcSwapOption::empty(),
        caller_limits: Arc::new(ArcSwap::from_pointee(DEFAULT_CALLER_LIMITS)),
        pool: pools.servers,
        caller_memory: CallerMemory::new(
            limits_of_node(settings.memory_bytes, settings.max_descriptors),
            metrics.caller_memory.clone(),
        ),
        metrics,
        control_events,
        is_stopping: AtomicBool::new(false),
        stop: PlannedStop::default(),
        has_server_list: AtomicBool::new(false),
        fleet: Mutex::new(Fleet::new(settings.availability_zone.clone())),
        resend_budget: Mutex::new(resend_budget),
        poison: Mutex::new(PoisonState::default()),
        crash_evidence: Mutex::new(CrashEvidence::default()),
        origins: Mutex::new(StreamOrigins::new(settings.is_first_start, started_at)),
        quotas: Mutex::new(QuotaLedger::new(started_at)),
        quota_clock: BootClock::new(),
        peer_queries,
        peer_pool: pools.peers,
        identity,
        reach: Mutex::default(),
        gateways: Mutex::new(Gateways::new(settings.availability_zone.clone())),
        forwarded_requests: AtomicU32::new(0),
        next_number: AtomicU64::new(1),
        settings,
        ports,
    }
}

fn serve_callers(
    executor: &Arc<Executor<'static>>,
    context: &Arc<RelayContext>,
    listener: TcpListener,
    drain_signal: Receiver<Infallible>,
) {
    let shared = Arc::clone(context);
    let handler: Handler =
        Arc::new(move |request| Box::pin(exchange::handle(Arc::clone(&shared), request)));
    let limits = Arc::clone(&context.caller_limits);
    let memory = Arc::clone(&context.caller_memory);
    let weak = Arc::downgrade(executor);
    let server = http_server::serve(listener, weak, handler, limits, memory, drain_signal);
    executor.spawn(server).detach();
}

fn serve_monitoring(
    executor: &Arc<Executor<'static>>,
    context: &Arc<RelayContext>,
    readiness: TcpListener,
    metrics: TcpListener,
    stop_signal: Receiver<Infallible>,
) {
    let limits = Arc::new(ArcSwap::from_pointee(MONITORING_LIMITS));
    let memory_of = |listener| {
        let metrics = &context.metrics.caller_memory;
        CallerMemory::of_connections(listener, MAX_MONITORING_CONNECTIONS, metrics)
    };
    let (readiness_memory, metrics_memory) = (memory_of("readiness"), memory_of("metrics"));
    let shared = Arc::clone(context);
    let answer_readiness: Handler = Arc::new(move |request| {
        let reply = readiness_reply(&shared, &request);
        Box::pin(async move { reply })
    });
    let weak = Arc::downgrade(executor);
    let server = http_server::serve(
        readiness,
        weak.clone(),
        answer_readiness,
        Arc::clone(&limits),
        readiness_memory,
        stop_signal.clone(),
    );
    executor.spawn(server).detach();
    let mut registry = Registry::with_prefix("coriandertide");
    context.metrics.register(&mut registry);
    let path = context.settings.listen.metrics_path.clone();
    let answer_metrics: Handler = Arc::new(move |request| {
        let reply = metrics_reply(&registry, &path, &request);
        Box::pin(async move { reply })
    });
    let server =
        http_server::serve(metrics, weak, answer_metrics, limits, metrics_memory, stop_signal);
    executor.spawn(server).detach();
}

fn readiness_reply(context: &RelayContext, request: &Request<CallerBody>) -> Reply {
    if request.uri().path() != context.settings.listen.readiness_path {
        return text_reply(StatusCode::NOT_FOUND, "");
    }
    let status = if context.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    text_reply(status, "")
}

fn metrics_reply(registry: &Registry, path: &str, request: &Request<CallerBody>) -> Reply {
    if request.uri().path() != path {
        return text_reply(StatusCode::NOT_FOUND, "");
    }
    match encode(registry) {
        Ok(text) => text_reply(StatusCode::OK, text),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
