//! Poison requests: confirms crashes of servers and shares the strikes with partners.

use super::RelayControlEvent;
use super::state::ControlState;
use crate::decision::poison::{Fingerprint, Strike};
use crate::links::PartnerMessage;
use crate::relay::RelayContext;
use crate::types::{Incarnation, InstanceId, ServerId};
use smol::Timer;
use smol::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum connection attempts that check whether a server crashed.
const MAX_CRASH_CHECKS: u32 = 3;

/// Time between two connection attempts.
const CRASH_CHECK_PERIOD: Duration = Duration::from_millis(60);

/// Timeout of one connection attempt.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

impl ControlState {
    /// Checks whether a server crashed that cut the connection during a request.
    pub(super) fn check_crash(
        &self,
        server: ServerId,
        address: SocketAddr,
        incarnation: Incarnation,
        fingerprint: Fingerprint,
    ) {
        let strike = Strike { fingerprint, server, incarnation };
        self.spawn(confirm_crash(Arc::clone(&self.context), strike, address));
    }

    /// Adds strikes received from `source`, `None` for this node's own, and forwards new ones.
    pub(super) fn add_strikes(
        &mut self,
        source: Option<&InstanceId>,
        strikes: Vec<Strike>,
        now: Instant,
    ) {
        let is_new = |strike: &Strike| self.context.poison().add(strike.clone(), now);
        let new_strikes: Vec<Strike> = strikes.into_iter().filter(is_new).collect();
        for strike in &new_strikes {
            log::warn!(
                "event=strike fingerprint={:016x} server={} source={}",
                strike.fingerprint,
                strike.server,
                source.map_or("own", |source| source.as_str())
            );
        }
        if !new_strikes.is_empty() {
            self.broadcast(source, &PartnerMessage::Strikes(new_strikes));
        }
    }
}

/// Sends an event if the server refuses connections: it crashed, since nothing listens at its
/// address.
async fn confirm_crash(context: Arc<RelayContext>, strike: Strike, address: SocketAddr) {
    for _ in 0..MAX_CRASH_CHECKS {
        let deadline = Instant::now() + CRASH_CHECK_TIMEOUT;
        let opened =
            crate::adapters::deadline::timeout_at(deadline, TcpStream::connect(address)).await;
        match opened {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                log_check(&strike, "crashed");
                context.notify_control(RelayControlEvent::ServerCrashed(strike));
                return;
            }
            Ok(Ok(_)) => return log_check(&strike, "accepts_connections"),
            Ok(Err(_)) | Err(_) => Timer::after(CRASH_CHECK_PERIOD).await,
        };
    }
    log_check(&strike, "no_answer");
}

fn log_check(strike: &Strike, result: &str) {
    let Strike { fingerprint, server, incarnation } = strike;
    log::info!(
        "event=crash_checked server={server} incarnation={incarnation} result={result} \
         fingerprint={fingerprint:016x}"
    );
}
