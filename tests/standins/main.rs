//! Tests of the stand-ins over real sockets on loopback.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod cache;
mod client;
mod engine;
mod platform;
