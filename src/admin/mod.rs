//! Administration API: JSON over HTTP, on a separate listener.

pub mod access;
pub mod edit;
pub mod error;
pub mod explain;
pub mod messages;
pub mod openapi;
pub mod read;
pub mod recent_decisions;
pub mod restore;
pub mod routes;
pub mod server;
pub mod view;

pub use error::{AdminError, ErrorCode};
pub use recent_decisions::RecentDecisions;
pub use routes::AdminRoute;
pub use server::AdminContext;
pub use view::{AdminView, ConfigurationView, StreamStatus};
