//! Relay decisions in virtual time, without a network.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod admission;
mod authorization;
mod brittle;
mod buffer_budget;
mod choose;
mod configuration;
mod crash_evidence;
mod crash_evidence_model;
mod earlier_messages;
mod event_position;
mod event_splitter;
mod failover;
mod fixture;
mod health;
mod lease;
mod leaving;
mod loads;
mod logging;
mod messages;
mod notices;
mod prefill_rate;
mod prefix_index;
#[path = "../common/proptest_config.rs"]
mod proptest_config;
mod quota;
mod reach;
mod read_schedule;
mod record_requests;
mod record_spread;
mod replica;
mod resend;
mod rolling_stops;
mod rollout;
mod server_limits;
mod settings;
mod store_restore;
mod stream_origins;
mod trace;
mod version_records;

use proptest_config::proptest_config;
