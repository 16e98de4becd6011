//! Port of the platform's instance list.

use crate::types::{AvailabilityZone, PeerResult};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Kind of an instance on the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Instance of the system itself.
    Entry,
    /// Backend server: model engine or plain service.
    BackendServer,
}

/// State of an instance on the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// Told to leave; gets no new work.
    Leaving,
}

/// Instance as listed; the list lags behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Name: the server id of a backend server, the instance id of an entry instance.
    pub name: SmolStr,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Address on which the instance is reached; of an entry instance, its partner listener.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// State.
    pub state: InstanceState,
}

/// Platform's list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Returns the instances as currently listed.
    async fn list(&self) -> PeerResult<Vec<InstanceRecord>>;
}
