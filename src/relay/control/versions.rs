//! Records of the software versions of services with streams: when they are read and written, and what
//! follows from the answers.

use super::RelayControlEvent;
use super::state::ControlState;
use super::version_calls::make_call;
use crate::decision::relay::streams::{ServiceVersion, VersionOutcome};
use crate::links::PartnerMessage;
use crate::types::{InstanceId, PeerResult};
use std::sync::Arc;
use std::time::Instant;

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
                log::info!("event=versions_listed versions={}", listing.copies.len());
                self.context.origins().apply_listing(listing, *requested_at, now);
            }
            VersionOutcome::Added { version, .. } => {
                log::info!(
                    "event=version_recorded service={} software={}",
                    version.service,
                    version.software
                );
                self.context.origins().add_recorded_version(version, now);
                self.broadcast(None, &PartnerMessage::VersionsRecorded(vec![version.clone()]));
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
        }
        self.context.origins().recorded_versions_mut().record_answer();
        self.version_records.apply(outcome, &self.context.origins(), now);
        // The next call may be waited for by callers.
        self.tick_version_records(now);
    }

    /// Learns from a partner which versions the record store holds.
    pub(super) fn receive_versions(
        &self,
        peer: &InstanceId,
        versions: &[ServiceVersion],
        now: Instant,
    ) {
        for version in versions {
            if self.context.origins().add_recorded_version(version, now) {
                log::info!(
                    "event=version_known service={} software={} source={peer}",
                    version.service,
                    version.software
                );
            }
        }
    }
}
