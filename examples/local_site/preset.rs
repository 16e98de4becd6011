//! Presets of two sites: sizes, engines, workspaces and traffic.

use strum::{Display, EnumString};

/// Bytes of a prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;
/// Percentage of the requests that each workspace sends; a few workspaces send most of them.
pub const WORKSPACE_PERCENT: [u32; 8] = [30, 22, 16, 10, 8, 6, 5, 3];
/// Percentage of the engines' request slots that the power budget covers.
pub const POWERED_SLOT_PERCENT: u32 = 90;

/// Name of a site.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum SiteName {
    /// Site of Conteo Vial Andino.
    Conteo,
    /// Site of Ramsaran & Daughters Solvent Recovery.
    Ramsaran,
}

/// Inclusive range of token counts.
#[derive(Clone, Copy, Debug)]
pub struct TokenRange {
    /// Minimum.
    pub min: u32,
    /// Maximum.
    pub max: u32,
}

/// Sizes, rates and traffic of a site.
#[derive(Clone, Copy, Debug)]
pub struct Preset {
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// One-way delay between two availability zones, in microseconds.
    pub zone_delay_us: u32,
    /// Number of model engines.
    pub engines: u32,
    /// Number of servers of the plain service.
    pub service_servers: u32,
    /// Name of the plain service.
    pub service: &'static str,
    /// Path of the service's non-idempotent calls.
    pub non_idempotent_path: &'static str,
    /// Model that the engines serve.
    pub model: &'static str,
    /// Maximum requests that an engine runs at once.
    pub max_running_requests: u32,
    /// Capacity of an engine's cache, in blocks of 16 tokens.
    pub cache_blocks: u32,
    /// Prefill rate of an engine, in prompt tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Decode rate of each request, in tokens per second.
    pub decode_tokens_per_s: u32,
    /// Number of documents (manuals or customer files) in each workspace.
    pub documents_per_workspace: u32,
    /// Length of a workspace's preamble, in tokens.
    pub preamble_tokens: TokenRange,
    /// Length of a document, in tokens.
    pub document_tokens: TokenRange,
    /// Length of a question, in tokens.
    pub question_tokens: TokenRange,
    /// Number of tokens to generate.
    pub completion_tokens: TokenRange,
    /// Percentage of interactive requests; about a tenth of the others are batch requests.
    pub interactive_percent: u32,
    /// Weight of the time to first token in the routing score.
    pub first_token_weight: f64,
    /// Weight of recomputation in the routing score.
    pub recomputation_weight: f64,
    /// Prefix hit rate of the omniscient policy, from 0 to 1, from which the capacity is computed.
    pub omniscient_hit_rate: f64,
}

/// Power draw of an engine without running requests, in watts.
pub const IDLE_WATTS: u32 = 100;
/// Additional power draw of each running request, in watts.
pub const REQUEST_WATTS: u32 = 20;

impl TokenRange {
    /// Returns the mean token count.
    pub fn mean(self) -> f64 {
        f64::from(self.min + self.max) / 2.0
    }
}

impl Preset {
    /// Returns the preset of `site`.
    pub fn of(site: SiteName) -> Self {
        match site {
            SiteName::Conteo => Self {
                zones: &["bogota-norte", "bogota-centro", "bogota-sur"],
                zone_delay_us: 4_000,
                engines: 12,
                service_servers: 3,
                service: "field-app",
                non_idempotent_path: "/tallies",
                model: "survey-8b",
                max_running_requests: 16,
                cache_blocks: 1_200,
                prefill_tokens_per_s: 8_000,
                decode_tokens_per_s: 40,
                documents_per_workspace: 10,
                preamble_tokens: TokenRange { min: 200, max: 400 },
                document_tokens: TokenRange { min: 1_600, max: 3_200 },
                question_tokens: TokenRange { min: 30, max: 90 },
                completion_tokens: TokenRange { min: 24, max: 72 },
                interactive_percent: 20,
                first_token_weight: 1.0,
                recomputation_weight: 1.0,
                omniscient_hit_rate: 0.93,
            },
            SiteName::Ramsaran => Self {
                zones: &["couva", "point-lisas", "san-fernando", "marabella"],
                zone_delay_us: 5_000,
                engines: 9,
                service_servers: 4,
                service: "dispatch",
                non_idempotent_path: "/bookings",
                model: "manifest-8b",
                max_running_requests: 16,
                cache_blocks: 1_500,
                prefill_tokens_per_s: 6_000,
                decode_tokens_per_s: 40,
                documents_per_workspace: 30,
                preamble_tokens: TokenRange { min: 400, max: 600 },
                document_tokens: TokenRange { min: 600, max: 1_400 },
                question_tokens: TokenRange { min: 20, max: 60 },
                completion_tokens: TokenRange { min: 16, max: 48 },
                interactive_percent: 60,
                first_token_weight: 1.0,
                recomputation_weight: 0.3,
                omniscient_hit_rate: 0.90,
            },
        }
    }

    /// Returns the power budget in watts: the idle draw plus the draw of the powered request slots.
    pub fn budget_watts(&self) -> u32 {
        let slots = self.engines * self.max_running_requests * POWERED_SLOT_PERCENT / 100;
        self.engines * IDLE_WATTS + slots * REQUEST_WATTS
    }

    /// Returns the maximum requests that run at once under the power budget.
    pub fn max_powered_requests(&self) -> u32 {
        (self.budget_watts() - self.engines * IDLE_WATTS) / REQUEST_WATTS
    }

    /// Returns the capacity of the site, in model requests per second.
    ///
    /// A request occupies a slot during prefill (at the omniscient hit rate) and decode, and an
    /// engine runs one prefill at a time. The capacity is the lower of two limits: powered slots
    /// divided by the time in a slot, and engines divided by the time of a prefill.
    pub fn capacity_per_s(&self) -> f64 {
        let prompt_tokens =
            self.preamble_tokens.mean() + self.document_tokens.mean() + self.question_tokens.mean();
        let uncached_tokens = prompt_tokens * (1.0 - self.omniscient_hit_rate);
        let prefill_s = uncached_tokens / f64::from(self.prefill_tokens_per_s);
        let decode_s = self.completion_tokens.mean() / f64::from(self.decode_tokens_per_s);
        let slot_limit_per_s = f64::from(self.max_powered_requests()) / (prefill_s + decode_s);
        let prefill_limit_per_s = f64::from(self.engines) / prefill_s;
        slot_limit_per_s.min(prefill_limit_per_s)
    }
}
