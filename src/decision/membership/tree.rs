//! Tree over all live nodes, along which what each of them has is summed.
//!
//! Every node works the tree out from its member set alone. In each availability zone one node is
//! the hub; the hub's children are about as many as the square root of the zone's nodes, and each
//! other node hangs below one of these. The hubs hang below that of the first zone. Positions come
//! from hashes of the nodes' ids, so that the loss of a node moves few others.

use super::messages::MemberRecord;
use crate::types::{AvailabilityZone, InstanceId};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Place of a node in the tree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TreePlace {
    /// Node above, none at the root.
    pub parent: Option<InstanceId>,
    /// Nodes below.
    pub children: Vec<InstanceId>,
}

impl TreePlace {
    /// Returns the nodes next to this one.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.parent.iter().chain(&self.children)
    }
}

/// Returns the place of `me` in the tree over `me` and `others`.
pub fn tree_place(me: &MemberRecord, others: &[&MemberRecord]) -> TreePlace {
    let mut zones: BTreeMap<&AvailabilityZone, Vec<&MemberRecord>> = BTreeMap::new();
    for member in others.iter().copied().chain([me]) {
        zones.entry(&member.availability_zone).or_default().push(member);
    }
    for members in zones.values_mut() {
        members.sort_by_key(|member| Reverse((position(member), &member.instance)));
    }
    let hubs: Vec<&MemberRecord> = zones.values().map(|members| members[0]).collect();
    let zone = &zones[&me.availability_zone];
    let below_hub = zone.len().isqrt();
    let (upper, lower) = zone[1..].split_at(below_hub.min(zone.len() - 1));
    let is_me = |member: &&MemberRecord| member.instance == me.instance;
    let ids = |members: &[&MemberRecord]| -> Vec<InstanceId> {
        members.iter().map(|member| member.instance.clone()).collect()
    };
    if is_me(&zone[0]) {
        let mut children = ids(upper);
        let is_root = is_me(&hubs[0]);
        if is_root {
            children.extend(ids(&hubs[1..]));
        }
        let parent = (!is_root).then(|| hubs[0].instance.clone());
        return TreePlace { parent, children };
    }
    if upper.iter().any(is_me) {
        let is_child = |member: &&MemberRecord| is_me(&upper_node(member, upper));
        let children: Vec<&MemberRecord> = lower.iter().copied().filter(is_child).collect();
        return TreePlace { parent: Some(zone[0].instance.clone()), children: ids(&children) };
    }
    TreePlace { parent: Some(upper_node(me, upper).instance.clone()), children: Vec::new() }
}

fn position(member: &MemberRecord) -> u64 {
    xxh3_64(member.instance.as_bytes())
}

/// Returns the node of the upper level below which a lower one hangs.
fn upper_node<'a>(lower: &MemberRecord, upper: &[&'a MemberRecord]) -> &'a MemberRecord {
    let seed = position(lower);
    let highest = |node: &&&MemberRecord| xxh3_64_with_seed(node.instance.as_bytes(), seed);
    upper.iter().max_by_key(highest).expect("a zone with a lower level has an upper one")
}
