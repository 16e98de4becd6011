//! Settings of membership.

/// Settings of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Largest number of live nodes at which every node links to every other.
    pub full_mesh_nodes: usize,
    /// Partners that a node dials beyond that number.
    pub partners: usize,
    /// Milliseconds between pings on a link.
    pub ping_period_ms: u64,
    /// Milliseconds without a message after which a link is closed.
    pub silence_timeout_ms: u64,
    /// Milliseconds after which a suspect counts as dead.
    pub suspicion_timeout_ms: u64,
    /// Milliseconds for which a dead node is remembered.
    pub forget_after_ms: u64,
    /// Milliseconds before a failed dial is repeated.
    pub redial_after_ms: u64,
    /// Milliseconds for which an unwanted link is kept.
    pub unwanted_link_ms: u64,
    /// Pings with another digest after which the whole member set is sent.
    pub differing_pings: u32,
    /// Listed addresses without a known node that are dialed in each ping period.
    pub seed_dials: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            full_mesh_nodes: 8,
            partners: 4,
            ping_period_ms: 1_000,
            silence_timeout_ms: 3_000,
            suspicion_timeout_ms: 4_000,
            forget_after_ms: 60_000,
            redial_after_ms: 1_000,
            unwanted_link_ms: 10_000,
            differing_pings: 5,
            seed_dials: 2,
        }
    }
}
