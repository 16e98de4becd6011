//! Notices of a rollout that come over several partners, late and twice.

use coriandertide::decision::relay::heard_notices::{HeardNotice, HeardNotices};

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
