//! Traits for everything outside the process, and the types of their messages.

pub mod coordination_store;
pub mod dialect;
pub mod engine_control;
pub mod instance_list;
pub mod kv_store;
pub mod log_service;
pub mod model_engine;
pub mod plain_service;

pub use coordination_store::{AnnouncedNode, CoordinationStore, RecordPage, ReplaceOutcome};
pub use dialect::{AnswerHead, Dialect, ForwardHead, OperatorRecord, RequestHead};
pub use engine_control::{EngineControl, KvStoreState, WeightsOrder};
pub use instance_list::{InstanceKind, InstanceList, InstanceRecord, InstanceState};
pub use kv_store::KvStore;
pub use log_service::{LogPage, LogRecord, LogService, LogStream};
pub use model_engine::{
    CacheEvent, CacheEventPage, EngineAnswer, EngineFrame, EngineOrder, EngineOrderKind,
    EngineRequest, FrameStream, LoadReport, LoadedModel, ModelEngine, OrderOutcome,
};
pub use plain_service::{PlainService, ServiceCall, ServiceResponse};
