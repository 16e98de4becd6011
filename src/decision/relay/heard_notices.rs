//! Notices of rollouts that a node has heard, each of which may come over several partners.

use super::register_lease::FencingNumber;
use std::collections::VecDeque;

/// Notices that are remembered; a coordinator sends some twenty in the second that one takes to all
/// nodes at most.
const MOST_NOTICES: usize = 64;

/// Notice of a rollout: its lease and its number under the lease.
type NoticeId = (FencingNumber, u64);

/// How a notice relates to those heard before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeardNotice {
    /// It is the newest so far.
    Newest,
    /// A newer one came before.
    Late,
    /// It was heard before, or so many others were since that it may have been.
    Again,
}

/// Notices heard so far.
#[derive(Clone, Debug, Default)]
pub struct HeardNotices {
    heard: VecDeque<NoticeId>,
    /// Newest notice that is no longer remembered.
    forgotten: Option<NoticeId>,
}

impl HeardNotices {
    /// Takes in the notice `number` under the lease with `fencing_number`.
    pub fn hear(&mut self, fencing_number: FencingNumber, number: u64) -> HeardNotice {
        let id = (fencing_number, number);
        // A notice that counted as new again would go round among the nodes for ever.
        if Some(id) <= self.forgotten || self.heard.contains(&id) {
            return HeardNotice::Again;
        }
        let is_late = self.heard.iter().any(|heard| *heard > id);
        if self.heard.len() >= MOST_NOTICES {
            self.forgotten = self.forgotten.max(self.heard.pop_front());
        }
        self.heard.push_back(id);
        if is_late { HeardNotice::Late } else { HeardNotice::Newest }
    }
}
