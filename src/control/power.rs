//! Power: executes the commands of the power decision, which append records, send messages to
//! partners, probe instances and shed running attempts.

use super::leases::append_record;
use super::{ControlContext, ControlEvent, ControlState};
use crate::adapters::deadline::timeout_at;
use crate::decision::power::{
    PowerCommand, PowerEvent, PowerMessage, PowerSettings, PowerState, PowerStats,
};
use crate::links::PartnerMessage;
use crate::ports::{LoadReport, LogPage, LogStream};
use crate::types::{InstanceId, ServerId};
use smol::net::TcpStream;
use smol_str::{SmolStr, format_smolstr};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum duration of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Power state, with the values last logged and last passed to it.
#[derive(Debug)]
pub struct PowerControl {
    state: PowerState,
    /// Parts of the share at the last log line.
    logged_parts: u64,
    /// Partners last passed to `state`.
    partners: Vec<InstanceId>,
    /// Number of live nodes last passed to `state`.
    live_nodes: u32,
}

impl PowerControl {
    /// Returns the state of a newly started node, which must listen for partners on
    /// `partner_address` for as long as it runs.
    pub fn new(context: &ControlContext, partner_address: SocketAddr, now: Instant) -> Self {
        let settings = PowerSettings {
            work_limit_ms: context.settings.limits.request_timeout_ms,
            ..PowerSettings::default()
        };
        let state = PowerState::new(
            context.instance.clone(),
            format_smolstr!("{partner_address}"),
            settings,
            Arc::clone(&context.power),
            now,
        );
        Self { state, logged_parts: 0, partners: Vec::new(), live_nodes: 0 }
    }

    /// Returns the node's allocation and usage of power at `now`.
    pub fn stats(&self, now: Instant) -> PowerStats {
        self.state.stats(now)
    }
}

impl ControlState {
    /// Folds the records of a page of the stream `power`.
    pub(super) fn apply_power_page(&mut self, page: LogPage, now: Instant) {
        let from_offset = self.power.state.next_offset();
        self.apply_power_event(PowerEvent::Page { page, from_offset }, now);
    }

    /// Applies a message from a partner.
    pub(super) fn apply_power_message(
        &mut self,
        peer: &InstanceId,
        message: PowerMessage,
        now: Instant,
    ) {
        log_transfer("received", peer, &message);
        self.apply_power_event(PowerEvent::Message { from: peer.clone(), message }, now);
    }

    /// Applies the end of the process of an instance.
    pub(super) fn apply_instance_ended(&mut self, instance: InstanceId, now: Instant) {
        log::info!("event=instance_ended instance={instance}");
        self.apply_power_event(PowerEvent::InstanceEnded(instance), now);
    }

    /// Reports the server to the power decision if its load report shows no requests.
    pub(super) fn report_if_idle(
        &mut self,
        server: &ServerId,
        report: &LoadReport,
        polled_at: Instant,
        now: Instant,
    ) {
        if report.running_requests == 0 && report.waiting_requests == 0 {
            let server = server.clone();
            self.apply_power_event(PowerEvent::ServerIdle { server, polled_at }, now);
        }
    }

    /// Does the periodic work of power allocation.
    pub(super) fn tick_power(&mut self, now: Instant) {
        self.update_power_partners(now);
        self.apply_power_event(PowerEvent::Tick, now);
        self.update_power_metrics(now);
    }

    fn update_power_metrics(&self, now: Instant) {
        let stats = self.power.stats(now);
        let metrics = &self.context.metrics;
        metrics.power_share_watts.set(gauge_value(stats.allowed_watts));
        metrics.power_committed_watts.set(gauge_value(stats.committed_watts));
        metrics.power_given_watts.set(gauge_value(stats.given_watts));
        metrics.power_received_watts.set(gauge_value(stats.received_watts));
    }

    /// Passes the linked partners and the number of live nodes to the power decision if they changed.
    pub(super) fn update_power_partners(&mut self, now: Instant) {
        let partners: Vec<InstanceId> = self.links.peers().cloned().collect();
        let live_nodes = self.live_nodes;
        if partners == self.power.partners && live_nodes == self.power.live_nodes {
            return;
        }
        self.power.partners.clone_from(&partners);
        self.power.live_nodes = live_nodes;
        self.apply_power_event(PowerEvent::Membership { partners, live_nodes }, now);
    }

    /// Applies an event to the power decision and executes the resulting commands.
    pub(super) fn apply_power_event(&mut self, event: PowerEvent, now: Instant) {
        for command in self.power.state.apply(event, now) {
            match command {
                PowerCommand::Append(record) => {
                    append_record(&self.context, LogStream::Power, &record);
                }
                PowerCommand::Send { to, message } => {
                    log_transfer("sent", &to, &message);
                    if !self.links.send(&to, &PartnerMessage::Power(message)) {
                        log::debug!("event=power_message_not_sent to={to}");
                    }
                }
                PowerCommand::Probe { instance, address } => {
                    self.context.spawn(probe(self.context.clone(), instance, address));
                }
                PowerCommand::Shed(requests) => {
                    for request in requests {
                        log::warn!("event=power_shed attempt={request}");
                        self.context.metrics.power_shed.inc();
                        self.context.shed_signals.shed(&request);
                    }
                }
            }
        }
        self.log_share(now);
    }

    /// Logs the stats if the size of the share changed.
    fn log_share(&mut self, now: Instant) {
        let stats = self.power.stats(now);
        if stats.held_parts == self.power.logged_parts {
            return;
        }
        self.power.logged_parts = stats.held_parts;
        log::info!(
            "event=power_share parts={} allowed_watts={} committed_watts={} given_watts={} \
             received_watts={}",
            stats.held_parts,
            stats.allowed_watts,
            stats.committed_watts,
            stats.given_watts,
            stats.received_watts,
        );
    }
}

fn gauge_value(watts: u64) -> i64 {
    i64::try_from(watts).unwrap_or(i64::MAX)
}

/// Probes the address of `instance` and reports its end if it refuses connections.
async fn probe(context: ControlContext, instance: InstanceId, address: SmolStr) {
    let Ok(address) = address.parse::<SocketAddr>() else { return };
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let Ok(Err(error)) = timeout_at(deadline, TcpStream::connect(address)).await else { return };
    if error.kind() == ErrorKind::ConnectionRefused {
        context.send(ControlEvent::InstanceEnded(instance)).await;
    }
}

/// Logs a message about power that was sent to or received from `peer`.
fn log_transfer(direction: &str, peer: &InstanceId, message: &PowerMessage) {
    match message {
        PowerMessage::Ask { ask, parts, needed_ms, .. } => {
            log::debug!(
                "event=power_ask direction={direction} peer={peer} ask={ask} parts={parts} \
                 needed_ms={needed_ms}"
            );
        }
        PowerMessage::Grant { ask, grant, parts, valid_ms, .. } => {
            log::info!(
                "event=power_grant direction={direction} peer={peer} ask={ask} grant={grant} \
                 parts={parts} valid_ms={valid_ms}"
            );
        }
        PowerMessage::Return { grant } => {
            log::info!("event=power_return direction={direction} peer={peer} grant={grant}");
        }
    }
}
