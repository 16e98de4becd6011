//! Connection probes of servers that are out of reach or silent, so that no request has to find out
//! whether one is back.

use super::RelayEvent;
use super::state::ControlState;
use crate::adapters::deadline::within;
use crate::relay::RelayContext;
use crate::types::ServerId;
use smol::Timer;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two probes of a server.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// Time that a probe may take: several round trips between availability zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a failed probe keeps requests away; longer than until the next one has ended.
const SUSPENSION: Duration = Duration::from_millis(800);

impl ControlState {
    /// Probes a server until it can be reached or is gone.
    pub(super) fn probe(&mut self, server: ServerId, address: SocketAddr) {
        if self.probed.insert(server.clone()) {
            self.spawn(probe(Arc::clone(&self.context), server, address));
        }
    }

    /// Probes the servers that owe answers and give no sign.
    pub(super) fn probe_silent(&mut self, now: Instant) {
        let silent: Vec<(ServerId, SocketAddr)> = {
            let fleet = self.context.fleet();
            let silent = fleet.servers().filter(|server| server.health.is_silent(now));
            silent.map(|server| (server.entry.id.clone(), server.entry.address)).collect()
        };
        for (server, address) in silent {
            self.probe(server, address);
        }
    }

    /// Takes in that a server was probed for the last time.
    pub(super) fn end_probe(&mut self, server: &ServerId, is_reachable: bool) {
        self.probed.remove(server);
        if is_reachable && let Some(known) = self.context.fleet().server_mut(server) {
            known.health.note_reachable();
            log::info!("event=server_reachable server={server}");
        }
    }
}

async fn probe(context: Arc<RelayContext>, server: ServerId, address: SocketAddr) {
    let is_reachable = loop {
        let opened = within(Instant::now() + PROBE_TIMEOUT, TcpStream::connect(address)).await;
        if matches!(opened, Ok(Ok(_))) {
            break true;
        }
        let until = Instant::now() + SUSPENSION;
        match context.fleet().server_mut(&server).filter(|known| known.entry.address == address) {
            Some(known) => known.health.suspend_until(until),
            None => break false,
        }
        Timer::after(PROBE_PERIOD).await;
    };
    context.tell_control(RelayEvent::Probed { server, is_reachable });
}
