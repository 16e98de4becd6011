//! Software versions of services that the record store holds, as far as this node knows.
//!
//! A stream begins only at a version whose record is known to be in the store: a node that later finds one
//! version there then knows that the service has had no other one, also if it did not run meanwhile.

use super::origins::MAX_STREAM_LIFETIME;
use super::version_records::{ServiceVersion, VersionListing};
use crate::decision::relay::choose::BeginVersions;
use crate::types::{ServiceId, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time for which a version without a server that this node sees counts as recorded: its record may be
/// removed at any time.
const UNSEEN_LIFETIME: Duration = Duration::from_secs(5);

/// Time for which a listing is wanted after it was requested: callers do not wait longer for it.
const REQUEST_LIFETIME: Duration = Duration::from_secs(1);

/// Versions in the record store at some moment after `requested_at`.
#[derive(Clone, Debug)]
struct Listed {
    requested_at: Instant,
    versions: BTreeMap<ServiceId, Vec<SoftwareVersion>>,
    /// Whether it names all versions of which streams may be open.
    is_proof: bool,
}

/// Versions of a service in a listing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ListedVersions {
    /// Versions.
    pub(super) versions: Vec<SoftwareVersion>,
    /// Whether the service has had no others.
    pub(super) is_proof: bool,
}

/// Recorded versions, and the services that lack one.
#[derive(Clone, Debug, Default)]
pub struct RecordedVersions {
    /// Recorded versions, with the time until which they count as such.
    versions: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Instant>>,
    /// Whether the last call for the records failed.
    is_store_failing: bool,
    /// Services whose versions must be recorded soon, since streams wait for that.
    awaited: BTreeSet<ServiceId>,
    /// Last listing of the store, `None` before the first.
    listed: Option<Listed>,
    /// When a listing was last requested, `None` if it never was.
    listing_requested_at: Option<Instant>,
}

impl RecordedVersions {
    /// Adds a version that the store holds; returns whether it was not known.
    pub(super) fn add(&mut self, version: &ServiceVersion, now: Instant) -> bool {
        let is_new = !self.contains(version, now);
        let versions = self.versions.entry(version.service.clone()).or_default();
        let until = versions.entry(version.software.clone()).or_insert(now);
        *until = (*until).max(now + UNSEEN_LIFETIME);
        is_new
    }

    /// Records that a server of a version was seen, so that nobody removes its record for a while.
    pub(super) fn observe(
        &mut self,
        service: &ServiceId,
        software: &SoftwareVersion,
        now: Instant,
    ) {
        let until = self.versions.get_mut(service).and_then(|versions| versions.get_mut(software));
        if let Some(until) = until.filter(|until| now < **until) {
            *until = now + MAX_STREAM_LIFETIME;
        }
    }

    /// Forgets versions that do not count as recorded any more.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        for versions in self.versions.values_mut() {
            versions.retain(|_, until| now < *until);
        }
        self.versions.retain(|_, versions| !versions.is_empty());
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
        self.listed = None;
    }

    /// Sets what the store held at some moment after `requested_at`; `is_proof` if no other version can have
    /// had a stream that is still open.
    pub(super) fn set_listed(
        &mut self,
        listing: &VersionListing,
        is_proof: bool,
        requested_at: Instant,
    ) {
        let mut versions: BTreeMap<ServiceId, Vec<SoftwareVersion>> = BTreeMap::new();
        for (service, versions) in &mut self.versions {
            versions.retain(|software, _| listing.contains(service, software));
        }
        for ServiceVersion { service, software } in listing.copies.keys() {
            versions.entry(service.clone()).or_default().push(software.clone());
        }
        self.listed = Some(Listed { requested_at, versions, is_proof });
    }

    /// Returns the versions of a service that the store held at some moment since `since`, `None` if that is
    /// not known.
    pub(super) fn listed_since(
        &self,
        service: &ServiceId,
        since: Instant,
    ) -> Option<ListedVersions> {
        let listed = self.listed.as_ref().filter(|listed| listed.requested_at >= since)?;
        let versions = listed.versions.get(service).cloned().unwrap_or_default();
        Some(ListedVersions { versions, is_proof: listed.is_proof })
    }

    /// Requests a listing that begins at `since` or later.
    pub fn request_listing(&mut self, since: Instant) {
        self.listing_requested_at = self.listing_requested_at.max(Some(since));
    }

    /// Whether a listing was requested, and callers may still wait for it.
    pub(super) fn is_listing_wanted(&self, now: Instant) -> bool {
        let Some(requested_at) = self.listing_requested_at else { return false };
        let is_listed = self.listed.as_ref().is_some_and(|l| l.requested_at >= requested_at);
        !is_listed && now < requested_at + REQUEST_LIFETIME
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
    pub fn contains(&self, version: &ServiceVersion, now: Instant) -> bool {
        let versions = self.versions.get(&version.service);
        let until = versions.and_then(|versions| versions.get(&version.software));
        until.is_some_and(|until| now < *until)
    }

    /// Returns all versions that the store is known to hold.
    pub fn all(&self, now: Instant) -> Vec<ServiceVersion> {
        let mut all = Vec::new();
        for (service, versions) in &self.versions {
            let recorded = versions.iter().filter(|(_, until)| now < **until);
            all.extend(recorded.map(|(software, _)| ServiceVersion {
                service: service.clone(),
                software: software.clone(),
            }));
        }
        all
    }

    /// Returns the versions at which a stream of a service may begin. `has_waited` is whether its caller
    /// has waited for the record of a version for long enough; none is waited for while the store fails.
    pub fn begin_versions(
        &self,
        service: &ServiceId,
        has_waited: bool,
        now: Instant,
    ) -> BeginVersions {
        let versions = self.versions.get(service).into_iter().flatten();
        let recorded = versions.filter(|(_, until)| now < **until);
        let recorded = recorded.map(|(software, _)| software.clone()).collect();
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
