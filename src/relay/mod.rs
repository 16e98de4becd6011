//! Relay node: forwards the requests of configured routes to backend servers, and the answers to
//! the callers, both unchanged.
//!
//! One thread runs all traffic and never waits for the control thread, which follows the records of
//! the site's store, exchanges records and loads with partners, and coordinates weight rollouts.

pub mod answer;
pub mod answer_head;
pub mod attempt;
pub mod attempts;
pub mod buffered_answer;
pub mod context;
pub mod control;
pub mod end_proof;
mod exchange;
pub mod in_flight;
pub mod metrics;
pub mod node;
pub mod outdated_configuration;
mod outdated_weights;
pub mod peers;
pub mod pending_attempts;
pub mod planned_stop;
pub mod process_check;
pub mod quota;
pub mod refusal;
pub mod request;
pub mod run;
pub mod server_choice;
pub mod server_search;
pub mod settings;
pub mod stream;
pub mod stream_origin;
pub mod suspects;
pub mod suspension_detector;

pub use context::{RelayContext, RelayPorts};
pub use node::RelayNode;
pub use settings::{RawRelaySettings, RelaySettings};
