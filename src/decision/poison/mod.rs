//! Requests that crash the servers that run them.
//!
//! A request is known by a fingerprint of its body. Each server that crashed while it ran the
//! request is a strike. A request with a strike is a suspect and runs apart from others; with two
//! strikes it is refused on every node, as strikes travel between partners.

pub mod state;

pub use state::{PoisonState, PoisonView};

use crate::types::{Incarnation, ServerId};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Fingerprint of a request: a hash of workspace, endpoint and body.
pub type Fingerprint = u64;

/// Strikes after which a request is refused.
pub const REFUSAL_STRIKES: usize = 2;

/// A server crashed while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Server that crashed.
    pub server: ServerId,
    /// Incarnation of the server that crashed; the same crash is one strike however often told.
    pub incarnation: Incarnation,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// Nothing is known against it.
    None,
    /// It ran on one server that crashed; it must not run beside others.
    Suspect,
    /// It ran on two servers that crashed; it is refused until the time given.
    Refused {
        /// When the last strike is forgotten.
        until: Instant,
    },
}
