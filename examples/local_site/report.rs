//! Report of a run: what callers saw beside the true figures of the stand-ins.

use crate::callers::Run;
use crate::fault_report::FaultReport;
use crate::options::{Fault, Options, PolicyChoice};
use crate::outcome::{CallKind, Ending, KeyedCall, Outcome};
use coriandertide_standins::ground_truth::PromptTotals;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the run that fills the caches and is left out of the latencies and token counts.
pub const WARM_UP_SHARE: f64 = 0.2;

/// Figures of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Policy.
    pub policy: String,
    /// Site.
    pub site: String,
    /// Share of the capacity.
    pub load: f64,
    /// Model requests and service calls a second.
    pub rate_per_s: f64,
    /// Arrivals.
    pub requests: usize,
    /// Nodes.
    pub nodes: usize,
    /// Seed.
    pub seed: u64,
    /// Faults injected.
    pub faults: Vec<String>,
    /// Share of prompt tokens that came from the engine's cache.
    pub prefix_hit_rate: f64,
    /// Share of prompt tokens imported from the KV store.
    pub imported_share: f64,
    /// Time to the first token: half of the requests.
    pub ttft_p50_ms: f64,
    /// Time to the first token: 95 in 100.
    pub ttft_p95_ms: f64,
    /// Time to the first token: 99 in 100.
    pub ttft_p99_ms: f64,
    /// Prompt tokens computed though a live engine held them.
    pub wasted_prompt_tokens: u64,
    /// Model requests refused as not run.
    pub refused: usize,
    /// Answers that were wrong or cut.
    pub answers_wrong: usize,
    /// Non-idempotent calls that ran more than once.
    pub non_idempotent_twice: usize,
    /// Non-idempotent calls that ran though every ending said "not run".
    pub not_run_but_ran: usize,
    /// Non-idempotent calls that were answered and never ran.
    pub answered_but_never_ran: usize,
    /// Calls of every kind whose last ending was "not run".
    pub not_run: usize,
    /// Calls of every kind whose last ending was "outcome unknown".
    pub outcome_unknown: usize,
    /// Calls whose connection to the node broke at the last attempt.
    pub connection_lost: usize,
    /// Calls that had not ended when the run was over.
    pub unfinished: usize,
    /// Calls that their callers sent more than once.
    pub resent: usize,
    /// Endings by code of the error.
    pub error_codes: BTreeMap<String, usize>,
    /// Crashes of engines.
    pub engine_crashes: u64,
    /// Highest draw.
    pub peak_watts: u64,
    /// Power budget.
    pub budget_watts: u64,
    /// Bytes that a node sends and receives over partner links a second, if its metrics say so.
    pub link_bytes_per_s: Option<f64>,
    /// Appends to the log a second.
    pub log_appends_per_s: f64,
    /// What the faults did.
    pub fault: Option<FaultReport>,
}

/// What a run has measured beside the outcomes.
pub struct Measured {
    /// Prompt tokens at the end of the warm-up.
    pub warm_up: PromptTotals,
    /// Sum of the link bytes of all nodes.
    pub link_bytes: Option<f64>,
    /// Figures of the faults.
    pub fault: Option<FaultReport>,
}

