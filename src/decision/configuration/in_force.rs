//! Document in force: the latest accepted document that this build could check.

use super::follower::ConfigurationCommand;
use super::state::ConfigurationState;
use super::validate_state;
use crate::document::{Document, RawDocument};
use crate::types::{Faults, Revision};
use std::sync::Arc;

/// Document in force on one node.
#[derive(Clone, Debug, Default)]
pub struct DocumentInForce {
    /// Checked form.
    pub document: Arc<Document>,
    /// Raw form.
    pub raw: Arc<RawDocument>,
    /// State whose document it is; none while no document is in force.
    pub state: Option<Arc<ConfigurationState>>,
    /// Faults for which the accepted document is not in force, if any.
    pub held_back: Option<Faults>,
    checked: Revision,
}

impl DocumentInForce {
    /// Whether the document of `state` has not been checked yet.
    pub fn is_behind(&self, state: &ConfigurationState) -> bool {
        state.revision > self.checked
    }

    /// Puts the document of `state` in force, or else the last of `earlier`, given from the latest
    /// back, that can be checked. The revision in force never goes down.
    pub fn advance(
        &mut self,
        state: &Arc<ConfigurationState>,
        earlier: impl Iterator<Item = Arc<ConfigurationState>>,
        commands: &mut Vec<ConfigurationCommand>,
    ) {
        self.checked = state.revision;
        let Err(faults) = self.put_in_force(state, commands) else {
            self.held_back = None;
            return;
        };
        self.held_back = Some(faults.clone());
        commands.push(ConfigurationCommand::ReportHeldBack(state.revision, faults));
        for candidate in earlier {
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
        let checked = validate_state(state)?;
        self.document = Arc::new(checked.document);
        self.raw = Arc::new(checked.raw);
        self.state = Some(Arc::clone(state));
        commands.push(ConfigurationCommand::PutInForce(Arc::clone(&self.document)));
        Ok(())
    }
}
