//! Models on an engine, and the orders that change them.

use super::config::ServedModel;
use serde::Deserialize;

/// Order in the form that callers send.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fencing_number: u64,
    /// What is ordered.
    pub kind: OrderKind,
}

/// Kind of an order.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Serve exactly these models.
    ServeModels {
        /// Wanted models.
        models: Vec<OrderedModel>,
    },
}

/// Model in an order.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderedModel {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub weights_version: String,
}

/// Outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// Accepted; these models have to be loaded.
    Accepted(Vec<ServedModel>),
    /// Refused because a higher fencing number has been seen.
    Fenced,
}

/// Models of one incarnation.
#[derive(Clone, Debug, Default)]
pub struct Models {
    /// Models that serve.
    pub loaded: Vec<ServedModel>,
    /// Models being loaded.
    pub loading: Vec<ServedModel>,
    /// Highest fencing number seen.
    pub fencing_number: u64,
}

impl Models {
    /// Returns the state of an engine that has `loaded`.
    pub fn new(loaded: Vec<ServedModel>) -> Self {
        Self { loaded, loading: Vec::new(), fencing_number: 0 }
    }

    /// Applies `order`; models that are no longer wanted go at once.
    pub fn apply(&mut self, order: &Order, checks_fencing: bool) -> OrderOutcome {
        if checks_fencing && order.fencing_number < self.fencing_number {
            return OrderOutcome::Fenced;
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        let OrderKind::ServeModels { models } = &order.kind;
        let wanted: Vec<ServedModel> = models
            .iter()
            .map(|wanted| ServedModel {
                model: wanted.model.clone(),
                weights_version: wanted.weights_version.clone(),
            })
            .collect();
        self.loaded.retain(|model| wanted.contains(model));
        self.loading.retain(|model| wanted.contains(model));
        let missing =
            |model: &ServedModel| !self.loaded.contains(model) && !self.loading.contains(model);
        let to_load: Vec<ServedModel> = wanted.into_iter().filter(missing).collect();
        self.loading.extend(to_load.iter().cloned());
        OrderOutcome::Accepted(to_load)
    }

    /// Ends a load, unless the model is no longer wanted.
    pub fn finish_load(&mut self, model: &ServedModel) {
        let Some(index) = self.loading.iter().position(|loading| loading == model) else { return };
        let model = self.loading.remove(index);
        self.loaded.push(model);
    }
}
