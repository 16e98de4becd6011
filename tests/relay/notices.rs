//! Notices of a rollout that come over several partners, late and twice.

use coriandertide::decision::relay::received_notices::{NoticeOrder, ReceivedNotices};
use std::collections::VecDeque;

#[test]
fn a_notice_is_taken_in_once_whichever_way_it_comes() {
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

/// Pattern: a rollout over a hundred servers, whose notices go round among many nodes for a while.
#[test]
fn a_notice_that_comes_again_after_many_others_is_not_passed_on_once_more() {
    let mut received = ReceivedNotices::default();
    for number in 0..1_000 {
        assert_eq!(received.record(4, number), NoticeOrder::Newest);
    }
    assert!((0..1_000).all(|number| received.record(4, number) == NoticeOrder::Duplicate));
}

/// Pattern: a ring of nodes, each of which passes every notice on that is news to it.
#[test]
fn notices_die_out_among_nodes_that_pass_them_on() {
    let mut nodes = vec![ReceivedNotices::default(); 20];
    let mut passed_on = 0_usize;
    let mut under_way: VecDeque<(usize, u64)> = (0..300).map(|number| (0, number)).collect();
    while let Some((node, number)) = under_way.pop_front() {
        if nodes[node].record(1, number) == NoticeOrder::Duplicate {
            continue;
        }
        passed_on += 1;
        assert!(passed_on <= 300 * 20, "notices go on without end");
        under_way.push_back(((node + 1) % 20, number));
        under_way.push_back(((node + 7) % 20, number));
    }
}
