//! Load report of an engine.

use super::config::ServedModel;
use super::models::Models;
use super::shared::EngineState;
use serde::Serialize;

/// Load report in the JSON format of the engine protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Number of running requests.
    pub running_requests: usize,
    /// Number of waiting requests.
    pub waiting_requests: usize,
    /// Prompt tokens that still have to be prefilled, without cached ones.
    pub waiting_prompt_tokens: u64,
    /// Models ready to serve.
    pub models: Vec<ReportedModel>,
    /// Models being loaded.
    pub loading: Vec<ReportedModel>,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Highest fencing number of the orders applied.
    pub fencing_number: u64,
    /// Sequence number of the next cache event.
    pub next_event: u64,
}

/// Model in a load report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReportedModel {
    /// Model name.
    pub model: String,
    /// Version of the weights.
    pub weights_version: String,
    /// Adapters loaded for the model; always empty.
    pub adapters: Vec<String>,
}

impl LoadReport {
    /// Returns the report of an engine without requests.
    pub fn idle(incarnation: u64, models: &Models) -> Self {
        Self {
            incarnation,
            running_requests: 0,
            waiting_requests: 0,
            waiting_prompt_tokens: 0,
            models: models.loaded.iter().map(ReportedModel::from).collect(),
            loading: models.loading.iter().map(ReportedModel::from).collect(),
            leaving: false,
            fencing_number: models.fencing_number,
            next_event: 0,
        }
    }

    /// Returns the report of the current state.
    pub(crate) fn new(state: &EngineState, prefill_tokens_per_s: u32) -> Self {
        let idle = Self::idle(state.incarnation, &state.models);
        let next_event = state.events.next_sequence();
        let leaving = state.faults.leaving;
        if state.faults.reports_idle {
            return Self { next_event, leaving, ..idle };
        }
        Self {
            running_requests: state.batch.running_requests(),
            waiting_requests: state.batch.waiting_requests(),
            waiting_prompt_tokens: state.waiting_prompt_tokens(prefill_tokens_per_s),
            next_event,
            leaving,
            ..idle
        }
    }
}

impl From<&ServedModel> for ReportedModel {
    fn from(served: &ServedModel) -> Self {
        Self {
            model: served.model.clone(),
            weights_version: served.weights_version.clone(),
            adapters: Vec::new(),
        }
    }
}
