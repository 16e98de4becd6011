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
    /// Node of this system.
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
    /// Told to shut down; gets no new work.
    Leaving,
}

/// Instance on the list, which lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Server id of a backend server, or instance id of a node.
    pub name: SmolStr,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Address of the backend server, or of the node's listener for partner links.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// State of the instance.
    pub state: InstanceState,
}

/// The platform's instance list.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Returns all instances on the list.
    async fn list(&self) -> PeerResult<Vec<InstanceRecord>>;
}
