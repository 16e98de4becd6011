//! Strikes: confirms crashes of servers and keeps what follows from them.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::poison::{Fingerprint, Strike};
use crate::ports::LoadReport;
use crate::types::{Incarnation, PeerResult, ServerId};
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Most checks of one crash.
const CHECKS: u32 = 5;

/// Period between two checks of a crash.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

impl ControlState {
    /// Looks whether a server that broke off an answer crashed.
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

    /// Adds the strike of a confirmed crash.
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
    for _ in 0..CHECKS {
        crashed = has_crashed(&context.engines.load(address).await, strike.incarnation);
        if crashed.is_some() {
            break;
        }
        Timer::after(CHECK_PERIOD).await;
    }
    let crashed = crashed.unwrap_or(false);
    context.send(ControlEvent::CrashChecked { strike, crashed }).await;
}

/// Returns whether a report shows that `incarnation` is gone, none if it shows nothing: a server
/// that cannot be reached may have been cut off only.
fn has_crashed(report: &PeerResult<LoadReport>, incarnation: Incarnation) -> Option<bool> {
    match report {
        Ok(report) => Some(report.incarnation != incarnation),
        Err(error) => error.is_connection_refused().then_some(true),
    }
}
