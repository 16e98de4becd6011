//! Detection of poison requests, which crash the servers that run them.
//!
//! A request is identified by a fingerprint of its content. Each server that crashed while it ran
//! the request counts as a strike. A request with one strike is a suspect and runs apart from other
//! requests; with two strikes every node refuses it, since nodes share their strikes.
//!
//! Requests of which no two are alike can crash servers through a prompt part that they share; see
//! [`evidence`].

mod answered_keys;
pub mod evidence;
mod key_strikes;
mod proof;
pub mod state;

pub use evidence::{CrashEvidence, KeyStrike, RankedKey, SuspectKey, Treatment};
pub use state::{PoisonState, PoisonView};

use crate::types::{Incarnation, ServerId};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Fingerprint of a request: a hash of workspace, endpoint and body.
pub type Fingerprint = u64;

/// Strikes of different servers after which a request is refused.
pub const REFUSAL_STRIKES: usize = 2;

/// Crash of a server while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Server that crashed.
    pub server: ServerId,
    /// Incarnation of the server that crashed, so that repeated reports of a crash count once.
    pub incarnation: Incarnation,
}

/// How a request is treated because of its strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// The request has no strikes and runs normally.
    None,
    /// The request has strikes too few to refuse it, and must not run beside other requests.
    Suspect,
    /// The request crashed enough servers to be refused.
    Refused {
        /// When the last strike expires.
        until: Instant,
    },
}
