//! Confirms crashes of servers and shares with partners the strikes that follow from them.

use super::state::ControlState;
use super::{CutExchange, RelayControlEvent};
use crate::adapters::deadline::timeout_at;
use crate::decision::poison::{KeyStrike, Strike, SuspectKey};
use crate::links::PartnerMessage;
use crate::relay::RelayContext;
use crate::relay::peers::reach;
use crate::types::{Incarnation, InstanceId, ServerId};
use smol::Timer;
use smol::net::TcpStream;
use std::collections::BTreeMap;
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

/// Time by which a partner's report may date its contact with a server too late.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Time after which a server that refuses connections counts as crashed although this node reaches no
/// other one of its service: lost links are known by then.
const LINK_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Period at which the reports of partners are looked at meanwhile.
const LINK_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Time for which a check is remembered: exchanges that a crash cut may be noticed late.
const CHECK_MEMORY: Duration = Duration::from_secs(10);

/// Run of a server.
type ServerRun = (ServerId, Incarnation);

/// Check of whether a server crashed.
#[derive(Debug)]
struct CrashCheck {
    state: CrashCheckState,
    forget_at: Instant,
}

#[derive(Debug)]
enum CrashCheckState {
    /// The check runs for these exchanges.
    Running(Vec<CutExchange>),
    /// The server crashed.
    Confirmed,
}

/// Checks of servers that cut connections, one for each run of a server.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    checks: BTreeMap<ServerRun, CrashCheck>,
}

impl CrashChecks {
    /// Forgets checks that began or confirmed a crash long ago.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.checks.retain(|_, check| now < check.forget_at);
    }
}

impl ControlState {
    /// Checks whether a server crashed that cut the connection during a request. The exchanges that
    /// the same run of the server cuts meanwhile share the check.
    pub(super) fn check_crash(&mut self, cut: CutExchange, now: Instant) {
        let run = (cut.server.clone(), cut.incarnation);
        match self.crash_checks.checks.get_mut(&run).map(|check| &mut check.state) {
            Some(CrashCheckState::Running(waiting)) => waiting.push(cut),
            Some(CrashCheckState::Confirmed) => self.record_crash(&[cut], now),
            None => {
                let check = confirm_crash(Arc::clone(&self.context), run.clone(), cut.address);
                let state = CrashCheckState::Running(vec![cut]);
                let forget_at = now + CHECK_MEMORY;
                self.crash_checks.checks.insert(run, CrashCheck { state, forget_at });
                self.spawn(check);
            }
        }
    }

    /// Applies the result of a check.
    pub(super) fn apply_crash_check(&mut self, run: ServerRun, has_crashed: bool, now: Instant) {
        let Some(check) = self.crash_checks.checks.remove(&run) else { return };
        let CrashCheckState::Running(cuts) = check.state else { return };
        log::info!(
            "event=crash_checked server={} incarnation={} has_crashed={has_crashed} exchanges={}",
            run.0,
            run.1,
            cuts.len()
        );
        if has_crashed {
            let (state, forget_at) = (CrashCheckState::Confirmed, now + CHECK_MEMORY);
            self.crash_checks.checks.insert(run, CrashCheck { state, forget_at });
            self.record_crash(&cuts, now);
        }
    }

    /// Records a crash against the requests that the server was answering.
    fn record_crash(&mut self, cuts: &[CutExchange], now: Instant) {
        let strike = |cut: &CutExchange| {
            let (server, incarnation) = (cut.server.clone(), cut.incarnation);
            cut.fingerprint.map(|fingerprint| Strike { fingerprint, server, incarnation })
        };
        self.add_strikes(None, cuts.iter().filter_map(strike).collect(), now);
        let evidence = self.context.crash_evidence();
        let key_strikes = cuts.iter().flat_map(|cut| {
            evidence.strikes_of_crash(&cut.server, cut.incarnation, &cut.keys, now)
        });
        let key_strikes: Vec<KeyStrike> = key_strikes.collect();
        drop(evidence);
        self.add_key_strikes(None, key_strikes, now);
    }

    /// Adds strikes against keys of requests, received from `source`, `None` for this node's own,
    /// and forwards what is new.
    pub(super) fn add_key_strikes(
        &mut self,
        source: Option<&InstanceId>,
        strikes: Vec<KeyStrike>,
        now: Instant,
    ) {
        let mut evidence = self.context.crash_evidence();
        let keys: Vec<SuspectKey> = strikes.iter().map(|strike| strike.key).collect();
        let refused_before = evidence.refused(&keys, now);
        let mut new_strikes = Vec::new();
        for strike in strikes {
            if !evidence.add(strike.clone(), now) {
                continue;
            }
            log::info!(
                "event=key_strike key={:016x} server={} incarnation={} rank={} is_cleared={} source={}",
                strike.key,
                strike.server,
                strike.incarnation,
                strike.rank,
                strike.is_cleared,
                source.map_or("own", |source| source.as_str())
            );
            new_strikes.push(strike);
        }
        let refused = evidence.refused(&keys, now);
        drop(evidence);
        for key in refused.difference(&refused_before) {
            log::warn!("event=key_refused key={key:016x}");
        }
        for key in refused_before.difference(&refused) {
            log::warn!("event=key_readmitted key={key:016x}");
        }
        self.context.metrics.key_strikes.inc_by(new_strikes.len() as u64);
        if !new_strikes.is_empty() {
            self.broadcast(source, &PartnerMessage::KeyStrikes(new_strikes));
        }
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

/// Checks whether a server crashed: nothing listens at its address, and it is not this node that has
/// lost its links.
async fn confirm_crash(context: Arc<RelayContext>, run: ServerRun, address: SocketAddr) {
    let cut_at = Instant::now();
    let has_crashed =
        refuses_connections(address).await && is_link_sound(&context, &run.0, cut_at).await;
    let (server, incarnation) = run;
    context.notify_control(RelayControlEvent::CrashChecked { server, incarnation, has_crashed });
}

/// Whether this node still reaches other servers of the service. If it has or reaches no other one, no
/// other node may hear this server either, and the service must not count as lost.
async fn is_link_sound(context: &RelayContext, server: &ServerId, cut_at: Instant) -> bool {
    let service = context.fleet().server(server).map(|known| known.entry.service.clone());
    let Some(service) = service else { return true };
    reach::record_unreachable(context, &service, server);
    if reach::reaches_other_server(context, &service, server).await {
        return true;
    }
    let deadline = cut_at + LINK_CHECK_TIMEOUT;
    loop {
        let now = Instant::now();
        let others_heard_at =
            context.fleet().server(server).and_then(|known| known.heard_by_others_at(now));
        if others_heard_at.is_some_and(|heard_at| heard_at > cut_at + REPORT_DELAY) {
            log::info!("event=link_lost server={server} reason=heard_by_others");
            return false;
        }
        if now >= deadline {
            return !context.reach().is_lost(&service);
        }
        Timer::after(LINK_CHECK_PERIOD).await;
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..MAX_CRASH_CHECKS {
        let deadline = Instant::now() + CRASH_CHECK_TIMEOUT;
        let opened = timeout_at(deadline, TcpStream::connect(address)).await;
        match opened {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return true,
            // A listener may outlive the connections of its process for a moment.
            Ok(_) | Err(_) => Timer::after(CRASH_CHECK_PERIOD).await,
        };
    }
    false
}
