//! In-process test doubles of the platform's services and the backend servers.
//!
//! Each stand-in listens on its own loopback port and implements its protocol from
//! `docs/design/stand_in_protocols.md` without sharing types with the product. All of them run on
//! the threads of [`runtime`].

pub mod crowd;
pub mod engine;
pub mod ground_truth;
pub mod http_server;
pub mod instance_list;
pub mod kv_store;
pub mod log_service;
pub mod plain_service;
pub mod runtime;
pub mod watched_process;
pub mod weight_store;
pub mod zones;

pub use crowd::{Behaviour, Crowd};
pub use engine::{EngineConfig, EngineStandIn, ServedModel};
pub use ground_truth::GroundTruth;
pub use instance_list::{InstanceListConfig, InstanceListStandIn};
pub use kv_store::{KvStoreConfig, KvStoreStandIn};
pub use log_service::{LogServiceConfig, LogServiceStandIn};
pub use plain_service::{PlainServiceConfig, PlainServiceStandIn};
pub use watched_process::{Peak, WatchedProcess, free_port};
pub use weight_store::{WeightStoreConfig, WeightStoreStandIn};
pub use zones::ZoneDelays;
