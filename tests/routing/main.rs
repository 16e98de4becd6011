//! Tests of the routing decision against naive twins, in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed step of a test is to panic")]

mod beliefs;
mod faults;
mod fixture;
mod homes;
mod poll;
mod prefix;
mod twin;
