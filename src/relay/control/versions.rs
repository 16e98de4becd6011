//! Records of the software versions of services with streams: when they are read and written, and what
//! follows from the answers.

use super::RelayControlEvent;
use super::state::ControlState;
use super::version_calls::make_call;
use crate::decision::relay::streams::{ServiceVersion, VersionOutcome};
use crate::links::PartnerMessage;
use crate::links::message::RecordedVersionsNotice;
use crate::types::{InstanceId, PeerResult};
use std::sync::Arc;
use std::time::Instant;

/// Maximum recorded versions in a message.
const MAX_MESSAGE_VERSIONS: usize = 1_000;

impl ControlState {
    /// Makes the next call that is needed, if any.
    pub(super) fn tick_version_records(&mut self, now: Instant) {
        let origins = self.context.origins();
        let call = self.version_records.next_call(&origins, &self.stream_services, now);
        drop(origins);
        let Some(call) = call else { return };
        let context = Arc::clone(&self.context);
        self.spawn(async move {
            let outcome = make_call(&context, call).await;
            context.notify_control(RelayControlEvent::VersionCallEnded(outcome));
        });
    }

    /// Applies the outcome of a call.
    pub(super) fn apply_version_call(&mut self, outcome: PeerResult<VersionOutcome>, now: Instant) {
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                log::warn!("event=version_call_failed {error}");
                self.context.origins().recorded_versions_mut().record_failure();
                self.version_records.record_failure(now);
                return;
            }
        };
        if let Some(era) = outcome.era() {
            self.observe_era(era, now);
        }
        if outcome.era().is_some_and(|era| self.store_era.is_some_and(|known| era < known)) {
            log::info!("event=version_call_outdated known_era={:?}", self.store_era);
            return self.version_records.record_failure(now);
        }
        match &outcome {
            VersionOutcome::Listed { listing, requested_at, .. } => {
                log::info!(
                    "event=versions_listed versions={} era={} confirmed_era={}",
                    listing.copies.len(),
                    listing.era(),
                    listing.confirmed_era.map_or_else(|| "none".to_owned(), |era| era.to_string())
                );
                self.context.origins().apply_listing(listing, *requested_at, now);
            }
            VersionOutcome::Added { version, .. } => {
                log::info!(
                    "event=version_recorded service={} software={}",
                    version.service,
                    version.software
                );
                self.context.origins().add_recorded_version(version, now);
                self.broadcast_recorded_versions(None, vec![version.clone()]);
            }
            VersionOutcome::Removed(version) => {
                log::info!(
                    "event=version_removed service={} software={}",
                    version.service,
                    version.software
                );
                self.context.origins().recorded_versions_mut().remove(version);
            }
            VersionOutcome::Conflict => log::info!("event=version_kept reason=written_since"),
            VersionOutcome::EraConfirmed { confirmed, era } => {
                log::info!("event=store_era_confirmed era={confirmed} store_era={era}");
                if confirmed == era && self.context.origins().confirm_era(*era) {
                    self.broadcast_recorded_versions(None, Vec::new());
                }
            }
            VersionOutcome::NodesAnswered { asked_era, answers } => log::info!(
                "event=versions_asked era={asked_era} answers={} outdated={} complete={} versions={}",
                answers.len(),
                answers
                    .iter()
                    .filter(|(_, answer)| answer.era.is_none_or(|e| e < *asked_era))
                    .count(),
                answers.iter().filter(|(_, answer)| answer.is_complete).count(),
                answers.iter().map(|(_, answer)| answer.versions.len()).sum::<usize>()
            ),
        }
        self.context.origins().recorded_versions_mut().record_answer();
        self.version_records.apply(outcome, &self.context.origins(), now);
        // The next call may be waited for by callers.
        self.tick_version_records(now);
    }

    /// Tells all partners but `source` of versions that the record store holds in the present era, and whether it
    /// is confirmed.
    fn broadcast_recorded_versions(
        &self,
        source: Option<&InstanceId>,
        versions: Vec<ServiceVersion>,
    ) {
        let Some(era) = self.store_era else { return };
        let is_era_confirmed = self.context.origins().is_era_confirmed();
        let notice = RecordedVersionsNotice { era, versions, is_era_confirmed };
        self.broadcast(source, &PartnerMessage::RecordedVersions(notice));
    }

    /// Returns what a new partner is told of the versions that the record store holds.
    pub(super) fn recorded_versions_notices(&self, now: Instant) -> Vec<RecordedVersionsNotice> {
        let Some(era) = self.store_era else { return Vec::new() };
        let origins = self.context.origins();
        let is_era_confirmed = origins.is_era_confirmed();
        let versions = origins.recorded_versions_in_service(now);
        let batches = versions.chunks(MAX_MESSAGE_VERSIONS);
        let notice = |batch: &[ServiceVersion]| RecordedVersionsNotice {
            era,
            versions: batch.to_vec(),
            is_era_confirmed,
        };
        batches.map(notice).collect()
    }

    /// Learns from a partner which versions the record store holds. In a later era it may lack them.
    pub(super) fn receive_recorded_versions(
        &mut self,
        peer: &InstanceId,
        notice: RecordedVersionsNotice,
        now: Instant,
    ) {
        let RecordedVersionsNotice { era, versions, is_era_confirmed } = notice;
        self.observe_era(era, now);
        if self.store_era != Some(era) {
            log::info!(
                "event=versions_outdated era={era} known_era={:?} source={peer}",
                self.store_era
            );
            return;
        }
        for version in &versions {
            if self.context.origins().add_recorded_version(version, now) {
                log::info!(
                    "event=version_known service={} software={} source={peer}",
                    version.service,
                    version.software
                );
            }
        }
        if is_era_confirmed && self.context.origins().confirm_era(era) {
            log::info!("event=store_era_known_confirmed era={era} source={peer}");
            self.broadcast_recorded_versions(Some(peer), Vec::new());
        }
    }
}
