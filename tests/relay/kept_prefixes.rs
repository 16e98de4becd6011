//! What is believed of kept prefixes, and the share of the store's link.

use super::fixture::ms;
use coriandertide::decision::relay::StoreLink;
use coriandertide::decision::relay::configuration::KvCacheStore;
use coriandertide::decision::relay::kept_prefixes::KeptPrefixes;
use std::net::SocketAddr;
use std::time::Instant;

#[test]
fn beliefs_end_with_time_and_with_the_store() {
    let now = Instant::now();
    let mut kept = KeptPrefixes::default();
    kept.add_stored(&[1, 2], now);
    kept.add_stored(&[1], now);
    assert_eq!(kept.take_newly_stored(), [1, 2]);
    assert!(kept.is_stored(1, now + ms(40_000)) && !kept.is_stored(1, now + ms(46_000)));
    kept.add_stored_elsewhere(&[3], now);
    assert!(kept.take_newly_stored().is_empty());
    kept.forget_stored();
    assert!(!kept.is_stored(1, now) && !kept.is_stored(3, now));
    kept.add_held(&[1], &"a".into(), true, now);
    assert_eq!(kept.holder(1, now + ms(7_000)), Some(&"a".into()));
    assert_eq!(kept.holder(1, now + ms(9_000)), None);
    assert!(kept.is_held_by(1, &"a".into(), now + ms(1_900)));
    assert!(!kept.is_held_by(1, &"a".into(), now + ms(2_100)));
}

#[test]
fn a_prefix_is_saved_once_and_again_if_the_save_fails() {
    let now = Instant::now();
    let mut kept = KeptPrefixes::default();
    assert!(kept.is_unsaved(1, now));
    kept.add_saving(&[1], now);
    assert!(!kept.is_unsaved(1, now + ms(1_000)));
    assert!(kept.is_unsaved(1, now + ms(1_600)));
}

#[test]
fn memory_stays_bounded() {
    let now = Instant::now();
    let mut kept = KeptPrefixes::default();
    for key in 0..100_000 {
        kept.add_stored_elsewhere(&[key], now);
    }
    let stored = (0..100_000).filter(|key| kept.is_stored(*key, now)).count();
    assert!(stored <= 16_384, "{stored}");
}

/// Pattern: after new weights every prefix is read anew, and all requests want to save and fetch at
/// once; the store moves one after another and makes those behind wait.
#[test]
fn nodes_together_use_no_more_of_the_link_than_it_has() {
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
