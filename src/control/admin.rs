//! Publishes what the administration API shows of the nodes.

use super::ControlState;
use crate::admin::messages::{NodeReply, NodeState};
use std::sync::Arc;

impl ControlState {
    /// Publishes the nodes and what each has in force.
    pub(super) fn publish_nodes(&mut self) {
        let nodes = vec![self.own_node()];
        if *self.admin.nodes != nodes {
            Arc::make_mut(&mut self.admin).nodes = Arc::new(nodes);
        }
    }

    fn own_node(&self) -> NodeReply {
        let announcement = self.configuration.announcement();
        NodeReply {
            instance: self.context.instance.clone(),
            availability_zone: self.context.settings.availability_zone.clone(),
            state: NodeState::Live,
            configuration_offset: Some(announcement.offset),
            in_force: Some(announcement.in_force),
        }
    }
}
