//! Tests of the stand-ins over real sockets on loopback.

#![allow(clippy::unwrap_used, reason = "a failed step of a test is to panic")]

mod cache;
mod client;
mod engine;
mod platform;
