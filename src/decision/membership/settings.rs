//! Settings of the membership protocol.

/// Settings of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Number of live nodes up to which every node links to every other.
    pub max_full_mesh_nodes: usize,
    /// Number of partners that a node dials when there are more live nodes than that.
    pub partial_mesh_partners: usize,
    /// Milliseconds between pings on a link.
    pub ping_period_ms: u64,
    /// Milliseconds without a received message after which a link is closed.
    pub receive_timeout_ms: u64,
    /// Milliseconds after which a suspect is declared dead.
    pub suspicion_timeout_ms: u64,
    /// Milliseconds for which the record of a member that is dead or left is kept.
    pub dead_retention_ms: u64,
    /// Milliseconds before an address is dialed again, doubled with each dial up to a limit.
    pub redial_delay_ms: u64,
    /// Milliseconds for which a link that is no longer needed stays open.
    pub surplus_link_grace_ms: u64,
    /// Consecutive pings with a differing digest after which the whole member set is sent.
    pub resync_after_mismatches: u32,
    /// Maximum number of seed addresses without a known live member dialed per ping period.
    pub max_seed_dials_per_period: usize,
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
            max_seed_dials_per_period: 2,
        }
    }
}
