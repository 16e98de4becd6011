//! Strikes: checks whether servers that interrupted answers crashed, and adds strikes if so.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::poison::{Fingerprint, Strike};
use crate::ports::LoadReport;
use crate::types::{Incarnation, PeerResult, ServerId};
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of polls to confirm one crash.
const MAX_CRASH_CHECKS: u32 = 5;

/// Time between two polls to confirm a crash.
const CRASH_CHECK_PERIOD: Duration = Duration::from_millis(50);

impl ControlState {
    /// Starts a check of whether the server that interrupted an answer crashed. Without the
    /// incarnation that ran the request there is no check, as a restart would not show.
    pub(super) fn check_crash(
        &self,
        server: ServerId,
        incarnation: Option<Incarnation>,
        fingerprint: Fingerprint,
    ) {
        let Some(incarnation) = incarnation else { return };
        let Some(document) = &self.document else { return };
        let Some(address) = document.servers.get(&server).map(|server| server.address) else {
            return;
        };
        let strike = Strike { fingerprint, server, incarnation };
        self.context.spawn(confirm_crash(self.context.clone(), strike, address));
    }

    /// Applies the result of a check: a confirmed crash adds the strike.
    pub(super) fn apply_crash_check(&mut self, strike: Strike, crashed: bool, now: Instant) {
        if !crashed {
            return;
        }
        log::warn!(
            "event=strike fingerprint={:016x} server={} incarnation={}",
            strike.fingerprint,
            strike.server,
            strike.incarnation
        );
        self.add_strikes(None, vec![strike], now);
    }
}

async fn confirm_crash(context: ControlContext, strike: Strike, address: SocketAddr) {
    let mut crashed = None;
    for _ in 0..MAX_CRASH_CHECKS {
        crashed = has_crashed(&context.engines.load(address).await, strike.incarnation);
        if crashed.is_some() {
            break;
        }
        Timer::after(CRASH_CHECK_PERIOD).await;
    }
    let crashed = crashed.unwrap_or(false);
    context.send(ControlEvent::CrashChecked { strike, crashed }).await;
}

/// Whether the server no longer runs `incarnation`, `None` if `report` does not show it: an
/// unreachable server may only be partitioned from this node.
fn has_crashed(report: &PeerResult<LoadReport>, incarnation: Incarnation) -> Option<bool> {
    match report {
        Ok(report) => Some(report.incarnation != incarnation),
        Err(error) => error.is_connection_refused().then_some(true),
    }
}
