//! Register lease: two nodes never hold it at the same time, whatever messages are lost or late.

use super::proptest_config;
use coriandertide::decision::relay::RegisterLease;
use coriandertide::decision::relay::register_lease::RegisterRecord;
use coriandertide::types::log_position;
use proptest::prelude::*;
use std::time::{Duration, Instant};

const LEASE_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A node reads the register.
    Read(usize),
    /// A node tries to replace the record; the answer may be lost.
    Replace(usize, bool),
    /// Time passes.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_usize..3).prop_map(Step::Read),
        ((0_usize..3), any::<bool>()).prop_map(|(node, lost)| Step::Replace(node, lost)),
        (0_u64..2_500).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(proptest_config(0x1ea5))]

    #[test]
    fn at_most_one_node_holds_the_lease(steps in prop::collection::vec(step(), 1..80)) {
        let mut now = Instant::now();
        let name = |node: usize| format!("n{node}").into();
        let mut nodes: Vec<_> =
            (0..3).map(|node| RegisterLease::new(name(node), LEASE_MS)).collect();
        let mut register = RegisterRecord { number: 0, holder: "".into() };
        let mut numbers = Vec::new();
        for step in steps {
            match step {
                Step::Read(node) => nodes[node].observe(register.clone(), now),
                Step::Replace(node, is_lost) => {
                    let number = nodes[node].replaceable_number(now);
                    if number == Some(register.number) {
                        register = RegisterRecord { number: register.number + 1, holder: name(node) };
                        numbers.push(register.number);
                        if !is_lost {
                            nodes[node].acquire(register.number, now);
                        }
                    }
                }
                Step::Wait(wait_ms) => now += Duration::from_millis(wait_ms),
            }
            let holders: Vec<_> =
                nodes.iter().filter_map(|node| node.fencing_number(now)).collect();
            prop_assert!(holders.len() <= 1, "{holders:?}");
        }
        prop_assert!(numbers.is_sorted());
    }
}

#[test]
fn a_successor_waits_until_the_lease_has_expired() {
    let now = Instant::now();
    let mut lease = RegisterLease::new("b".into(), LEASE_MS);
    lease.observe(RegisterRecord { number: 4, holder: "a".into() }, now);
    assert_eq!(lease.replaceable_number(now + Duration::from_millis(LEASE_MS)), None);
    assert_eq!(lease.replaceable_number(now + Duration::from_millis(LEASE_MS + 300)), Some(4));
}

#[test]
fn a_holder_renews_and_loses_its_lease() {
    let now = Instant::now();
    let mut lease = RegisterLease::new("a".into(), LEASE_MS);
    lease.observe(RegisterRecord { number: 0, holder: "".into() }, now);
    assert_eq!(lease.replaceable_number(now), Some(0));
    lease.acquire(1, now);
    assert!(!lease.is_renewal_due(now + Duration::from_millis(1_000)));
    assert!(lease.is_renewal_due(now + Duration::from_millis(1_500)));
    assert_eq!(lease.fencing_number(now + Duration::from_millis(2_999)), Some(1));
    assert_eq!(lease.fencing_number(now + Duration::from_millis(3_000)), None);
    lease.acquire(2, now);
    lease.observe(RegisterRecord { number: 3, holder: "b".into() }, now);
    assert_eq!(lease.fencing_number(now), None);
}

// Guards against nodes that neither replace nor read again the record of an earlier era.
#[test]
fn a_record_of_an_earlier_era_is_read_again() {
    let now = Instant::now();
    let later = now + Duration::from_millis(2 * LEASE_MS);
    let record =
        |era| RegisterRecord { number: log_position::position(era, 7), holder: "other".into() };
    let mut lease = RegisterLease::new("own".into(), LEASE_MS);
    assert!(lease.needs_read());
    lease.observe(record(1), now);
    assert!(!lease.needs_read());
    lease.observe_era(2, now);
    assert_eq!((lease.needs_read(), lease.replaceable_number(later)), (true, None));
    lease.observe(record(2), now);
    assert!(!lease.needs_read());
    assert_eq!(lease.replaceable_number(later), Some(record(2).number));
}
