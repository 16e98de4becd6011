//! Compares the block cache with a naive reference implementation that stores its blocks in a list.

use coriandertide_standins::engine::cache::{BlockCache, LevelChange, PrefixLevel};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const CAPACITY_BLOCKS: usize = 12;

/// Reference cache: blocks from least to most recently used, and level keys by their last block.
#[derive(Default)]
struct NaiveCache {
    blocks: Vec<u64>,
    keys: BTreeMap<u64, BTreeSet<u64>>,
}

impl NaiveCache {
    fn store(&mut self, hashes: &[u64], levels: &[PrefixLevel]) -> Vec<LevelChange> {
        let mut changes = Vec::new();
        for hash in hashes.iter().rev() {
            self.blocks.retain(|block| block != hash);
            if self.blocks.len() == CAPACITY_BLOCKS {
                let evicted = self.blocks.remove(0);
                let keys = self.keys.remove(&evicted).unwrap_or_default();
                changes.extend(keys.into_iter().map(|key| LevelChange::Evicted { key }));
            }
            self.blocks.push(*hash);
        }
        for level in levels.iter().filter(|level| level.blocks > 0) {
            let last = hashes[level.blocks - 1];
            if self.blocks.contains(&last) && self.keys.entry(last).or_default().insert(level.key) {
                changes.push(LevelChange::Stored { key: level.key, blocks: level.blocks });
            }
        }
        changes
    }
}

/// Returns `blocks` block hashes of a prompt that starts with `document`, and its prefix levels.
fn prompt(document: u64, blocks: usize) -> (Vec<u64>, Vec<PrefixLevel>) {
    let hashes: Vec<u64> = (0..blocks as u64).map(|block| document * 100 + block).collect();
    let levels = [1, blocks / 2, blocks];
    let levels = levels.map(|blocks| PrefixLevel { key: document * 1_000 + blocks as u64, blocks });
    (hashes, levels.to_vec())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        cases: std::env::var("COT_PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(256),
        ..ProptestConfig::default()
    })]

    #[test]
    fn cache_matches_naive_implementation(
        prompts in prop::collection::vec((0_u64..6, 1_usize..16), 1..40),
    ) {
        let mut cache = BlockCache::new(CAPACITY_BLOCKS);
        let mut naive = NaiveCache::default();
        for (document, blocks) in prompts {
            let (hashes, levels) = prompt(document, blocks);
            prop_assert_eq!(cache.store(&hashes, &levels), naive.store(&hashes, &levels));
            for document in 0..6 {
                let (hashes, _) = prompt(document, 15);
                let cached = hashes.iter().take_while(|hash| naive.blocks.contains(hash)).count();
                prop_assert_eq!(cache.cached_blocks(&hashes), cached);
            }
        }
    }
}
