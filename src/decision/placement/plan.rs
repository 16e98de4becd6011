//! Plans the next orders that bring the loaded models closer to the document and the demand, with
//! as few loads as possible.

use super::messages::{PlacementReason, PlannedOrder};
use crate::document::Document;
use crate::ports::LoadedModel;
use crate::types::{AvailabilityZone, ModelId, ServerId};
use std::collections::BTreeMap;

/// State of a server as input of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Models that it serves or has been ordered to serve.
    pub models: Vec<LoadedModel>,
    /// Whether it may get an order now: it is not loading, and no older order can still arrive.
    pub may_order: bool,
    /// Whether it is neither leaving nor unreachable.
    pub is_in_service: bool,
}

/// Working state of one planning run; `servers` includes the effect of the orders planned so far.
struct Plan<'a> {
    document: &'a Document,
    servers: BTreeMap<ServerId, ServerView>,
    target_servers: &'a BTreeMap<ModelId, u32>,
    remaining_loads: usize,
    orders: Vec<PlannedOrder>,
}

/// Returns the next orders, at most one for each server; at most `remaining_loads` of them load
/// weights.
pub fn next_orders(
    document: &Document,
    servers: BTreeMap<ServerId, ServerView>,
    target_servers: &BTreeMap<ModelId, u32>,
    remaining_loads: usize,
) -> Vec<PlannedOrder> {
    let mut plan = Plan { document, servers, target_servers, remaining_loads, orders: Vec::new() };
    plan.add_servers(PlacementReason::LeastServers);
    plan.update_weights();
    plan.add_servers(PlacementReason::Demand);
    plan.retire_models();
    plan.orders
}

