//! Which nodes are told of a stream, and asked for it: the first ones by rendezvous hashing, in different
//! availability zones.

use super::origin_messages::StreamKey;
use crate::decision::relay::peer_node::PeerNode;
use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Other nodes that are told of a stream.
pub(super) const OWNERS: usize = 3;

/// Other nodes that are asked for a stream; more than its owners, since the nodes may disagree for a
/// moment on which are live.
pub(super) const ASKED_NODES: usize = 8;

/// Nodes with the highest hashes for a stream, among which its owners and those that are asked are.
const RANKED_NODES: usize = 2 * ASKED_NODES;

/// Returns the hash by which a node is remembered as told.
pub(super) fn node_hash(node: &PeerNode) -> u64 {
    xxh3_64(node.instance.as_bytes())
}

/// Returns the first `count` of the nodes for a stream: the first ones of several availability zones,
/// then the others, by their hashes.
pub(super) fn ranked_nodes<'a>(
    nodes: impl IntoIterator<Item = &'a PeerNode>,
    stream: StreamKey,
    count: usize,
) -> Vec<&'a PeerNode> {
    let hash = |node: &PeerNode| xxh3_64_with_seed(node.instance.as_bytes(), stream);
    let mut ranked: Vec<(Reverse<u64>, &PeerNode)> =
        nodes.into_iter().map(|node| (Reverse(hash(node)), node)).collect();
    if ranked.len() > RANKED_NODES {
        ranked.select_nth_unstable_by_key(RANKED_NODES, |(hash, _)| *hash);
        ranked.truncate(RANKED_NODES);
    }
    ranked.sort_by(|(left, a), (right, b)| (left, &a.instance).cmp(&(right, &b.instance)));
    let mut chosen: Vec<&PeerNode> = Vec::with_capacity(count);
    for (_, node) in &ranked {
        let is_in_new_zone =
            chosen.iter().all(|other| other.availability_zone != node.availability_zone);
        if chosen.len() < OWNERS && is_in_new_zone {
            chosen.push(node);
        }
    }
    for (_, node) in &ranked {
        if chosen.len() < count && !chosen.contains(node) {
            chosen.push(node);
        }
    }
    chosen
}
