//! Rollout notices that a node has received; the same notice may arrive through several partners.

use super::register_lease::FencingNumber;
use std::collections::VecDeque;

/// Maximum notices remembered. A notice reaches all nodes within a second, in which a coordinator
/// sends about twenty.
const MAX_NOTICES: usize = 64;

/// Identity of a notice: fencing number of the lease, and the notice's number under that lease.
type NoticeId = (FencingNumber, u64);

/// Order of a notice relative to those received before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeOrder {
    /// Newer than all others.
    Newest,
    /// Older than another notice, but new to this node.
    Late,
    /// Received before, or too old to tell.
    Duplicate,
}

/// Notices received so far.
#[derive(Clone, Debug, Default)]
pub struct ReceivedNotices {
    /// Remembered notices in the order of their arrival.
    received: VecDeque<NoticeId>,
    /// Newest notice that is no longer remembered.
    newest_evicted: Option<NoticeId>,
}

impl ReceivedNotices {
    /// Records the notice `number` sent under the lease with `fencing_number`.
    pub fn record(&mut self, fencing_number: FencingNumber, number: u64) -> NoticeOrder {
        let id = (fencing_number, number);
        // Treating an evicted notice as new would make nodes forward it to each other forever.
        if Some(id) <= self.newest_evicted || self.received.contains(&id) {
            return NoticeOrder::Duplicate;
        }
        let is_late = self.received.iter().any(|received| *received > id);
        if self.received.len() >= MAX_NOTICES {
            self.newest_evicted = self.newest_evicted.max(self.received.pop_front());
        }
        self.received.push_back(id);
        if is_late { NoticeOrder::Late } else { NoticeOrder::Newest }
    }
}
