//! Admission of model requests: rate limits per workspace, a limit on running requests, and a fair
//! queue that refuses a request at once if it would wait too long.

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
