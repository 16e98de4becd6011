//! Models of an engine, and the orders that change them.

use super::config::ServedModel;
use serde::Deserialize;

/// Order in the JSON format of the engine protocol.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order was sent.
    pub fencing_number: u64,
    /// Action to take.
    pub kind: OrderKind,
}

/// Action of an order.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the listed models and unload all others.
    ServeModels {
        /// Models to serve.
        models: Vec<OrderedModel>,
    },
}

/// Model to serve, as listed in an order.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderedModel {
    /// Model name.
    pub model: String,
    /// Version of the weights.
    pub weights_version: String,
}

/// Outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// Accepted; the models still have to be loaded.
    Accepted(Vec<ServedModel>),
    /// Refused, since an order with a higher fencing number was applied.
    Fenced,
}

/// Models of one incarnation of an engine.
#[derive(Clone, Debug, Default)]
pub struct Models {
    /// Models ready to serve.
    pub loaded: Vec<ServedModel>,
    /// Models being loaded.
    pub loading: Vec<ServedModel>,
    /// Highest fencing number of the orders applied.
    pub fencing_number: u64,
}

impl Models {
    /// Returns the state with `loaded` ready to serve.
    pub fn new(loaded: Vec<ServedModel>) -> Self {
        Self { loaded, loading: Vec::new(), fencing_number: 0 }
    }

    /// Applies `order`: unloads models that are not listed and returns those to load.
    pub fn apply(&mut self, order: &Order, checks_fencing: bool) -> OrderOutcome {
        if checks_fencing && order.fencing_number < self.fencing_number {
            return OrderOutcome::Fenced;
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        let OrderKind::ServeModels { models } = &order.kind;
        let ordered: Vec<ServedModel> = models
            .iter()
            .map(|listed| ServedModel {
                model: listed.model.clone(),
                weights_version: listed.weights_version.clone(),
            })
            .collect();
        self.loaded.retain(|model| ordered.contains(model));
        self.loading.retain(|model| ordered.contains(model));
        let missing =
            |model: &ServedModel| !self.loaded.contains(model) && !self.loading.contains(model);
        let to_load: Vec<ServedModel> = ordered.into_iter().filter(missing).collect();
        self.loading.extend(to_load.iter().cloned());
        OrderOutcome::Accepted(to_load)
    }

    /// Marks `model` as loaded, unless a later order removed it.
    pub fn finish_load(&mut self, model: &ServedModel) {
        let Some(index) = self.loading.iter().position(|loading| loading == model) else { return };
        let model = self.loading.remove(index);
        self.loaded.push(model);
    }
}
