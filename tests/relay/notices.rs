//! Notices of a rollout that come over several partners, late and twice.

use coriandertide::decision::relay::heard_notices::{HeardNotice, HeardNotices};
use std::collections::VecDeque;

#[test]
fn a_notice_is_taken_in_once_whichever_way_it_comes() {
    let mut heard = HeardNotices::default();
    assert_eq!(heard.hear(4, 0), HeardNotice::Newest);
    assert_eq!(heard.hear(4, 2), HeardNotice::Newest);
    assert_eq!(heard.hear(4, 2), HeardNotice::Again);
    assert_eq!(heard.hear(4, 1), HeardNotice::Late);
    assert_eq!(heard.hear(4, 1), HeardNotice::Again);
}

#[test]
fn notices_of_an_earlier_lease_are_late() {
    let mut heard = HeardNotices::default();
    heard.hear(5, 0);
    assert_eq!(heard.hear(4, 9), HeardNotice::Late);
    assert_eq!(heard.hear(6, 0), HeardNotice::Newest);
}

/// Pattern: a rollout over a hundred servers, whose notices go round among many nodes for a while.
#[test]
fn a_notice_that_comes_again_after_many_others_is_not_passed_on_once_more() {
    let mut heard = HeardNotices::default();
    for number in 0..1_000 {
        assert_eq!(heard.hear(4, number), HeardNotice::Newest);
    }
    assert!((0..1_000).all(|number| heard.hear(4, number) == HeardNotice::Again));
}

/// Pattern: a ring of nodes, each of which passes every notice on that is news to it.
#[test]
fn notices_die_out_among_nodes_that_pass_them_on() {
    let mut nodes = vec![HeardNotices::default(); 20];
    let mut passed_on = 0_usize;
    let mut under_way: VecDeque<(usize, u64)> = (0..300).map(|number| (0, number)).collect();
    while let Some((node, number)) = under_way.pop_front() {
        if nodes[node].hear(1, number) == HeardNotice::Again {
            continue;
        }
        passed_on += 1;
        assert!(passed_on <= 300 * 20, "notices go on without end");
        under_way.push_back(((node + 1) % 20, number));
        under_way.push_back(((node + 7) % 20, number));
    }
}
