//! Aggregation tree over all live nodes, along which their reports are summed.
//!
//! Each node computes the tree from its own member set. One node per availability zone is the hub.
//! About as many nodes as the square root of the zone's size are the hub's children (the middle
//! level), and every other node of the zone is a leaf below one of these. The hub with the largest
//! processor, of the first such zone, is the root, and the parent of the other hubs. Nodes are ordered by their processors, since a hub
//! forwards for many others, and then by hashes of their instance ids, so that the loss of a node
//! changes the place of few others.

use super::messages::MemberRecord;
use crate::types::{AvailabilityZone, InstanceId};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Place of a node in the tree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TreePlace {
    /// Parent, none at the root.
    pub parent: Option<InstanceId>,
    /// Children.
    pub children: Vec<InstanceId>,
}

impl TreePlace {
    /// Returns the parent and the children.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.parent.iter().chain(&self.children)
    }
}

/// Returns the place of `local` in the tree over `local` and `others`.
pub fn tree_place(local: &MemberRecord, others: &[&MemberRecord]) -> TreePlace {
    let mut zones: BTreeMap<&AvailabilityZone, Vec<&MemberRecord>> = BTreeMap::new();
    for member in others.iter().copied().chain([local]) {
        zones.entry(&member.availability_zone).or_default().push(member);
    }
    for members in zones.values_mut() {
        members.sort_by_key(|member| {
            Reverse((member.processor_percent, hash_rank(member), &member.instance))
        });
    }
    let mut hubs: Vec<&MemberRecord> = zones.values().map(|members| members[0]).collect();
    hubs.sort_by_key(|hub| Reverse(hub.processor_percent));
    let zone = &zones[&local.availability_zone];
    let middle_len = zone.len().isqrt();
    let (middle, leaves) = zone[1..].split_at(middle_len.min(zone.len() - 1));
    let is_local = |member: &&MemberRecord| member.instance == local.instance;
    let ids = |members: &[&MemberRecord]| -> Vec<InstanceId> {
        members.iter().map(|member| member.instance.clone()).collect()
    };
    if is_local(&zone[0]) {
        let mut children = ids(middle);
        let is_root = is_local(&hubs[0]);
        if is_root {
            children.extend(ids(&hubs[1..]));
        }
        let parent = (!is_root).then(|| hubs[0].instance.clone());
        return TreePlace { parent, children };
    }
    if middle.iter().any(is_local) {
        let is_child = |member: &&MemberRecord| is_local(&parent_of_leaf(member, middle));
        let children: Vec<&MemberRecord> = leaves.iter().copied().filter(is_child).collect();
        return TreePlace { parent: Some(zone[0].instance.clone()), children: ids(&children) };
    }
    TreePlace { parent: Some(parent_of_leaf(local, middle).instance.clone()), children: Vec::new() }
}

fn hash_rank(member: &MemberRecord) -> u64 {
    xxh3_64(member.instance.as_bytes())
}

/// Returns the node of the middle level that is the parent of `leaf`.
fn parent_of_leaf<'a>(leaf: &MemberRecord, middle: &[&'a MemberRecord]) -> &'a MemberRecord {
    let seed = hash_rank(leaf);
    let highest = |node: &&&MemberRecord| xxh3_64_with_seed(node.instance.as_bytes(), seed);
    middle.iter().max_by_key(highest).expect("a zone with leaves has a middle level")
}
