//! Choice of the partners that a node dials.

use super::messages::MemberRecord;
use crate::types::AvailabilityZone;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Successors on the ring that a node always dials, so that every node is watched by as many.
const RING_SUCCESSORS: usize = 2;

/// Returns the members that `me` dials: all of them up to `max_full_mesh_nodes`, `me` included, and
/// else its successors on the ring of hashes and further ones, other availability zones first.
pub fn choose_partners<'a>(
    me: &MemberRecord,
    others: &[&'a MemberRecord],
    max_full_mesh_nodes: usize,
    partial_mesh_partners: usize,
) -> Vec<&'a MemberRecord> {
    if others.len() < max_full_mesh_nodes {
        return others.to_vec();
    }
    let own_position = xxh3_64(me.instance.as_bytes());
    let mut rest = others.to_vec();
    rest.sort_by_key(|other| xxh3_64(other.instance.as_bytes()).wrapping_sub(own_position));
    let mut chosen: Vec<&MemberRecord> = rest.drain(..RING_SUCCESSORS).collect();
    rest.sort_by_key(|other| xxh3_64_with_seed(other.instance.as_bytes(), own_position));
    while chosen.len() < partial_mesh_partners && !rest.is_empty() {
        let zones: BTreeSet<&AvailabilityZone> =
            chosen.iter().chain([&me]).map(|member| &member.availability_zone).collect();
        let is_new_zone = |other: &&MemberRecord| !zones.contains(&other.availability_zone);
        let index = rest.iter().position(is_new_zone).unwrap_or(0);
        chosen.push(rest.remove(index));
    }
    chosen
}
