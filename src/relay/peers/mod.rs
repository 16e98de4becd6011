//! What nodes do for each other beside their partner links: they answer queries, and send on the
//! requests of nodes that have lost their links to servers.

pub mod forward;
pub mod gateway;
pub mod listener;
pub mod message;
pub mod queries;
pub mod reach;

pub use queries::PeerQueries;
