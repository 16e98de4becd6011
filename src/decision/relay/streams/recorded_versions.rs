//! Software versions of services that the record store holds, as far as this node knows.
//!
//! A stream begins only at a version whose record is known to be in the store: a node that later finds one
//! version there then knows that the service has had no other one, also if it did not run meanwhile.

use super::version_records::ServiceVersion;
use crate::decision::relay::choose::BeginVersions;
use crate::types::{ServiceId, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet};

/// Recorded versions, and the services that lack one.
#[derive(Clone, Debug, Default)]
pub struct RecordedVersions {
    versions: BTreeMap<ServiceId, BTreeSet<SoftwareVersion>>,
    /// Whether the last call for the records failed.
    is_store_failing: bool,
    /// Services whose versions must be recorded soon, since streams wait for that.
    awaited: BTreeSet<ServiceId>,
}

impl RecordedVersions {
    /// Adds a version that the store holds; returns whether it was not known.
    pub fn add(&mut self, version: &ServiceVersion) -> bool {
        let versions = self.versions.entry(version.service.clone()).or_default();
        versions.insert(version.software.clone())
    }

    /// Drops a version that the store does not hold any more.
    pub fn remove(&mut self, version: &ServiceVersion) {
        if let Some(versions) = self.versions.get_mut(&version.service) {
            versions.remove(&version.software);
        }
    }

    /// Drops all versions, since a restored store may lack some.
    pub fn clear(&mut self) {
        self.versions.clear();
    }

    /// Records that a call for the records failed.
    pub fn record_failure(&mut self) {
        self.is_store_failing = true;
    }

    /// Records that the store answered a call.
    pub fn record_answer(&mut self) {
        self.is_store_failing = false;
    }

    /// Whether the store is known to hold a version.
    pub fn contains(&self, version: &ServiceVersion) -> bool {
        let versions = self.versions.get(&version.service);
        versions.is_some_and(|versions| versions.contains(&version.software))
    }

    /// Returns all versions that are known to be recorded.
    pub fn all(&self) -> Vec<ServiceVersion> {
        let version = |service: &ServiceId, software: &SoftwareVersion| ServiceVersion {
            service: service.clone(),
            software: software.clone(),
        };
        let versions = self.versions.iter();
        versions.flat_map(|(id, all)| all.iter().map(|v| version(id, v))).collect()
    }

    /// Returns the versions at which a stream of a service may begin. `has_waited` is whether its caller
    /// has waited for the record of a version for long enough; none is waited for while the store fails.
    pub fn begin_versions(&self, service: &ServiceId, has_waited: bool) -> BeginVersions {
        let recorded = self.versions.get(service).into_iter().flatten().cloned().collect();
        BeginVersions { recorded, allows_unrecorded: has_waited || self.is_store_failing }
    }

    /// Requests records of the versions of a service, of which no server has a recorded one; returns whether
    /// that is new.
    pub fn request(&mut self, service: &ServiceId) -> bool {
        self.awaited.insert(service.clone())
    }

    /// Ends the requests for records of a service, whose versions are all recorded.
    pub fn end_requests(&mut self, service: &ServiceId) {
        self.awaited.remove(service);
    }

    /// Whether the record of a version of a service was requested.
    pub fn is_awaited(&self, service: &ServiceId) -> bool {
        self.awaited.contains(service)
    }
}
