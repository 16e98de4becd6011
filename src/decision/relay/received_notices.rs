//! Notices of rollouts that a node has heard, each of which may come over several partners.

use super::register_lease::FencingNumber;
use std::collections::VecDeque;

/// Notices that are remembered; a coordinator sends some twenty in the second that one takes to all
/// nodes at most.
const MAX_NOTICES: usize = 64;

/// Notice of a rollout: its lease and its number under the lease.
type NoticeId = (FencingNumber, u64);

/// How a notice relates to those heard before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeOrder {
    /// It is the newest so far.
    Newest,
    /// A newer one came before.
    Late,
    /// It was heard before, or so many others were since that it may have been.
    Duplicate,
}

/// Notices heard so far.
#[derive(Clone, Debug, Default)]
pub struct ReceivedNotices {
    received: VecDeque<NoticeId>,
    /// Newest notice that is no longer remembered.
    newest_evicted: Option<NoticeId>,
}

impl ReceivedNotices {
    /// Takes in the notice `number` under the lease with `fencing_number`.
    pub fn record(&mut self, fencing_number: FencingNumber, number: u64) -> NoticeOrder {
        let id = (fencing_number, number);
        // A notice that counted as new again would go round among the nodes for ever.
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
