//! Handlers of callers' requests, one module per kind of endpoint.

pub mod claimed_call;
pub mod health;
pub mod metrics;
pub mod models;
pub mod service_call;
pub mod text_generation;
