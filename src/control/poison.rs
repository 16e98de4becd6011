//! Strikes: confirms crashes of servers and keeps what follows from them.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::poison::{Fingerprint, Strike};
use crate::ports::LoadReport;
use crate::types::{Incarnation, PeerResult, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

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
    let report = context.engines.load(address).await;
    let crashed = has_crashed(&report, strike.incarnation);
    context.send(ControlEvent::CrashChecked { strike, crashed }).await;
}

/// Returns whether a report shows that `incarnation` is gone; a server that cannot be reached
/// may have been cut off only.
fn has_crashed(report: &PeerResult<LoadReport>, incarnation: Incarnation) -> bool {
    match report {
        Ok(report) => report.incarnation != incarnation,
        Err(error) => error.is_connection_refused() || error.is_cut(),
    }
}
