//! End-to-end tests over real sockets: a caller, nodes, and stand-ins for the platform, the model
//! engines and a plain service.

#![allow(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod answers;
mod caller;
mod claims;
mod cut_links;
mod panics;
mod partners;
mod poison;
mod refusals;
mod services;
mod settings;
mod site;
