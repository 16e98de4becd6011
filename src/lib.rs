//! Router for language-model traffic with long shared prompts.
//!
//! Every node runs the same library. Decisions are pure state machines in [`decision`]; the traits
//! in [`ports`] are the edges of a process and [`adapters`] the protocols behind them.

pub mod adapters;
pub mod admin;
pub mod cli;
pub mod control;
pub mod daemon;
pub mod decision;
pub mod document;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod ports;
pub mod relay;
pub mod settings;
pub mod traffic;
pub mod types;