impl Plan<'_> {
    /// Adds servers to the models that have too few for `reason`, the model that lacks most first.
    fn add_servers(&mut self, reason: PlacementReason) {
        while self.remaining_loads > 0 {
            let missing = |model: &ModelId| {
                self.target_count(model, reason).saturating_sub(self.serving_count(model))
            };
            let mut models: Vec<(u32, &ModelId)> = self
                .document
                .models
                .keys()
                .map(|model| (missing(model), model))
                .filter(|(missing, _)| *missing > 0)
                .collect();
            models.sort_by_key(|(missing, _)| std::cmp::Reverse(*missing));
            let found = models.iter().find_map(|(_, model)| {
                self.best_server_for(model, reason).map(|server| ((*model).clone(), server))
            });
            let Some((model, server)) = found else { return };
            self.add_model(&model, &server, reason);
        }
    }

    /// Number of servers that `model` should have: by demand, or the document's minimum.
    fn target_count(&self, model: &ModelId, reason: PlacementReason) -> u32 {
        let min_servers = self.document.models.get(model).map_or(0, |model| model.least_servers);
        match reason {
            PlacementReason::Demand => {
                self.target_servers.get(model).copied().unwrap_or(min_servers)
            }
            _ => min_servers,
        }
    }

    /// Number of servers in service that serve any version of `model`.
    fn serving_count(&self, model: &ModelId) -> u32 {
        let serving =
            self.servers.values().filter(|view| view.is_in_service && serves(view, model));
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    /// Returns the server to add `model` to. Servers with a free slot rank first, then those in the
    /// availability zone with the fewest servers of the model, then those with the fewest models.
    fn best_server_for(&self, model: &ModelId, reason: PlacementReason) -> Option<ServerId> {
        let ranked = |server: &ServerId, view: &ServerView| {
            let is_replacing = self.kept_models(server, view, reason)?.len()
                < configured_models(self.document, view).len();
            let zone = &self.document.servers.get(server)?.availability_zone;
            Some((
                is_replacing,
                self.serving_count_in_zone(model, zone),
                view.models.len(),
                server.clone(),
            ))
        };
        self.servers
            .iter()
            .filter(|(_, view)| view.is_in_service && view.may_order && !serves(view, model))
            .filter_map(|(server, view)| ranked(server, view))
            .min()
            .map(|(_, _, _, server)| server)
    }

    fn serving_count_in_zone(&self, model: &ModelId, zone: &AvailabilityZone) -> usize {
        let in_zone = |server: &ServerId| {
            self.document
                .servers
                .get(server)
                .is_some_and(|server| server.availability_zone == *zone)
        };
        let serving =
            self.servers.iter().filter(|(server, view)| serves(view, model) && in_zone(server));
        serving.count()
    }

    /// Returns the models that `server` keeps when one is added, or `None` if no slot is free and
    /// none of its models has more servers than its target.
    fn kept_models(
        &self,
        server: &ServerId,
        view: &ServerView,
        reason: PlacementReason,
    ) -> Option<Vec<LoadedModel>> {
        let mut kept = configured_models(self.document, view);
        let slots = usize::try_from(self.document.servers.get(server)?.model_slots).ok()?;
        if kept.len() < slots {
            return Some(kept);
        }
        let surplus = |loaded: &LoadedModel| {
            let count = self.serving_count(&loaded.model);
            count.saturating_sub(self.target_count(&loaded.model, reason).max(1))
        };
        let (index, _) = kept
            .iter()
            .enumerate()
            .filter(|(_, loaded)| surplus(loaded) > 0)
            .max_by_key(|(_, loaded)| surplus(loaded))?;
        kept.remove(index);
        Some(kept)
    }

    fn add_model(&mut self, model: &ModelId, server: &ServerId, reason: PlacementReason) {
        let view = &self.servers[server];
        let Some(mut models) = self.kept_models(server, view, reason) else { return };
        models.extend(target_model(self.document, model));
        self.remaining_loads -= 1;
        self.push_order(server, model, models, reason);
    }

    fn push_order(
        &mut self,
        server: &ServerId,
        model: &ModelId,
        models: Vec<LoadedModel>,
        reason: PlacementReason,
    ) {
        if let Some(view) = self.servers.get_mut(server) {
            view.models.clone_from(&models);
            view.may_order = false;
        }
        let (server, model) = (server.clone(), model.clone());
        self.orders.push(PlannedOrder { server, models, model, reason });
    }

    /// Reloads servers with outdated weights or adapters. A model with several servers always keeps
    /// one that is not loading, so that it stays available.
    fn update_weights(&mut self) {
        for model in self.document.models.keys() {
            while self.remaining_loads > 0 {
                if self.add_before_update(model) {
                    break;
                }
                let Some(server) = self.outdated_server(model) else { break };
                let models = configured_models(self.document, &self.servers[&server])
                    .into_iter()
                    .filter_map(|loaded| target_model(self.document, &loaded.model))
                    .collect();
                self.remaining_loads -= 1;
                self.push_order(&server, model, models, PlacementReason::WeightsVersion);
            }
        }
    }

    /// If the only server of `model` is outdated and another server has a free slot, adds the model
    /// there first, so that the model always has a server.
    fn add_before_update(&mut self, model: &ModelId) -> bool {
        if self.serving_count(model) != 1 || self.outdated_server(model).is_none() {
            return false;
        }
        let Some(server) = self.best_server_for(model, PlacementReason::WeightsVersion) else {
            return false;
        };
        let view = &self.servers[&server];
        let configured = configured_models(self.document, view);
        let kept = self.kept_models(&server, view, PlacementReason::WeightsVersion);
        if kept != Some(configured) {
            return false;
        }
        self.add_model(model, &server, PlacementReason::WeightsVersion);
        true
    }

    /// Returns a server with an outdated version of `model` that may reload all its outdated models
    /// now.
    fn outdated_server(&self, model: &ModelId) -> Option<ServerId> {
        self.servers
            .iter()
            .filter(|(_, view)| view.is_in_service && view.may_order)
            .find(|(_, view)| {
                let mut outdated = view.models.iter().filter(|loaded| self.is_outdated(loaded));
                outdated.any(|loaded| loaded.model == *model) && self.can_reload(view)
            })
            .map(|(server, _)| server.clone())
    }

    fn is_outdated(&self, loaded: &LoadedModel) -> bool {
        target_model(self.document, &loaded.model).is_some_and(|target| target != *loaded)
    }

    /// Whether each outdated model of a server has another server that may get an order as well (so
    /// is not loading), or no other server at all.
    fn can_reload(&self, view: &ServerView) -> bool {
        view.models.iter().filter(|loaded| self.is_outdated(loaded)).all(|loaded| {
            let can_serve = |view: &&ServerView| view.may_order && serves(view, &loaded.model);
            let in_service = self.servers.values().filter(|view| view.is_in_service);
            self.serving_count(&loaded.model) == 1 || in_service.filter(can_serve).count() >= 2
        })
    }

    /// Removes models that the document no longer contains; this loads no weights.
    fn retire_models(&mut self) {
        for server in self.servers.keys().cloned().collect::<Vec<_>>() {
            let view = &self.servers[&server];
            let kept = configured_models(self.document, view);
            let retired = view.models.iter().find(|loaded| !kept.contains(loaded));
            let Some(retired) = retired.map(|loaded| loaded.model.clone()) else { continue };
            if view.may_order && view.is_in_service {
                self.push_order(&server, &retired, kept, PlacementReason::Retired);
            }
        }
    }
}

/// Returns `model` with the weights and adapters that the document states.
pub fn target_model(document: &Document, model: &ModelId) -> Option<LoadedModel> {
    let target = document.models.get(model)?;
    Some(LoadedModel {
        model: model.clone(),
        weights_version: target.weights_version.clone(),
        adapters: target.adapters.clone(),
    })
}

fn configured_models(document: &Document, view: &ServerView) -> Vec<LoadedModel> {
    let is_configured = |loaded: &&LoadedModel| document.models.contains_key(&loaded.model);
    view.models.iter().filter(is_configured).cloned().collect()
}

fn serves(view: &ServerView, model: &ModelId) -> bool {
    view.models.iter().any(|loaded| loaded.model == *model)
}
