//! Search for the software version that began a stream, over the answers of other nodes.

use super::origin_messages::{KnownOrigin, OriginAnswer, StreamKey};
use super::origins::StreamOrigins;
use crate::types::{ServiceId, SoftwareVersion};
use std::net::SocketAddr;
use std::time::Instant;

/// How the version of a stream was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoundVersion {
    /// A node knows the stream.
    Known(SoftwareVersion),
    /// Nobody knows it, and the service has had no other version.
    Only(SoftwareVersion),
}

/// Search for the origin of a stream.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    began_at: Instant,
    /// Whether this node knows all versions once its list of servers is confirmed.
    knows_all_versions: bool,
    service: ServiceId,
    known: KnownOrigin,
    /// Versions that the service may have had, by this node's knowledge and by the answers.
    versions: Vec<SoftwareVersion>,
    /// Whether these are all, by the word of any node whose list of servers was confirmed since the
    /// search began.
    is_complete: bool,
    unanswered: Vec<SocketAddr>,
    answers: usize,
    /// Whether two nodes know different origins.
    has_contradiction: bool,
}

impl OriginSearch {
    /// Returns a search that begins now and knows nothing yet.
    pub(super) fn new(service: ServiceId, unanswered: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            began_at: now,
            knows_all_versions: false,
            service,
            known: KnownOrigin::Unknown,
            versions: Vec::new(),
            is_complete: false,
            unanswered,
            answers: 0,
            has_contradiction: false,
        }
    }

    /// Returns the nodes that have not answered.
    pub fn unanswered(&self) -> &[SocketAddr] {
        &self.unanswered
    }

    /// Returns the number of answers.
    pub fn answers(&self) -> usize {
        self.answers
    }

    /// Looks again at what this node itself knows.
    pub fn update(&mut self, origins: &StreamOrigins, stream: Option<StreamKey>, now: Instant) {
        self.add_versions(origins.possible_versions(&self.service, now));
        self.knows_all_versions = origins.knows_all_versions(&self.service, now);
        self.is_complete |= self.knows_all_versions && origins.has_confirmed_since(self.began_at);
        if let (KnownOrigin::Unknown, Some(stream)) = (&self.known, stream) {
            self.known = origins.known(stream, now);
        }
    }

    /// Whether a confirmation of this node's list of servers decides where the stream goes on.
    pub fn needs_confirmation(&self) -> bool {
        let may_be_only = self.known == KnownOrigin::Unknown && self.versions.len() == 1;
        may_be_only && self.knows_all_versions && !self.is_complete
    }

    fn add_versions(&mut self, versions: Vec<SoftwareVersion>) {
        for software in versions {
            if !self.versions.contains(&software) {
                self.versions.push(software);
            }
        }
    }

    /// Adds the answer of the node at `address`, which arrived at `now`; a second one of a node changes
    /// nothing.
    pub fn add_answer(&mut self, address: SocketAddr, answer: OriginAnswer, now: Instant) {
        let Some(index) = self.unanswered.iter().position(|asked| *asked == address) else {
            return;
        };
        self.unanswered.swap_remove(index);
        self.answers += 1;
        let age_ms = now.saturating_duration_since(self.began_at).as_millis();
        let is_confirmed = answer.servers_age_ms.is_some_and(|ms| u128::from(ms) < age_ms);
        self.is_complete |= answer.is_complete && is_confirmed;
        self.add_versions(answer.versions);
        match (&self.known, answer.known) {
            (_, KnownOrigin::Unknown) => {}
            (KnownOrigin::Unknown, known) => self.known = known,
            (known, other) => self.has_contradiction |= *known != other,
        }
    }

    /// Returns whether more answers cannot change the result.
    pub fn is_over(&self) -> bool {
        let is_confirmed = self.versions.len() == 1 && self.is_complete;
        self.known != KnownOrigin::Unknown || self.unanswered.is_empty() || is_confirmed
    }

    /// Returns the version at which the stream goes on, `None` if that is not certain.
    pub fn result(&self) -> Option<FoundVersion> {
        match &self.known {
            _ if self.has_contradiction => None,
            KnownOrigin::Ambiguous => None,
            KnownOrigin::Origin(origin) if origin.service != self.service => None,
            KnownOrigin::Origin(origin) => Some(FoundVersion::Known(origin.software.clone())),
            KnownOrigin::Unknown if !self.is_complete => None,
            KnownOrigin::Unknown => match self.versions.as_slice() {
                [only] => Some(FoundVersion::Only(only.clone())),
                _ => None,
            },
        }
    }
}
