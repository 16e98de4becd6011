//! Router for language-model requests with long shared prompt prefixes.
//!
//! All nodes run the same code. Decisions are pure state machines in [`decision`]. The traits in
//! [`ports`] abstract external services, and [`adapters`] implement them over their protocols.

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
