//! Types shared by all parts: ids, priorities and the error of an exchange with a peer.

pub mod error;
pub mod faults;
pub mod ids;
pub mod priority;

pub use error::{DeadlinePassed, Delivery, PeerError, PeerResult, Step};
pub use faults::{Fault, Faults};
pub use ids::*;
pub use priority::Priority;
