//! Requests that their callers repeat until they are answered.

use super::{END_MS, NODES};
use super::{Event, Kind, Scenario, World};

/// Time after which a caller repeats a failed request. It is nearly the same for all, so that
/// requests which one crash has cut reach the next server together.
const REPEAT_DELAY_MS: std::ops::Range<u64> = 300..350;

impl World {
    /// Sends the request of a caller to any node.
    pub(super) fn repeat(&mut self, caller: usize) {
        let Scenario::Repeated(repeats) = self.scenario else { return };
        let node = self.rng.usize(0..NODES);
        if self.nodes[node].is_down {
            return self.schedule_repeat(caller);
        }
        let kind = if caller < repeats.bad_callers { Kind::Bad } else { Kind::Companion };
        let whole = match kind {
            Kind::Bad => 500,
            Kind::Sibling | Kind::Unrelated | Kind::Companion => 600 + caller as u64,
        };
        self.receive(node, kind, vec![1, 3, whole], None, Some(caller));
    }

    /// The caller of a request learns that it has failed, and repeats it if it is one that does.
    pub(super) fn fail(&mut self, index: usize) {
        if let Some(caller) = self.requests[index].repeated_by {
            self.schedule_repeat(caller);
        }
    }

    fn schedule_repeat(&mut self, caller: usize) {
        if self.at < END_MS {
            self.schedule(REPEAT_DELAY_MS, Event::Repeat(caller));
        }
    }
}