impl PolicyReport {
    /// Returns the report of a run that has ended.
    pub fn new(run: &Run, policy: PolicyChoice, options: &Options, measured: Measured) -> Self {
        let outcomes = run.outcomes.sorted();
        let keyed = run.outcomes.keyed();
        let runs = run.site.ground_truth.runs();
        let end = run.workload.end();
        let end_s = end.as_secs_f64().max(0.001);
        let first_tokens = first_tokens(&outcomes, end.mul_f64(WARM_UP_SHARE)..end * 2);
        let totals = run.site.ground_truth.prompt_totals();
        let prompt_tokens = (totals.prompt_tokens - measured.warm_up.prompt_tokens).max(1);
        let cached_tokens = totals.cached_tokens - measured.warm_up.cached_tokens;
        let imported_tokens = totals.imported_tokens - measured.warm_up.imported_tokens;
        let count = |ending| outcomes.iter().filter(|outcome| outcome.ending == ending).count();
        let runs_of = |call: &KeyedCall| runs.get(&call.key).copied().unwrap_or(0);
        let refused = |outcome: &&Outcome| {
            outcome.kind == CallKind::Model && outcome.ending == Ending::NotRun
        };
        Self {
            policy: policy.to_string(),
            site: options.site.to_string(),
            load: options.load,
            rate_per_s: outcomes.len() as f64 / end_s,
            requests: run.workload.arrivals.len(),
            nodes: options.nodes,
            seed: options.seed,
            faults: options.fault.iter().map(Fault::to_string).collect(),
            prefix_hit_rate: cached_tokens as f64 / prompt_tokens as f64,
            imported_share: imported_tokens as f64 / prompt_tokens as f64,
            ttft_p50_ms: percentile_ms(&first_tokens, 0.50),
            ttft_p95_ms: percentile_ms(&first_tokens, 0.95),
            ttft_p99_ms: percentile_ms(&first_tokens, 0.99),
            wasted_prompt_tokens: totals.wasted_tokens - measured.warm_up.wasted_tokens,
            refused: outcomes.iter().filter(refused).count(),
            answers_wrong: count(Ending::Wrong) + count(Ending::Cut),
            non_idempotent_twice: keyed.iter().filter(|call| runs_of(call) > 1).count(),
            not_run_but_ran: keyed
                .iter()
                .filter(|call| call.endings.iter().all(|ending| *ending == Ending::NotRun))
                .filter(|call| runs_of(call) > 0)
                .count(),
            answered_but_never_ran: keyed
                .iter()
                .filter(|call| call.endings.contains(&Ending::Answered) && runs_of(call) == 0)
                .count(),
            not_run: count(Ending::NotRun),
            outcome_unknown: count(Ending::OutcomeUnknown),
            connection_lost: count(Ending::ConnectionLost),
            unfinished: run.workload.arrivals.len() - outcomes.len(),
            resent: outcomes.iter().filter(|outcome| outcome.attempts > 1).count(),
            error_codes: error_codes(&outcomes),
            engine_crashes: run.site.ground_truth.engine_crashes(),
            peak_watts: run.site.ground_truth.peak_watts(),
            budget_watts: u64::from(run.site.preset.budget_watts()),
            link_bytes_per_s: measured.link_bytes.map(|bytes| bytes / end_s / options.nodes as f64),
            log_appends_per_s: run.site.log.appends() as f64 / end_s,
            fault: measured.fault,
        }
    }

    /// Returns what must never happen and did.
    pub fn violations(&self, faults: &[Fault]) -> Vec<String> {
        let mut violations = Vec::new();
        let mut require_none = |count: usize, what: &str| {
            if count > 0 {
                violations.push(format!("{}: {count} {what}", self.policy));
            }
        };
        require_none(self.answers_wrong, "answers wrong or cut");
        require_none(self.non_idempotent_twice, "non-idempotent calls ran twice");
        require_none(self.not_run_but_ran, "calls refused as not run did run");
        require_none(self.answered_but_never_ran, "calls answered without a run");
        require_none(self.unfinished, "calls without an ending");
        if !faults.iter().any(|fault| fault.cuts_callers()) {
            require_none(self.connection_lost, "connections lost");
        }
        if self.peak_watts > self.budget_watts {
            let Self { policy, peak_watts, budget_watts, .. } = self;
            violations.push(format!("{policy}: peak {peak_watts} W over {budget_watts} W"));
        }
        if let Some(violation) = self.fault.as_ref().and_then(FaultReport::violation) {
            violations.push(format!("{}: {violation}", self.policy));
        }
        violations
    }
}

/// Returns the times to the first token of answered model requests that arrived in `range`, sorted.
pub fn first_tokens(outcomes: &[Outcome], range: std::ops::Range<Duration>) -> Vec<Duration> {
    let mut times: Vec<Duration> = outcomes
        .iter()
        .filter(|outcome| outcome.kind == CallKind::Model && range.contains(&outcome.at))
        .filter(|outcome| outcome.ending == Ending::Answered)
        .filter_map(|outcome| outcome.first_token)
        .collect();
    times.sort();
    times
}

/// Returns a percentile of sorted times in milliseconds, 0 without any.
pub fn percentile_ms(sorted: &[Duration], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    let time = sorted.get(index.saturating_sub(1));
    time.map_or(0.0, |time| (time.as_secs_f64() * 10_000.0).round() / 10.0)
}

fn error_codes(outcomes: &[Outcome]) -> BTreeMap<String, usize> {
    let mut codes = BTreeMap::new();
    for outcome in outcomes {
        if let Some(code) = &outcome.code {
            *codes.entry(code.clone()).or_default() += 1;
        }
    }
    codes
}
