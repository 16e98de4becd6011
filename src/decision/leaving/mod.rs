//! Leaving backend servers, learnt from whichever source says so first.
//!
//! The sources are the platform's instance list, the server's own load report and the notices of
//! partners. A server comes back only on newer evidence: a report of another incarnation that does
//! not leave, or a list that shows it live after it showed it leaving.

use crate::ports::{InstanceKind, InstanceRecord, InstanceState};
use crate::types::{Incarnation, ServerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Time for which a server counts as leaving after the last word that it does.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Source of the word that a server leaves.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LeavingSource {
    /// Platform's instance list.
    InstanceList,
    /// The server's own load report.
    LoadReport,
    /// Notice of a partner.
    Partner,
}

/// Notice to partners that a server leaves.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeavingNotice {
    /// Server.
    pub server: ServerId,
    /// Incarnation that leaves, 0 if only the instance list told.
    pub incarnation: Incarnation,
}

/// Event that changes the set of leaving servers.
#[derive(Clone, Debug)]
pub enum LeavingEvent {
    /// The instance list was read.
    InstanceList(Vec<InstanceRecord>),
    /// A server reported its load.
    LoadReport {
        /// Server.
        server: ServerId,
        /// Incarnation of the server.
        incarnation: Incarnation,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A partner sent notices.
    PartnerNotices(Vec<LeavingNotice>),
    /// Time passed.
    Tick,
}

/// Change that partners and routing must learn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeavingChange {
    /// The server leaves.
    Leaving {
        /// Notice for partners.
        notice: LeavingNotice,
        /// First source.
        source: LeavingSource,
    },
    /// The server is back.
    Returned(ServerId),
}

/// What is known about one server.
#[derive(Clone, Debug, Default)]
struct Server {
    /// Incarnation of the last report, 0 before one was read.
    incarnation: Incarnation,
    /// Incarnations that leave; 0 stands for the one that the list speaks of.
    leaving: BTreeSet<Incarnation>,
    listed_leaving: bool,
    forget_at: Option<Instant>,
}

/// Backend servers that leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingState {
    servers: BTreeMap<ServerId, Server>,
}

impl LeavingState {
    /// Applies `event` and returns the changes.
    pub fn apply(&mut self, event: LeavingEvent, now: Instant) -> Vec<LeavingChange> {
        match event {
            LeavingEvent::InstanceList(instances) => self.apply_list(&instances, now),
            LeavingEvent::LoadReport { server, incarnation, leaving } => {
                self.apply_report(server, incarnation, leaving, now).into_iter().collect()
            }
            LeavingEvent::PartnerNotices(notices) => notices
                .into_iter()
                .filter_map(|notice| self.add(notice, LeavingSource::Partner, now))
                .collect(),
            LeavingEvent::Tick => self.forget(now),
        }
    }

    /// Servers that must get no new work.
    pub fn leaving_servers(&self) -> BTreeSet<ServerId> {
        let leaving = self.servers.iter().filter(|(_, server)| server.is_leaving());
        leaving.map(|(name, _)| name.clone()).collect()
    }

    /// Notices for a partner that has just connected.
    pub fn notices(&self) -> Vec<LeavingNotice> {
        let notices = self.servers.iter().flat_map(|(name, server)| {
            let leaving = server.leaving.iter();
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
                    changes.extend(self.list_leaving(&instance.name, now));
                }
                InstanceState::Live => changes.extend(self.list_live(&instance.name)),
            }
        }
        changes
    }

    /// A list that goes on showing a server as leaving says nothing about a later incarnation.
    fn list_leaving(&mut self, name: &ServerId, now: Instant) -> Option<LeavingChange> {
        let server = self.servers.entry(name.clone()).or_default();
        if std::mem::replace(&mut server.listed_leaving, true) {
            server.forget_at = Some(now + FORGET_AFTER);
            return None;
        }
        let notice = LeavingNotice { server: name.clone(), incarnation: server.incarnation };
        self.add(notice, LeavingSource::InstanceList, now)
    }

    /// A server that the list showed as leaving and now shows as live is back. A list that has not
    /// yet shown it as leaving only lags.
    fn list_live(&mut self, name: &ServerId) -> Option<LeavingChange> {
        let server = self.servers.get_mut(name)?;
        if !std::mem::take(&mut server.listed_leaving) {
            return None;
        }
        server.leaving.clear();
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
        let restarted = server.incarnation != 0 && server.incarnation != incarnation;
        server.incarnation = incarnation;
        if leaving {
            let notice = LeavingNotice { server: name, incarnation };
            return self.add(notice, LeavingSource::LoadReport, now);
        }
        if restarted {
            server.leaving.retain(|leaving| *leaving == incarnation);
        }
        (was_leaving && !server.is_leaving()).then_some(LeavingChange::Returned(name))
    }

    fn add(
        &mut self,
        notice: LeavingNotice,
        source: LeavingSource,
        now: Instant,
    ) -> Option<LeavingChange> {
        let server = self.servers.entry(notice.server.clone()).or_default();
        server.forget_at = Some(now + FORGET_AFTER);
        let was_leaving = server.is_leaving();
        let is_new = server.leaving.insert(notice.incarnation);
        (is_new && !was_leaving && server.is_leaving())
            .then_some(LeavingChange::Leaving { notice, source })
    }

    fn forget(&mut self, now: Instant) -> Vec<LeavingChange> {
        let is_old = |server: &Server| server.forget_at.is_some_and(|at| at <= now);
        let old: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| is_old(server))
            .map(|(name, _)| name.clone())
            .collect();
        let removed = old.into_iter().filter_map(|name| self.servers.remove_entry(&name));
        let back = removed.filter(|(_, server)| server.is_leaving());
        back.map(|(name, _)| LeavingChange::Returned(name)).collect()
    }
}

impl Server {
    fn is_leaving(&self) -> bool {
        let current = self.incarnation;
        self.leaving.iter().any(|leaving| *leaving == 0 || current == 0 || *leaving == current)
    }
}
