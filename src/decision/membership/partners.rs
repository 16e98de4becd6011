//! Selection of the partners that a node dials.

use super::messages::MemberRecord;
use crate::types::AvailabilityZone;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Successors on the hash ring that a node always dials, so that each node is monitored by at least
/// this many others.
const RING_SUCCESSORS: usize = 2;

/// Returns the members that `local` dials: all of them while there are at most
/// `max_full_mesh_nodes` nodes including `local`, otherwise its successors on the hash ring and
/// further members, preferring availability zones without a partner yet.
pub fn choose_partners<'a>(
    local: &MemberRecord,
    others: &[&'a MemberRecord],
    max_full_mesh_nodes: usize,
    partial_mesh_partners: usize,
) -> Vec<&'a MemberRecord> {
    if others.len() < max_full_mesh_nodes {
        return others.to_vec();
    }
    let local_position = xxh3_64(local.instance.as_bytes());
    let mut candidates = others.to_vec();
    candidates.sort_by_key(|other| xxh3_64(other.instance.as_bytes()).wrapping_sub(local_position));
    let mut chosen: Vec<&MemberRecord> = candidates.drain(..RING_SUCCESSORS).collect();
    candidates.sort_by_key(|other| xxh3_64_with_seed(other.instance.as_bytes(), local_position));
    while chosen.len() < partial_mesh_partners && !candidates.is_empty() {
        let zones: BTreeSet<&AvailabilityZone> =
            chosen.iter().chain([&local]).map(|member| &member.availability_zone).collect();
        let is_in_new_zone = |other: &&MemberRecord| !zones.contains(&other.availability_zone);
        let index = candidates.iter().position(is_in_new_zone).unwrap_or(0);
        chosen.push(candidates.remove(index));
    }
    chosen
}
