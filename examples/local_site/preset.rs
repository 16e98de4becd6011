//! Sites of the two companies: sizes, engines, workspaces and traffic.

use strum::{Display, EnumString};

/// Bytes of prompt that count as a token.
pub const TOKEN_BYTES: usize = 4;
/// Workspaces by their share of the requests, in percent; a few are large.
pub const WORKSPACE_SHARES: [u32; 8] = [30, 22, 16, 10, 8, 6, 5, 3];
/// Share of the engines' request slots that the power budget covers, in percent.
pub const POWERED_PERCENT: u32 = 90;

/// Name of a site.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum SiteName {
    /// Conteo Vial Andino.
    Conteo,
    /// Ramsaran & Daughters Solvent Recovery.
    Ramsaran,
}

/// Range of a number of tokens, both ends included.
#[derive(Clone, Copy, Debug)]
pub struct TokenRange {
    /// Least.
    pub least: u32,
    /// Most.
    pub most: u32,
}

/// Sizes and rates of a site.
#[derive(Clone, Copy, Debug)]
pub struct Preset {
    /// Availability zones.
    pub zones: &'static [&'static str],
    /// One-way delay between two zones in microseconds.
    pub zone_delay_us: u32,
    /// Language-model servers.
    pub engines: u32,
    /// Servers of the plain service.
    pub service_servers: u32,
    /// Plain service.
    pub service: &'static str,
    /// Path of its non-idempotent calls.
    pub non_idempotent_path: &'static str,
    /// Model that the engines serve.
    pub model: &'static str,
    /// Requests that an engine runs at once.
    pub running_requests: u32,
    /// Blocks of 16 tokens in an engine's cache.
    pub cache_blocks: u32,
    /// Prompt tokens that an engine computes a second.
    pub prefill_tokens_per_s: u32,
    /// Tokens that an engine generates a second for a request.
    pub decode_tokens_per_s: u32,
    /// Documents (manuals or customer files) of a workspace.
    pub documents: u32,
    /// Tokens of a workspace's preamble.
    pub preamble: TokenRange,
    /// Tokens of a document.
    pub document: TokenRange,
    /// Tokens of a question.
    pub question: TokenRange,
    /// Tokens generated.
    pub completion: TokenRange,
    /// Interactive requests in percent; a tenth of the others is batch work.
    pub interactive_percent: u32,
    /// Weight of the time to the first token in the routing score.
    pub first_token_weight: f64,
    /// Weight of recomputation in the routing score.
    pub recomputation_weight: f64,
    /// Hit rate of the omniscient policy, with which the capacity is worked out.
    pub omniscient_hit_rate: f64,
}

/// Draw of an engine without work.
pub const IDLE_WATTS: u32 = 100;
/// Additional draw of each running request.
pub const REQUEST_WATTS: u32 = 20;

impl TokenRange {
    /// Returns the mean.
    pub fn mean(self) -> f64 {
        f64::from(self.least + self.most) / 2.0
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
                running_requests: 16,
                cache_blocks: 1_200,
                prefill_tokens_per_s: 8_000,
                decode_tokens_per_s: 40,
                documents: 10,
                preamble: TokenRange { least: 200, most: 400 },
                document: TokenRange { least: 1_600, most: 3_200 },
                question: TokenRange { least: 30, most: 90 },
                completion: TokenRange { least: 24, most: 72 },
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
                running_requests: 16,
                cache_blocks: 1_500,
                prefill_tokens_per_s: 6_000,
                decode_tokens_per_s: 40,
                documents: 30,
                preamble: TokenRange { least: 400, most: 600 },
                document: TokenRange { least: 600, most: 1_400 },
                question: TokenRange { least: 20, most: 60 },
                completion: TokenRange { least: 16, most: 48 },
                interactive_percent: 60,
                first_token_weight: 1.0,
                recomputation_weight: 0.3,
                omniscient_hit_rate: 0.90,
            },
        }
    }

    /// Returns the power budget: the idle draw and the draw of the slots that are powered.
    pub fn budget_watts(&self) -> u32 {
        let slots = self.engines * self.running_requests * POWERED_PERCENT / 100;
        self.engines * IDLE_WATTS + slots * REQUEST_WATTS
    }

    /// Returns the requests that may run at once under the power budget.
    pub fn powered_requests(&self) -> u32 {
        (self.budget_watts() - self.engines * IDLE_WATTS) / REQUEST_WATTS
    }

    /// Returns the model requests a second that the site can carry.
    ///
    /// A request occupies a slot for its prefill at the omniscient hit rate and its decode; an
    /// engine computes one prefill at a time. The capacity is the smaller of the powered slots over
    /// the time in a slot, and the engines over the time of a prefill.
    pub fn capacity_per_s(&self) -> f64 {
        let prompt_tokens = self.preamble.mean() + self.document.mean() + self.question.mean();
        let missed_tokens = prompt_tokens * (1.0 - self.omniscient_hit_rate);
        let prefill_s = missed_tokens / f64::from(self.prefill_tokens_per_s);
        let decode_s = self.completion.mean() / f64::from(self.decode_tokens_per_s);
        let by_slots = f64::from(self.powered_requests()) / (prefill_s + decode_s);
        let by_prefill = f64::from(self.engines) / prefill_s;
        by_slots.min(by_prefill)
    }
}
