//! The whole path over real sockets: a caller, a node, and stand-ins of everything behind it.

#![allow(clippy::unwrap_used, reason = "a failed step of a test is to panic")]

mod answers;
mod caller;
mod claims;
mod cut_links;
mod partners;
mod poison;
mod refusals;
mod services;
mod settings;
mod site;
