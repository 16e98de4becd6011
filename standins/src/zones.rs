//! Simulated network between availability zones: one-way delays, loss and partitions.

use crate::runtime::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// One message in this many between zones is lost and retransmitted.
const LOSS_ONE_IN: u64 = 100;
/// Factor on the delay of a retransmitted message.
const RETRANSMIT_DELAY_FACTOR: u32 = 4;
/// Exclusive upper bound of the jitter added to a delay, in percent of the delay.
const MAX_JITTER_PERCENT: u64 = 25;

/// Link delays and cuts between availability zones, shared by the stand-ins of a site.
#[derive(Clone, Debug, Default)]
pub struct ZoneDelays {
    links: Arc<BTreeMap<(String, String), Duration>>,
    cut_zones: Arc<Mutex<BTreeSet<String>>>,
}

impl ZoneDelays {
    /// Returns links with the one-way delay `one_way` between any two different zones of `zones`.
    pub fn uniform(zones: &[&str], one_way: Duration) -> Self {
        let mut links = BTreeMap::new();
        for from in zones {
            for to in zones.iter().filter(|to| *to != from) {
                links.insert(((*from).to_owned(), (*to).to_owned()), one_way);
            }
        }
        Self { links: Arc::new(links), cut_zones: Arc::default() }
    }

    /// Returns the one-way delay of a message, with loss and jitter drawn from a hash of `message`.
    ///
    /// Zones without a configured link have no delay.
    pub fn delay(&self, from: &str, to: &str, message: &str) -> Duration {
        let Some(&delay) = self.links.get(&(from.to_owned(), to.to_owned())) else {
            return Duration::ZERO;
        };
        let hash = xxh3_64(message.as_bytes());
        if hash.is_multiple_of(LOSS_ONE_IN) {
            return delay * RETRANSMIT_DELAY_FACTOR;
        }
        let jitter_percent = (hash >> 32) % MAX_JITTER_PERCENT;
        delay + delay.mul_f64(jitter_percent as f64 / 100.0)
    }

    /// Cuts all links between `zone` and the other zones, or restores them if `cut` is false.
    pub fn set_cut(&self, zone: &str, cut: bool) {
        let mut cut_zones = lock(&self.cut_zones);
        if cut {
            cut_zones.insert(zone.to_owned());
        } else {
            cut_zones.remove(zone);
        }
    }

    /// Returns whether the link between two different zones is cut.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        let cut_zones = lock(&self.cut_zones);
        from != to && (cut_zones.contains(from) || cut_zones.contains(to))
    }
}
