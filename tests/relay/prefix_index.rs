//! Prefix index, and the share of the link to the store.

use super::fixture::ms;
use coriandertide::decision::relay::StoreLink;
use coriandertide::decision::relay::configuration::KvCacheStore;
use coriandertide::decision::relay::prefix_index::PrefixIndex;
use std::net::SocketAddr;
use std::time::Instant;

#[test]
fn entries_expire_and_are_cleared_with_the_store() {
    let now = Instant::now();
    let mut prefixes = PrefixIndex::default();
    prefixes.add_stored(&[1, 2], now);
    prefixes.add_stored(&[1], now);
    assert_eq!(prefixes.take_newly_stored(), [1, 2]);
    assert!(prefixes.is_stored(1, now + ms(40_000)) && !prefixes.is_stored(1, now + ms(46_000)));
    prefixes.add_stored_by_partner(&[3], now);
    assert!(prefixes.take_newly_stored().is_empty());
    prefixes.clear_stored();
    assert!(!prefixes.is_stored(1, now) && !prefixes.is_stored(3, now));
    prefixes.add_cached(&[1], &"a".into(), true, now);
    assert_eq!(prefixes.likely_cached_on(1, now + ms(7_000)), Some(&"a".into()));
    assert_eq!(prefixes.likely_cached_on(1, now + ms(9_000)), None);
    assert!(prefixes.is_cached_on(1, &"a".into(), now + ms(1_900)));
    assert!(!prefixes.is_cached_on(1, &"a".into(), now + ms(2_100)));
}

#[test]
fn a_save_is_retried_after_a_delay() {
    let now = Instant::now();
    let mut prefixes = PrefixIndex::default();
    assert!(prefixes.needs_save(1, now));
    prefixes.mark_saving(&[1], now);
    assert!(!prefixes.needs_save(1, now + ms(1_000)));
    assert!(prefixes.needs_save(1, now + ms(1_600)));
}

#[test]
fn the_index_is_bounded() {
    let now = Instant::now();
    let mut prefixes = PrefixIndex::default();
    for key in 0..100_000 {
        prefixes.add_stored_by_partner(&[key], now);
    }
    let stored = (0..100_000).filter(|key| prefixes.is_stored(*key, now)).count();
    assert!(stored <= 16_384, "{stored}");
}

/// After a change of weights all prefixes are recomputed, and all requests save and fetch prefixes
/// at once; the store transfers one after another and delays the rest.
#[test]
fn nodes_together_stay_within_the_link_capacity() {
    let store = KvCacheStore {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        availability_zone: "z".into(),
        link_mbit_per_s: 470_000.0,
    };
    let start = Instant::now();
    let mut links = vec![StoreLink::new(store, 192_512, 6, start); 6];
    let mut fetched_s = 0.0;
    for step in 0..10_000 {
        let now = start + ms(step);
        let link = &mut links[step as usize % 6];
        let fetch_s = link.transfer_s(6_300);
        if link.may_fetch(fetch_s, now) {
            link.take(fetch_s, 0.0, now);
            fetched_s += fetch_s;
        }
    }
    assert!((8.0..=10.1).contains(&fetched_s), "{fetched_s}");
}
