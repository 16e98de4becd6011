//! Other nodes that take requests and datagrams.

use crate::types::{AvailabilityZone, InstanceId};
use std::net::SocketAddr;

/// Live node that takes requests and datagrams of other nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerNode {
    /// Id of the run.
    pub instance: InstanceId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address at which it takes them.
    pub address: SocketAddr,
    /// Percent of a core that it may use, 0 if not stated.
    pub processor_percent: u32,
}
