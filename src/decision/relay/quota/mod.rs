//! Quotas of workspaces over all nodes together.
//!
//! Two nodes own the quota of a workspace, and each grants requests from a bucket with half of the
//! rate and the burst. The node that receives a request asks the owners before it sends it on.

mod bucket;
mod ledger;
mod messages;
mod owners;
mod window;

pub use ledger::QuotaLedger;
pub use messages::{ALL_SEEN_PERMILLE, QuotaAnswer, QuotaCorrection, QuotaLimit, QuotaQuery};
pub use owners::OWNERS;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the most that may be generated.
    Tokens {
        /// Tokens that a request without a prompt counts as.
        plain_tokens: u64,
    },
}

/// How operators judge quotas: by the sum in any window, with a tolerance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaWindow {
    /// Length of the window, 0 if quotas are not judged by windows.
    pub window_ms: u64,
    /// Part of the sum that may be exceeded.
    pub excess_ratio: f64,
    /// Units that may be exceeded in addition.
    pub slack_units: u64,
}

/// Part of the tolerance that owners use; the rest is left for a last large request of each owner,
/// and for owners that change.
const USED_TOLERANCE: f64 = 0.5;

/// Quota of a workspace, in units.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second, over all nodes.
    pub rate_per_s: u64,
    /// Units beyond the rate at one moment.
    pub burst: u64,
}

impl Quota {
    /// Returns the units of a request with a prompt of `prompt_tokens`, generating at most
    /// `max_output_tokens`, `None` for a request without a prompt.
    pub fn units(&self, usage: Option<(u32, u32)>) -> u64 {
        match (self.unit, usage) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { plain_tokens }, None) => plain_tokens,
            (QuotaUnit::Tokens { .. }, Some((prompt_tokens, max_output_tokens))) => {
                u64::from(prompt_tokens) + u64::from(max_output_tokens)
            }
        }
    }

    /// Returns what the owners grant together.
    ///
    /// A window allows the rate for its length and one burst. Spread evenly that is more than the rate,
    /// so that a bucket filled at the rate alone would refuse what is within the quota.
    pub fn limit(&self, revision: u64, window: &QuotaWindow) -> QuotaLimit {
        let Self { rate_per_s, burst, .. } = *self;
        let QuotaWindow { window_ms, excess_ratio, slack_units } = *window;
        if window_ms == 0 {
            return QuotaLimit { revision, rate_per_s, burst, window_ms, window_units: 0 };
        }
        let window_s = window_ms as f64 / 1_000.0;
        let sum = rate_per_s as f64 * window_s + burst as f64;
        let tolerance = (sum * excess_ratio + slack_units as f64) * USED_TOLERANCE;
        QuotaLimit {
            revision,
            rate_per_s: (sum / window_s) as u64,
            burst,
            window_ms,
            window_units: (sum + tolerance) as u64,
        }
    }

    /// Whether a request of this size can ever be within the quota.
    pub fn allows(&self, units: u64) -> bool {
        units <= self.rate_per_s.saturating_add(self.burst)
    }
}
