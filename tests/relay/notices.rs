//! Rollout notices that arrive late or several times, through several partners.

use coriandertide::decision::relay::received_notices::{NoticeOrder, ReceivedNotices};
use std::collections::VecDeque;

#[test]
fn repeated_notices_are_duplicates() {
    let mut received = ReceivedNotices::default();
    assert_eq!(received.record(4, 0), NoticeOrder::Newest);
    assert_eq!(received.record(4, 2), NoticeOrder::Newest);
    assert_eq!(received.record(4, 2), NoticeOrder::Duplicate);
    assert_eq!(received.record(4, 1), NoticeOrder::Late);
    assert_eq!(received.record(4, 1), NoticeOrder::Duplicate);
}

#[test]
fn notices_of_an_earlier_lease_are_late() {
    let mut received = ReceivedNotices::default();
    received.record(5, 0);
    assert_eq!(received.record(4, 9), NoticeOrder::Late);
    assert_eq!(received.record(6, 0), NoticeOrder::Newest);
}

/// A rollout over a hundred servers whose notices circulate among many nodes for a while.
#[test]
fn evicted_notices_are_duplicates() {
    let mut received = ReceivedNotices::default();
    for number in 0..1_000 {
        assert_eq!(received.record(4, number), NoticeOrder::Newest);
    }
    assert!((0..1_000).all(|number| received.record(4, number) == NoticeOrder::Duplicate));
}

/// Nodes forward every new notice along cycles; forwarding must end once all nodes have it.
#[test]
fn forwarded_notices_die_out() {
    let mut nodes = vec![ReceivedNotices::default(); 20];
    let mut forwarded = 0_usize;
    let mut pending: VecDeque<(usize, u64)> = (0..300).map(|number| (0, number)).collect();
    while let Some((node, number)) = pending.pop_front() {
        if nodes[node].record(1, number) == NoticeOrder::Duplicate {
            continue;
        }
        forwarded += 1;
        assert!(forwarded <= 300 * 20, "notices are forwarded without end");
        pending.push_back(((node + 1) % 20, number));
        pending.push_back(((node + 7) % 20, number));
    }
}
