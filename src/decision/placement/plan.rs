//! Plan: the next orders that bring what servers serve closer to what the document and the
//! measured demand ask for, with as few moves as possible.

use super::messages::{PlacementReason, PlannedOrder};
use crate::document::Document;
use crate::ports::LoadedModel;
use crate::types::{AvailabilityZone, ModelId, ServerId};
use std::collections::BTreeMap;

/// Server as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Models that it serves, or is ordered to serve.
    pub models: Vec<LoadedModel>,
    /// Whether it may get an order now.
    pub may_order: bool,
    /// Whether it is in service; a leaving or unreachable server does not count.
    pub is_in_service: bool,
}

/// State that one planning works on; orders change it as they are planned.
struct Plan<'a> {
    document: &'a Document,
    servers: BTreeMap<ServerId, ServerView>,
    wanted: &'a BTreeMap<ModelId, u32>,
    free_loads: usize,
    orders: Vec<PlannedOrder>,
}

/// Returns the next orders; at most `free_loads` of them load weights, one for each server.
pub fn next_orders(
    document: &Document,
    servers: BTreeMap<ServerId, ServerView>,
    wanted: &BTreeMap<ModelId, u32>,
    free_loads: usize,
) -> Vec<PlannedOrder> {
    let mut plan = Plan { document, servers, wanted, free_loads, orders: Vec::new() };
    plan.add_servers(PlacementReason::LeastServers);
    plan.roll_versions();
    plan.add_servers(PlacementReason::Demand);
    plan.retire_models();
    plan.orders
}

