//! Routing policies for comparison with the scoring policy.

use super::homes::ranked_servers;
use super::messages::{RouteQuery, RouteReason};
use super::view::{EligibleServer, RoutingView};
use std::sync::atomic::Ordering;

impl RoutingView {
    /// Chooses the servers round-robin.
    pub(super) fn round_robin<'a>(
        &self,
        eligible: &'a [EligibleServer<'_>],
    ) -> Option<(&'a EligibleServer<'a>, RouteReason)> {
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
        let chosen = eligible.get(turn.checked_rem(eligible.len())?)?;
        Some((chosen, RouteReason::Turn))
    }

    /// Chooses the server with the fewest requests of this node in progress, ties round-robin.
    pub(super) fn least_outstanding<'a>(
        &self,
        eligible: &'a [EligibleServer<'_>],
    ) -> Option<(&'a EligibleServer<'a>, RouteReason)> {
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
        let count = eligible.len();
        let chosen = (0..count)
            .map(|step| &eligible[(turn + step) % count])
            .min_by_key(|server| server.info.counters.outstanding_requests())?;
        Some((chosen, RouteReason::LeastOutstanding))
    }

    /// Chooses the first home of the outermost level, by rendezvous hashing.
    pub(super) fn prefix_hash<'a>(
        &self,
        query: &RouteQuery,
        eligible: &'a [EligibleServer<'_>],
    ) -> Option<(&'a EligibleServer<'a>, RouteReason)> {
        let key = query.levels.first().map_or(0, |level| level.key);
        let hashes = eligible.iter().map(|server| (server.index, server.info.name_hash));
        let first = ranked_servers(hashes, key, 1).first().copied()?;
        let chosen = eligible.iter().find(|server| server.index == first.server)?;
        Some((chosen, RouteReason::Home))
    }
}
