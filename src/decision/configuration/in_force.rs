//! Document in force: the latest accepted document that this build finds valid.

use super::follower::ConfigurationCommand;
use super::state::ConfigurationState;
use super::validate_state;
use crate::document::{Document, RawDocument};
use crate::types::{Faults, Revision};
use std::sync::Arc;

/// Document in force on this node.
#[derive(Clone, Debug, Default)]
pub struct DocumentInForce {
    /// Validated form.
    pub document: Arc<Document>,
    /// Raw form, as deserialized from JSON.
    pub raw: Arc<RawDocument>,
    /// State that the document was built from, none while no document is in force.
    pub state: Option<Arc<ConfigurationState>>,
    /// Faults that keep the latest accepted document from being in force, if any.
    pub held_back: Option<Faults>,
    /// Revision of the latest state that was validated.
    validated_revision: Revision,
}

impl DocumentInForce {
    /// Whether the document of `state` has not been validated yet.
    pub fn needs_validation(&self, state: &ConfigurationState) -> bool {
        state.revision > self.validated_revision
    }

    /// Puts the document of `state` in force if it is valid, otherwise the first valid one of
    /// `fallbacks`, which are ordered from the latest to the earliest. The revision in force never
    /// decreases.
    pub fn update(
        &mut self,
        state: &Arc<ConfigurationState>,
        fallbacks: impl Iterator<Item = Arc<ConfigurationState>>,
        commands: &mut Vec<ConfigurationCommand>,
    ) {
        self.validated_revision = state.revision;
        let Err(faults) = self.put_in_force(state, commands) else {
            self.held_back = None;
            return;
        };
        self.held_back = Some(faults.clone());
        commands.push(ConfigurationCommand::ReportHeldBack(state.revision, faults));
        for candidate in fallbacks {
            let is_later = candidate.revision > self.document.offset;
            if is_later && self.put_in_force(&candidate, commands).is_ok() {
                return;
            }
        }
    }

    fn put_in_force(
        &mut self,
        state: &Arc<ConfigurationState>,
        commands: &mut Vec<ConfigurationCommand>,
    ) -> Result<(), Faults> {
        let validated = validate_state(state)?;
        self.document = Arc::new(validated.document);
        self.raw = Arc::new(validated.raw);
        self.state = Some(Arc::clone(state));
        commands.push(ConfigurationCommand::PutInForce(Arc::clone(&self.document)));
        Ok(())
    }
}
