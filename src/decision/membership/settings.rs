//! Settings of membership.

/// Settings of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Largest number of live nodes at which every node links to every other.
    pub max_full_mesh_nodes: usize,
    /// Partners that a node dials beyond that number.
    pub partial_mesh_partners: usize,
    /// Milliseconds between pings on a link.
    pub ping_period_ms: u64,
    /// Milliseconds without a message after which a link is closed.
    pub receive_timeout_ms: u64,
    /// Milliseconds after which a suspect counts as dead.
    pub suspicion_timeout_ms: u64,
    /// Milliseconds for which a dead node is remembered.
    pub dead_retention_ms: u64,
    /// Milliseconds before a failed dial is repeated.
    pub redial_delay_ms: u64,
    /// Milliseconds for which an unwanted link is kept.
    pub surplus_link_grace_ms: u64,
    /// Pings with another digest after which the whole member set is sent.
    pub resync_after_mismatches: u32,
    /// Seed addresses without a known node that are dialed in each ping period.
    pub seed_dials_per_period: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            max_full_mesh_nodes: 8,
            partial_mesh_partners: 4,
            ping_period_ms: 1_000,
            receive_timeout_ms: 3_000,
            suspicion_timeout_ms: 4_000,
            dead_retention_ms: 60_000,
            redial_delay_ms: 1_000,
            surplus_link_grace_ms: 10_000,
            resync_after_mismatches: 5,
            seed_dials_per_period: 2,
        }
    }
}
