//! Tests of the stand-ins over real sockets on loopback.

mod client;
mod engine;
mod platform;
