//! Limits as servers name them in answers, and as nodes tell each other.

use crate::types::{Incarnation, ServerId};
use anyhow::{anyhow, ensure};
use serde::{Deserialize, Serialize};

/// Rate of requests, in requests per 1,000 seconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Returns the requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = anyhow::Error;

    /// Converts from requests a second; a rate above the maximum becomes the maximum.
    fn try_from(per_s: f64) -> anyhow::Result<Self> {
        ensure!(per_s.is_finite() && per_s >= 0.0, anyhow!("{per_s} is no rate of requests"));
        Ok(Self((per_s * 1_000.0).round() as u32))
    }
}

/// What an answer says of its server's limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NamedLimit {
    /// The server has no limit.
    #[default]
    None,
    /// The server takes this from all nodes together.
    Rate(RequestRate),
    /// The limit cannot be read.
    Unreadable,
}

/// Notice to partners of a server's limit or its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The server.
    pub server: ServerId,
    /// Incarnation that the limit holds for.
    pub incarnation: Incarnation,
    /// Requests that it takes from all nodes together, `None` once it names no limit.
    pub rate: Option<RequestRate>,
    /// Milliseconds since the request was sent whose answer says so.
    pub age_ms: u64,
}

/// Limit that partners must be told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitAnnouncement {
    /// What they are told.
    pub notice: LimitNotice,
    /// Whether they have been told before.
    pub is_refresh: bool,
}
