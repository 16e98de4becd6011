//! Search for the software version that began a stream, over the answers of other nodes and the records of
//! versions.

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

/// What the records say of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecordsState {
    /// They have not been listed since the search began.
    Unlisted,
    /// They name no version.
    Empty,
    /// They may lack a version, since the store was restored.
    Unconfirmed,
    /// They name all versions of which streams may be open.
    Confirmed,
}

/// Search for the origin of a stream.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    began_at: Instant,
    service: ServiceId,
    known: KnownOrigin,
    /// Versions of the service, by its servers and the records.
    versions: Vec<SoftwareVersion>,
    records: RecordsState,
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
            service,
            known: KnownOrigin::Unknown,
            versions: Vec::new(),
            records: RecordsState::Unlisted,
            unanswered,
            answers: 0,
            has_contradiction: false,
        }
    }

    /// Returns since when the records must have been listed to decide.
    pub fn began_at(&self) -> Instant {
        self.began_at
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
        self.add_versions(origins.versions(&self.service, now));
        let listed = origins.recorded_versions().listed_since(&self.service, self.began_at);
        if let Some(listed) = listed {
            self.records = match (listed.versions.is_empty(), listed.is_proof) {
                (true, _) => RecordsState::Empty,
                (false, true) => RecordsState::Confirmed,
                (false, false) => RecordsState::Unconfirmed,
            };
            self.add_versions(listed.versions);
        }
        if let (KnownOrigin::Unknown, Some(stream)) = (&self.known, stream) {
            self.known = origins.known(stream, now);
        }
    }

    /// Whether a listing of the records decides where the stream goes on.
    pub fn needs_listing(&self) -> bool {
        self.may_be_only() && self.records == RecordsState::Unlisted
    }

    /// Whether the service has no version in the records.
    pub fn lacks_record(&self) -> bool {
        self.may_be_only() && self.records == RecordsState::Empty
    }

    /// Waits for another listing, since a version has been recorded meanwhile.
    pub fn expect_listing(&mut self, now: Instant) {
        self.began_at = now;
        self.records = RecordsState::Unlisted;
    }

    fn may_be_only(&self) -> bool {
        self.known == KnownOrigin::Unknown && self.versions.len() <= 1
    }

    fn add_versions(&mut self, versions: Vec<SoftwareVersion>) {
        for software in versions {
            if !self.versions.contains(&software) {
                self.versions.push(software);
            }
        }
    }

    /// Adds the answer of the node at `address`; a second one of a node changes nothing.
    pub fn add_answer(&mut self, address: SocketAddr, answer: OriginAnswer) {
        let Some(index) = self.unanswered.iter().position(|asked| *asked == address) else {
            return;
        };
        self.unanswered.swap_remove(index);
        self.answers += 1;
        self.add_versions(answer.versions);
        match (&self.known, answer.known) {
            (_, KnownOrigin::Unknown) => {}
            (KnownOrigin::Unknown, known) => self.known = known,
            (known, other) => self.has_contradiction |= *known != other,
        }
    }

    /// Returns whether more answers cannot change the result.
    pub fn is_over(&self) -> bool {
        let is_only = self.may_be_only() && self.records == RecordsState::Confirmed;
        self.known != KnownOrigin::Unknown || self.unanswered.is_empty() || is_only
    }

    /// Returns the version at which the stream goes on, `None` if that is not certain.
    pub fn result(&self) -> Option<FoundVersion> {
        match &self.known {
            _ if self.has_contradiction => None,
            KnownOrigin::Ambiguous => None,
            KnownOrigin::Origin(origin) if origin.service != self.service => None,
            KnownOrigin::Origin(origin) => Some(FoundVersion::Known(origin.software.clone())),
            KnownOrigin::Unknown if self.records != RecordsState::Confirmed => None,
            KnownOrigin::Unknown => match self.versions.as_slice() {
                [only] => Some(FoundVersion::Only(only.clone())),
                _ => None,
            },
        }
    }
}
