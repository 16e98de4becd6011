//! Keeps track of whether this node reaches the servers of each service, and of the nodes that do.

use super::queries;
use crate::adapters::deadline::timeout_at;
use crate::decision::relay::gateways::ReachAnswer;
use crate::decision::relay::reach::{MAX_TRIED_SERVERS, ReachChange, Trial};
use crate::links::Datagram;
use crate::relay::RelayContext;
use crate::types::{ServerId, ServiceId};
use futures_util::future::select_all;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time in which a tried link must be open: several round trips between availability zones.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Link that is to be tried.
pub struct DueTrial {
    service: ServiceId,
    server: ServerId,
    address: SocketAddr,
}

/// Records that no connection could be opened to a server.
pub fn record_unreachable(context: &RelayContext, service: &ServiceId, server: &ServerId) {
    let now = Instant::now();
    let servers = servers_of(context, service).len();
    let (change, becomes_doubtful) = {
        let mut reach = context.reach();
        let was_doubtful = reach.doubtful_services(now).contains(service);
        let change = reach.record_unreachable(service, server, servers, now);
        (change, !was_doubtful && reach.doubtful_services(now).contains(service))
    };
    if let Some(change) = change {
        apply_change(context, service, change);
    }
    if becomes_doubtful {
        ask_other_nodes(context, now);
    }
}

/// Records that a connection to a server was opened.
pub fn record_opened(context: &RelayContext, service: &ServiceId) {
    let now = Instant::now();
    let change = context.reach().record_opened(service, now);
    if let Some(change) = change {
        apply_change(context, service, change);
    }
}

fn apply_change(context: &RelayContext, service: &ServiceId, change: ReachChange) {
    log::warn!("event=servers_{change} service={service}");
    let is_lost = change == ReachChange::Lost;
    context.fleet().set_cut_off(service, is_lost);
    if is_lost {
        for (server, _) in servers_of(context, service) {
            context.pool.close_idle_connections(&server);
        }
    }
}

/// Returns the servers of a service that accept requests, with their addresses.
fn servers_of(context: &RelayContext, service: &ServiceId) -> Vec<(ServerId, SocketAddr)> {
    let fleet = context.fleet();
    let servers = fleet.servers().filter(|server| server.entry.service == *service);
    let servers = servers.filter(|server| fleet.is_in_service(server));
    servers.map(|server| (server.entry.id.clone(), server.entry.address)).collect()
}

/// Returns the links that are to be tried now.
pub fn due_trials(context: &RelayContext, now: Instant) -> Vec<DueTrial> {
    let due = context.reach().due_trials(now);
    let mut trials = Vec::new();
    for (service, trial) in due {
        let mut servers = servers_of(context, &service);
        match trial {
            Trial::Servers(tried) => servers.retain(|(server, _)| tried.contains(server)),
            Trial::Others(failed) => {
                servers.retain(|(server, _)| !failed.contains(server));
                fastrand::shuffle(&mut servers);
                servers.truncate(MAX_TRIED_SERVERS);
            }
            Trial::AnyServer => {
                fastrand::shuffle(&mut servers);
                servers.truncate(1);
            }
        }
        let trial = |(server, address)| DueTrial { service: service.clone(), server, address };
        trials.extend(servers.into_iter().map(trial));
    }
    trials
}

/// Tries a link by opening a connection; returns whether it opened.
pub async fn try_link(context: &RelayContext, trial: DueTrial) -> bool {
    let deadline = Instant::now() + TRIAL_TIMEOUT;
    let opened = timeout_at(deadline, TcpStream::connect(trial.address)).await;
    let is_open = matches!(opened, Ok(Ok(_)));
    log::info!(
        "event=link_tried service={} server={} is_open={is_open}",
        trial.service,
        trial.server
    );
    if is_open {
        record_opened(context, &trial.service);
    } else {
        record_unreachable(context, &trial.service, &trial.server);
    }
    is_open
}

/// Whether a connection to another server of a service can be opened than to `server`.
pub async fn reaches_other_server(
    context: &RelayContext,
    service: &ServiceId,
    server: &ServerId,
) -> bool {
    let mut others = servers_of(context, service);
    others.retain(|(other, _)| other != server);
    fastrand::shuffle(&mut others);
    others.truncate(MAX_TRIED_SERVERS);
    let trials = others.into_iter().map(|(server, address)| {
        let trial = DueTrial { service: service.clone(), server, address };
        Box::pin(try_link(context, trial))
    });
    let mut trials: Vec<_> = trials.collect();
    while !trials.is_empty() {
        let (is_open, _, others) = select_all(trials).await;
        if is_open {
            return true;
        }
        trials = others;
    }
    false
}

/// Asks other nodes for the services of which this node has lost the servers; returns whether there
/// are any.
pub fn ask_other_nodes(context: &RelayContext, now: Instant) -> bool {
    let mut services = context.reach().doubtful_services(now);
    services.extend(context.fleet().unowned_services(now));
    if services.is_empty() {
        return false;
    }
    let asked = context.gateways().asked_nodes(now);
    queries::send(context, &Datagram::ReachQuery(services), &asked);
    true
}

/// Answers which of `services` this node reaches.
pub fn answer(context: &RelayContext, mut services: Vec<ServiceId>, now: Instant) -> ReachAnswer {
    let impaired = context.reach().impaired_services();
    let is_stopping = context.is_stopping.load(Ordering::Acquire);
    let fleet = context.fleet();
    services.retain(|service| {
        let mut servers = fleet.servers().filter(|server| server.entry.service == *service);
        let is_reached = servers
            .any(|server| fleet.is_in_service(server) && server.suspended_until(now).is_none());
        let may_send = is_reached && fleet.owns_server(service, now);
        may_send && !is_stopping && !impaired.contains(service)
    });
    let forwarded = context.forwarded_requests.load(Ordering::Relaxed);
    ReachAnswer { reached: services, forwarded }
}

/// Records the answer of the node at `sender`.
pub fn record_answer(
    context: &RelayContext,
    sender: SocketAddr,
    answer: ReachAnswer,
    now: Instant,
) {
    let services = answer.reached.join(",");
    let gateway = context.gateways().record_answer(sender, answer, now);
    if let Some(gateway) = gateway {
        log::info!("event=gateway_found node={gateway} services={services}");
    }
}
