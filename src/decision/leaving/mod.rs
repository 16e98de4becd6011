//! Backend servers that are leaving, as reported by whichever source is first.
//!
//! The sources are the platform's instance list, the server's own load report and notices from
//! partners. A server counts as available again only on newer evidence: a load report of another
//! incarnation that is not leaving, or an instance list that shows it live after an earlier list
//! showed it leaving. Otherwise its leaving state expires.

use crate::ports::{InstanceKind, InstanceRecord, InstanceState};
use crate::types::{Incarnation, ServerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Time for which a server counts as leaving after the last report that it does.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Source that first reported a server as leaving.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's instance list.
    InstanceList,
    /// The server's own load report.
    LoadReport,
    /// A notice from a partner.
    Partner,
}

/// Notice to partners that a server is leaving.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeavingNotice {
    /// The server.
    pub server: ServerId,
    /// Incarnation that is leaving, 0 if unknown because only the instance list has shown it.
    pub incarnation: Incarnation,
}

/// Event that changes the set of leaving servers.
#[derive(Clone, Debug)]
pub enum LeavingEvent {
    /// The instance list was read.
    InstanceList(Vec<InstanceRecord>),
    /// A server reported its load.
    LoadReport {
        /// The server.
        server: ServerId,
        /// Incarnation of the server.
        incarnation: Incarnation,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A partner sent notices.
    PartnerNotices(Vec<LeavingNotice>),
    /// Time passed.
    Tick,
}

/// Change to publish to partners and routing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeavingChange {
    /// The server is leaving.
    Leaving {
        /// Notice for partners.
        notice: LeavingNotice,
        /// Source that reported it first.
        source: LeavingSource,
    },
    /// The server is available again.
    Returned(ServerId),
}

/// Reports about one server.
#[derive(Clone, Debug, Default)]
struct ServerEntry {
    /// Incarnation in the last load report, 0 before the first.
    reported_incarnation: Incarnation,
    /// Incarnations that are leaving; 0 stands for the one in the instance list.
    leaving_incarnations: BTreeSet<Incarnation>,
    /// Whether the last instance list that named the server showed it as leaving.
    is_listed_leaving: bool,
    /// When the server no longer counts as leaving, if no source reports it again.
    expires_at: Option<Instant>,
}

/// Backend servers that are leaving, by name.
#[derive(Clone, Debug, Default)]
pub struct LeavingState {
    servers: BTreeMap<ServerId, ServerEntry>,
}

impl LeavingState {
    /// Applies `event` and returns the resulting changes.
    pub fn apply(&mut self, event: LeavingEvent, now: Instant) -> Vec<LeavingChange> {
        match event {
            LeavingEvent::InstanceList(instances) => self.apply_list(&instances, now),
            LeavingEvent::LoadReport { server, incarnation, leaving } => {
                self.apply_report(server, incarnation, leaving, now).into_iter().collect()
            }
            LeavingEvent::PartnerNotices(notices) => notices
                .into_iter()
                .filter_map(|notice| self.add_notice(notice, LeavingSource::Partner, now))
                .collect(),
            LeavingEvent::Tick => self.remove_expired(now),
        }
    }

    /// Servers that must not get new work.
    pub fn leaving_servers(&self) -> BTreeSet<ServerId> {
        let leaving = self.servers.iter().filter(|(_, server)| server.is_leaving());
        leaving.map(|(name, _)| name.clone()).collect()
    }

    /// All notices, for a newly connected partner.
    pub fn notices(&self) -> Vec<LeavingNotice> {
        let notices = self.servers.iter().flat_map(|(name, server)| {
            let leaving = server.leaving_incarnations.iter();
            leaving.map(|incarnation| LeavingNotice {
                server: name.clone(),
                incarnation: *incarnation,
            })
        });
        notices.collect()
    }

    fn apply_list(&mut self, instances: &[InstanceRecord], now: Instant) -> Vec<LeavingChange> {
        let servers =
            instances.iter().filter(|instance| instance.kind == InstanceKind::BackendServer);
        let mut changes = Vec::new();
        for instance in servers {
            match instance.state {
                InstanceState::Leaving => {
                    changes.extend(self.apply_listed_leaving(&instance.name, now));
                }
                InstanceState::Live => changes.extend(self.apply_listed_live(&instance.name)),
            }
        }
        changes
    }

    /// Applies a server that the list shows as leaving. Only the first such list marks an
    /// incarnation as leaving. Later ones only postpone the expiry, since they say nothing about an
    /// incarnation that has started meanwhile.
    fn apply_listed_leaving(&mut self, name: &ServerId, now: Instant) -> Option<LeavingChange> {
        let server = self.servers.entry(name.clone()).or_default();
        if std::mem::replace(&mut server.is_listed_leaving, true) {
            server.expires_at = Some(now + LEAVING_TTL);
            return None;
        }
        let notice =
            LeavingNotice { server: name.clone(), incarnation: server.reported_incarnation };
        self.add_notice(notice, LeavingSource::InstanceList, now)
    }

    /// Applies a server that the list shows as live. It is available again if an earlier list
    /// showed it as leaving; otherwise the list may merely lag behind the other sources.
    fn apply_listed_live(&mut self, name: &ServerId) -> Option<LeavingChange> {
        let server = self.servers.get_mut(name)?;
        if !std::mem::take(&mut server.is_listed_leaving) {
            return None;
        }
        server.leaving_incarnations.clear();
        Some(LeavingChange::Returned(name.clone()))
    }

    fn apply_report(
        &mut self,
        name: ServerId,
        incarnation: Incarnation,
        leaving: bool,
        now: Instant,
    ) -> Option<LeavingChange> {
        let server = self.servers.entry(name.clone()).or_default();
        let was_leaving = server.is_leaving();
        let has_restarted =
            server.reported_incarnation != 0 && server.reported_incarnation != incarnation;
        server.reported_incarnation = incarnation;
        if leaving {
            let notice = LeavingNotice { server: name, incarnation };
            return self.add_notice(notice, LeavingSource::LoadReport, now);
        }
        if has_restarted {
            server.leaving_incarnations.retain(|leaving| *leaving == incarnation);
        }
        (was_leaving && !server.is_leaving()).then_some(LeavingChange::Returned(name))
    }

    fn add_notice(
        &mut self,
        notice: LeavingNotice,
        source: LeavingSource,
        now: Instant,
    ) -> Option<LeavingChange> {
        let server = self.servers.entry(notice.server.clone()).or_default();
        server.expires_at = Some(now + LEAVING_TTL);
        let was_leaving = server.is_leaving();
        let is_new = server.leaving_incarnations.insert(notice.incarnation);
        (is_new && !was_leaving && server.is_leaving())
            .then_some(LeavingChange::Leaving { notice, source })
    }

    fn remove_expired(&mut self, now: Instant) -> Vec<LeavingChange> {
        let is_expired = |server: &ServerEntry| server.expires_at.is_some_and(|at| at <= now);
        let expired: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| is_expired(server))
            .map(|(name, _)| name.clone())
            .collect();
        let removed = expired.into_iter().filter_map(|name| self.servers.remove_entry(&name));
        let returned = removed.filter(|(_, server)| server.is_leaving());
        returned.map(|(name, _)| LeavingChange::Returned(name)).collect()
    }
}

impl ServerEntry {
    fn is_leaving(&self) -> bool {
        let current = self.reported_incarnation;
        self.leaving_incarnations
            .iter()
            .any(|leaving| *leaving == 0 || current == 0 || *leaving == current)
    }
}
