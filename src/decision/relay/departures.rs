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

/// Servers that are known to be leaving.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// Newest incarnation of each server that is known to be leaving.
    leaving: BTreeMap<ServerId, Incarnation>,
    /// The servers in the order in which they became known.
    order: VecDeque<ServerId>,
}

impl Departures {
    /// Records that an incarnation of a server is leaving; returns whether that is new.
    pub fn add(&mut self, notice: &LeavingNotice) -> bool {
        let LeavingNotice { server, incarnation } = notice;
        let known = self.leaving.get(server);
        if known.is_some_and(|known| known >= incarnation) {
            return false;
        }
        if known.is_none() {
            self.order.push_back(server.clone());
        }
        self.leaving.insert(server.clone(), *incarnation);
        if self.order.len() > MAX_DEPARTURES
            && let Some(oldest) = self.order.pop_front()
        {
            self.leaving.remove(&oldest);
        }
        true
    }

    /// Whether an incarnation of a server is known to be leaving, or is older than one that is.
    pub fn contains(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        self.leaving.get(server).is_some_and(|leaving| *leaving >= incarnation)
    }

    /// Returns all servers that are known to be leaving.
    pub fn notices(&self) -> Vec<LeavingNotice> {
        let notice = |(server, incarnation): (&ServerId, &Incarnation)| LeavingNotice {
            server: server.clone(),
            incarnation: *incarnation,
        };
        self.leaving.iter().map(notice).collect()
    }
}
