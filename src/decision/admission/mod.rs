//! Whether and when a model request may start: limits of its workspace, a bound on running
//! requests, and a fair queue that refuses early instead of late.

pub mod config;
pub mod fair_queue;
pub mod messages;
pub mod state;
pub mod token_bucket;

pub use config::{AdmissionConfig, MIN_RETRY_DELAY};
pub use fair_queue::FairQueue;
pub use messages::{
    AdmissionDecision, AdmissionId, AdmissionRequest, Refusal, RefusalReason, RefusedWaiter,
};
pub use state::Admission;
pub use token_bucket::TokenBucket;
