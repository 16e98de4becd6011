//! Request handling on the traffic threads: admission, routing, relaying and retries.
//!
//! Traffic threads decide on the latest [`Snapshot`](crate::control::Snapshot) of the control
//! state and send events to the control thread without waiting for it. Only a call with an
//! idempotency key awaits the control thread, for the verdict on its claim.

pub mod admission_gate;
pub mod attempt;
pub mod authenticate;
pub mod body;
pub mod context;
pub mod dispatch;
pub mod failure;
pub mod generation;
pub mod generation_request;
pub mod handlers;
pub mod power_commitment;
pub mod reply;
pub mod request_metrics;
pub mod run_state;
pub mod shed_signals;
pub mod suspect_gate;

pub use context::TrafficContext;
pub use dispatch::dispatch;
pub use failure::{Failure, FailureCode};
pub use run_state::RunState;
