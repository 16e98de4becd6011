//! Servers that are known to be leaving.
//!
//! A server never takes its leaving back, so an incarnation that is known to leave gets no new
//! requests again, whatever the server list says of it later: its entry may be missing or, after
//! the record store was restored from a copy, be an old one.

use crate::decision::leaving::LeavingNotice;
use crate::types::{Incarnation, ServerId};
use std::collections::{BTreeMap, VecDeque};

/// Maximum servers that are remembered; the oldest are forgotten first. It exceeds the number of
/// servers that leave while an entry of one of them can still be listed.
const MAX_DEPARTURES: usize = 4_096;

/// Newest incarnation of each server of a set of limited size.
#[derive(Clone, Debug, Default)]
struct Incarnations {
    newest: BTreeMap<ServerId, Incarnation>,
    /// The servers in the order in which they were added.
    order: VecDeque<ServerId>,
}

impl Incarnations {
    /// Adds an incarnation; returns whether it is newer than the known one.
    fn add(&mut self, server: &ServerId, incarnation: Incarnation) -> bool {
        let known = self.newest.get(server);
        if known.is_some_and(|known| *known >= incarnation) {
            return false;
        }
        if known.is_none() {
            self.order.push_back(server.clone());
        }
        self.newest.insert(server.clone(), incarnation);
        if self.order.len() > MAX_DEPARTURES
            && let Some(oldest) = self.order.pop_front()
        {
            self.newest.remove(&oldest);
        }
        true
    }

    /// Whether it has this incarnation of a server or a later one.
    fn contains(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        self.newest.get(server).is_some_and(|newest| *newest >= incarnation)
    }

    fn remove(&mut self, server: &ServerId) {
        if self.newest.remove(server).is_some() {
            self.order.retain(|other| other != server);
        }
    }
}

/// Servers that are known to be leaving or gone.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// Servers that are leaving, which is final for an incarnation.
    leaving: Incarnations,
    /// Servers whose entry stayed missing. One that lives writes its entry again.
    gone: Incarnations,
}

impl Departures {
    /// Records that an incarnation of a server is leaving; returns whether that is new.
    pub fn add(&mut self, notice: &LeavingNotice) -> bool {
        self.leaving.add(&notice.server, notice.incarnation)
    }

    /// Whether an incarnation of a server is known to be leaving, or is older than one that is.
    pub fn contains(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        self.leaving.contains(server, incarnation)
    }

    /// Returns all servers that are known to be leaving.
    pub fn notices(&self) -> Vec<LeavingNotice> {
        let notice = |(server, incarnation): (&ServerId, &Incarnation)| LeavingNotice {
            server: server.clone(),
            incarnation: *incarnation,
        };
        self.leaving.newest.iter().map(notice).collect()
    }

    /// Records that the entry of a server stayed missing.
    pub fn add_gone(&mut self, server: &ServerId, incarnation: Incarnation) {
        self.gone.add(server, incarnation);
    }

    /// Records that a server has written an entry.
    pub fn remove_gone(&mut self, server: &ServerId) {
        self.gone.remove(server);
    }

    /// Whether the entry of this incarnation of a server, or of a later one, stayed missing.
    pub fn is_gone(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        self.gone.contains(server, incarnation)
    }
}
