//! Rate of the output tokens of decode-heavy requests, of this node and its partners.

use crate::types::InstanceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the exponential average of this node's rate.
const AVERAGING_WINDOW: Duration = Duration::from_secs(3);

/// Time after which a partner's rate expires.
const PARTNER_RATE_LIFETIME: Duration = Duration::from_millis(2_500);

/// Output tokens per second of decode-heavy requests.
#[derive(Clone, Debug, Default)]
pub struct DecodeRate {
    /// Tokens of this node's requests, with exponential decay since `updated_at`.
    decayed_tokens: f64,
    updated_at: Option<Instant>,
    /// Tokens per second of each partner, with the time at which they expire.
    partners: BTreeMap<InstanceId, (f64, Instant)>,
}

impl DecodeRate {
    /// Adds the expected output tokens of a request that this node sends.
    pub fn add(&mut self, tokens: u32, now: Instant) {
        self.decayed_tokens = self.decayed_tokens_at(now) + f64::from(tokens);
        self.updated_at = Some(now);
    }

    /// Sets a partner's rate.
    pub fn set_partner_rate(&mut self, partner: InstanceId, tokens_per_s: f64, now: Instant) {
        self.partners.insert(partner, (tokens_per_s, now + PARTNER_RATE_LIFETIME));
        self.partners.retain(|_, (_, until)| now < *until);
    }

    /// Returns the tokens per second of this node.
    pub fn local_tokens_per_s(&self, now: Instant) -> f64 {
        self.decayed_tokens_at(now) / AVERAGING_WINDOW.as_secs_f64()
    }

    /// Drops a partner's rate.
    pub fn remove_partner(&mut self, partner: &InstanceId) {
        self.partners.remove(partner);
    }

    /// Returns the tokens per second of all nodes.
    pub fn tokens_per_s(&self, now: Instant) -> f64 {
        self.tokens_per_s_without(None, now)
    }

    /// Returns the tokens per second of this node and all partners except `except`.
    pub fn tokens_per_s_without(&self, except: Option<&InstanceId>, now: Instant) -> f64 {
        let others = self
            .partners
            .iter()
            .filter(|(partner, (_, until))| now < *until && Some(*partner) != except);
        self.local_tokens_per_s(now)
            + others.map(|(_, (tokens_per_s, _))| tokens_per_s).sum::<f64>()
    }

    fn decayed_tokens_at(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(updated_at);
        self.decayed_tokens * (-age.as_secs_f64() / AVERAGING_WINDOW.as_secs_f64()).exp()
    }
}