impl Plan<'_> {
    /// Adds servers to models that have too few for `reason`, the one that lacks most first.
    fn add_servers(&mut self, reason: PlacementReason) {
        while self.free_loads > 0 {
            let lacking =
                |model: &ModelId| self.target(model, reason).saturating_sub(self.count(model));
            let mut models: Vec<(u32, &ModelId)> = self
                .document
                .models
                .keys()
                .map(|model| (lacking(model), model))
                .filter(|(lacking, _)| *lacking > 0)
                .collect();
            models.sort_by_key(|(lacking, _)| std::cmp::Reverse(*lacking));
            let found = models.iter().find_map(|(_, model)| {
                self.server_for(model, reason).map(|server| ((*model).clone(), server))
            });
            let Some((model, server)) = found else { return };
            self.order_added(&model, &server, reason);
        }
    }

    fn target(&self, model: &ModelId, reason: PlacementReason) -> u32 {
        let least = self.document.models.get(model).map_or(0, |model| model.least_servers);
        match reason {
            PlacementReason::Demand => self.wanted.get(model).copied().unwrap_or(least),
            _ => least,
        }
    }

    /// Servers in service that serve any version of `model`.
    fn count(&self, model: &ModelId) -> u32 {
        let serving =
            self.servers.values().filter(|view| view.is_in_service && serves(view, model));
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    /// Returns the server to add `model` to: a free slot first, then an availability zone with few
    /// servers of the model, then few models.
    fn server_for(&self, model: &ModelId, reason: PlacementReason) -> Option<ServerId> {
        let ranked = |server: &ServerId, view: &ServerView| {
            let is_replacing = self.kept_models(server, view, reason)?.len()
                < known_models(self.document, view).len();
            let zone = &self.document.servers.get(server)?.availability_zone;
            Some((is_replacing, self.count_in_zone(model, zone), view.models.len(), server.clone()))
        };
        self.servers
            .iter()
            .filter(|(_, view)| view.is_in_service && view.may_order && !serves(view, model))
            .filter_map(|(server, view)| ranked(server, view))
            .min()
            .map(|(_, _, _, server)| server)
    }

    fn count_in_zone(&self, model: &ModelId, zone: &AvailabilityZone) -> usize {
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

    /// Returns the models that `server` keeps when one more is added, or none if no slot is free
    /// and no model on it has a server too many.
    fn kept_models(
        &self,
        server: &ServerId,
        view: &ServerView,
        reason: PlacementReason,
    ) -> Option<Vec<LoadedModel>> {
        let mut kept = known_models(self.document, view);
        let slots = usize::try_from(self.document.servers.get(server)?.model_slots).ok()?;
        if kept.len() < slots {
            return Some(kept);
        }
        let surplus = |loaded: &LoadedModel| {
            let count = self.count(&loaded.model);
            count.saturating_sub(self.target(&loaded.model, reason).max(1))
        };
        let (index, _) = kept
            .iter()
            .enumerate()
            .filter(|(_, loaded)| surplus(loaded) > 0)
            .max_by_key(|(_, loaded)| surplus(loaded))?;
        kept.remove(index);
        Some(kept)
    }

    fn order_added(&mut self, model: &ModelId, server: &ServerId, reason: PlacementReason) {
        let view = &self.servers[server];
        let Some(mut models) = self.kept_models(server, view, reason) else { return };
        models.extend(wanted_model(self.document, model));
        self.free_loads -= 1;
        self.order(server, model, models, reason);
    }

    fn order(
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

    /// Brings servers to the weights in force, one after another: while a server loads, another
    /// one that may not get an order because it loads or is not to be touched serves the model.
    fn roll_versions(&mut self) {
        for model in self.document.models.keys() {
            while self.free_loads > 0 {
                if self.add_before_roll(model) {
                    break;
                }
                let Some(server) = self.outdated_server(model) else { break };
                let models = known_models(self.document, &self.servers[&server])
                    .into_iter()
                    .filter_map(|loaded| wanted_model(self.document, &loaded.model))
                    .collect();
                self.free_loads -= 1;
                self.order(&server, model, models, PlacementReason::WeightsVersion);
            }
        }
    }

    /// If one server alone serves an outdated `model` and another one has a free slot, adds that one
    /// first, so that the model is never without a server.
    fn add_before_roll(&mut self, model: &ModelId) -> bool {
        if self.count(model) != 1 || self.outdated_server(model).is_none() {
            return false;
        }
        let Some(server) = self.server_for(model, PlacementReason::WeightsVersion) else {
            return false;
        };
        let view = &self.servers[&server];
        let known = known_models(self.document, view);
        let kept = self.kept_models(&server, view, PlacementReason::WeightsVersion);
        if kept != Some(known) {
            return false;
        }
        self.order_added(model, &server, PlacementReason::WeightsVersion);
        true
    }

    /// Returns a server of `model` that serves an outdated form of it, if it can be spared by every
    /// model that it would reload.
    fn outdated_server(&self, model: &ModelId) -> Option<ServerId> {
        self.servers
            .iter()
            .filter(|(_, view)| view.is_in_service && view.may_order)
            .find(|(_, view)| {
                let mut outdated = view.models.iter().filter(|loaded| self.is_outdated(loaded));
                outdated.any(|loaded| loaded.model == *model) && self.can_spare(view)
            })
            .map(|(server, _)| server.clone())
    }

    fn is_outdated(&self, loaded: &LoadedModel) -> bool {
        wanted_model(self.document, &loaded.model).is_some_and(|wanted| wanted != *loaded)
    }

    /// Whether each outdated model of a server has another server that is not about to load, or no
    /// other server at all.
    fn can_spare(&self, view: &ServerView) -> bool {
        view.models.iter().filter(|loaded| self.is_outdated(loaded)).all(|loaded| {
            let settled = |view: &&ServerView| view.may_order && serves(view, &loaded.model);
            let in_service = self.servers.values().filter(|view| view.is_in_service);
            self.count(&loaded.model) == 1 || in_service.filter(settled).count() >= 2
        })
    }

    /// Drops models that the document no longer names; loads nothing.
    fn retire_models(&mut self) {
        for server in self.servers.keys().cloned().collect::<Vec<_>>() {
            let view = &self.servers[&server];
            let kept = known_models(self.document, view);
            let retired = view.models.iter().find(|loaded| !kept.contains(loaded));
            let Some(retired) = retired.map(|loaded| loaded.model.clone()) else { continue };
            if view.may_order && view.is_in_service {
                self.order(&server, &retired, kept, PlacementReason::Retired);
            }
        }
    }
}

/// Returns the form in which the document wants `model`.
pub fn wanted_model(document: &Document, model: &ModelId) -> Option<LoadedModel> {
    let wanted = document.models.get(model)?;
    Some(LoadedModel {
        model: model.clone(),
        weights_version: wanted.weights_version.clone(),
        adapters: wanted.adapters.clone(),
    })
}

fn known_models(document: &Document, view: &ServerView) -> Vec<LoadedModel> {
    let is_known = |loaded: &&LoadedModel| document.models.contains_key(&loaded.model);
    view.models.iter().filter(is_known).cloned().collect()
}

fn serves(view: &ServerView, model: &ModelId) -> bool {
    view.models.iter().any(|loaded| loaded.model == *model)
}
