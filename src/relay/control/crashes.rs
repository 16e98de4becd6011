//! Requests that crash servers: confirms crashes and shares the strikes with partners.

use super::RelayEvent;
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

/// Looks whether a server crashed.
const CHECKS: u32 = 3;

/// Time between two looks.
const CHECK_PERIOD: Duration = Duration::from_millis(60);

/// Time that one look may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

impl ControlState {
    /// Looks whether a server that broke off an exchange crashed.
    pub(super) fn check_crash(
        &self,
        server: ServerId,
        address: SocketAddr,
        run: Incarnation,
        fingerprint: Fingerprint,
    ) {
        let strike = Strike { fingerprint, server, incarnation: run };
        self.spawn(confirm(Arc::clone(&self.context), strike, address));
    }

    /// Adds strikes and passes new ones on.
    pub(super) fn add_strikes(
        &mut self,
        source: Option<&InstanceId>,
        strikes: Vec<Strike>,
        now: Instant,
    ) {
        let is_new = |strike: &Strike| self.context.poison().add(strike.clone(), now);
        let news: Vec<Strike> = strikes.into_iter().filter(is_new).collect();
        for strike in &news {
            log::warn!(
                "event=strike fingerprint={:016x} server={} source={}",
                strike.fingerprint,
                strike.server,
                source.map_or("own", |source| source.as_str())
            );
        }
        if !news.is_empty() {
            self.send_partners(source, &PartnerMessage::Strikes(news));
        }
    }
}

async fn confirm(context: Arc<RelayContext>, strike: Strike, address: SocketAddr) {
    for _ in 0..CHECKS {
        let deadline = Instant::now() + CHECK_TIMEOUT;
        let opened =
            crate::adapters::deadline::timeout_at(deadline, TcpStream::connect(address)).await;
        match opened {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                context.tell_control(RelayEvent::Crashed(strike));
                return;
            }
            Ok(Ok(_)) => return,
            Ok(Err(_)) | Err(_) => Timer::after(CHECK_PERIOD).await,
        };
    }
}
