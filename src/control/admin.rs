//! Updates the view of nodes, leases and power for the administration API, and its metrics.

use super::ControlState;
use crate::admin::messages::{LeaseReply, NodeReply, NodeState, PowerReply};
use crate::decision::leases::LeaseKind;
use crate::decision::membership::{MemberRecord, MemberStatus};
use crate::types::InstanceId;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Minimum time between two updates of the view.
const PUBLISH_PERIOD: Duration = Duration::from_millis(500);

impl ControlState {
    /// Updates nodes, leases and power in the view, at most once per [`PUBLISH_PERIOD`].
    pub(super) fn tick_admin(&mut self, now: Instant) {
        if self.next_admin_publish_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_admin_publish_at = Some(now + PUBLISH_PERIOD);
        self.publish_nodes();
        self.publish_leases();
        self.publish_power(now);
    }

    /// Updates the nodes in the view, with the configuration that each has in force.
    pub(super) fn publish_nodes(&mut self) {
        self.remove_stale_announcements();
        let mut nodes = vec![self.local_node_reply()];
        nodes.extend(self.links.membership.live_members().map(|member| self.member_reply(member)));
        nodes.sort_by(|a, b| a.instance.cmp(&b.instance));
        if *self.admin.nodes != nodes {
            Arc::make_mut(&mut self.admin).nodes = Arc::new(nodes);
        }
    }

    /// Removes the announcements of nodes that are no longer live.
    fn remove_stale_announcements(&mut self) {
        let live: BTreeSet<&InstanceId> =
            self.links.membership.live_members().map(|member| &member.instance).collect();
        self.configuration_exchange.announcements.retain(|instance, _| live.contains(instance));
    }

    fn local_node_reply(&self) -> NodeReply {
        let announcement = self.configuration.announcement();
        NodeReply {
            instance: self.context.instance.clone(),
            availability_zone: self.context.settings.availability_zone.clone(),
            state: NodeState::Live,
            configuration_offset: Some(announcement.offset),
            in_force: Some(announcement.in_force),
        }
    }

    fn member_reply(&self, member: &MemberRecord) -> NodeReply {
        let announcement = self.configuration_exchange.announcements.get(&member.instance);
        NodeReply {
            instance: member.instance.clone(),
            availability_zone: member.availability_zone.clone(),
            state: match member.status {
                MemberStatus::Alive => NodeState::Live,
                MemberStatus::Suspect | MemberStatus::Dead => NodeState::Suspected,
                MemberStatus::Left => NodeState::Leaving,
            },
            configuration_offset: announcement.map(|announcement| announcement.offset),
            in_force: announcement.map(|announcement| announcement.in_force),
        }
    }

    fn publish_leases(&mut self) {
        let leases: Vec<LeaseReply> = LeaseKind::iter()
            .map(|kind| LeaseReply {
                kind: <&'static str>::from(kind).into(),
                holder: self.leases.holder(kind).cloned(),
                fencing_number: self.leases.fencing_number(kind),
            })
            .collect();
        let held = LeaseKind::iter().filter(|kind| self.held_lease(*kind).is_some()).count();
        self.context.metrics.leases_held.set(i64::try_from(held).unwrap_or(i64::MAX));
        if *self.admin.leases != leases {
            Arc::make_mut(&mut self.admin).leases = Arc::new(leases);
        }
    }

    fn publish_power(&mut self, now: Instant) {
        let stats = self.power.stats(now);
        let budget_watts =
            self.document.as_ref().map_or(0, |document| u64::from(document.site.budget_watts));
        let reply = PowerReply {
            budget_watts,
            allowed_watts: stats.allowed_watts,
            committed_watts: stats.committed_watts,
            given_watts: stats.given_watts,
            received_watts: stats.received_watts,
        };
        let metrics = &self.context.metrics;
        metrics.power_share_watts.set(watts_gauge(stats.allowed_watts));
        metrics.power_committed_watts.set(watts_gauge(stats.committed_watts));
        if self.admin.power != reply {
            Arc::make_mut(&mut self.admin).power = reply;
        }
    }
}

fn watts_gauge(watts: u64) -> i64 {
    i64::try_from(watts).unwrap_or(i64::MAX)
}
