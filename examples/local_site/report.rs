//! Report of a run, from the outcomes of the callers and the counters of the stand-ins.

use crate::callers::Run;
use crate::fault_report::FaultReport;
use crate::options::{Fault, Options, PolicyChoice};
use crate::outcome::{CallKind, Ending, NonIdempotentCall, Outcome};
use coriandertide_standins::ground_truth::PromptTotals;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of the run that warms up the caches, excluded from latencies and token counts.
pub const WARM_UP_FRACTION: f64 = 0.2;

/// Results of a run under one policy, written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Routing policy.
    pub policy: String,
    /// Name of the site.
    pub site: String,
    /// Arrival rate as a fraction of the site's capacity.
    pub load: f64,
    /// Calls that ended per second of the run, skipped ones included.
    pub rate_per_s: f64,
    /// Number of arrivals.
    pub requests: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the traffic.
    pub seed: u64,
    /// Injected faults.
    pub faults: Vec<String>,
    /// Fraction of prompt tokens that the engine had cached.
    pub prefix_hit_rate: f64,
    /// Fraction of prompt tokens imported from the KV store.
    pub imported_share: f64,
    /// Median time to first token.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token.
    pub ttft_p95_ms: f64,
    /// 99th percentile of the time to first token.
    pub ttft_p99_ms: f64,
    /// Prompt tokens recomputed although another running engine had them cached.
    pub wasted_prompt_tokens: u64,
    /// Model requests that ended as not run.
    pub refused: usize,
    /// Answers that were wrong or cut.
    pub answers_wrong: usize,
    /// Non-idempotent calls that ran more than once.
    pub non_idempotent_twice: usize,
    /// Non-idempotent calls that ran although each attempt ended as not run.
    pub not_run_but_ran: usize,
    /// Non-idempotent calls that were answered but never ran.
    pub answered_but_never_ran: usize,
    /// Calls of any kind whose last attempt ended as not run.
    pub not_run: usize,
    /// Calls of any kind whose last attempt ended with an unknown outcome.
    pub outcome_unknown: usize,
    /// Calls whose last attempt lost its connection to the node.
    pub connection_lost: usize,
    /// Calls without an outcome at the end of the run.
    pub unfinished: usize,
    /// Calls with more than one attempt.
    pub resent: usize,
    /// Number of calls by error code.
    pub error_codes: BTreeMap<String, usize>,
    /// Number of engine crashes.
    pub engine_crashes: u64,
    /// Highest power draw of the engines; with a power cut, that after the settle time.
    pub peak_watts: u64,
    /// Power budget of the site.
    pub budget_watts: u64,
    /// Mean bytes per second that a node sends and receives on partner links, if measured.
    pub link_bytes_per_s: Option<f64>,
    /// Appends to the log per second.
    pub log_appends_per_s: f64,
    /// Effects of the faults, if any were injected.
    pub fault: Option<FaultReport>,
}

/// Measurements of a run in addition to its outcomes.
pub struct Measurements {
    /// Prompt token totals at the end of the warm-up.
    pub warm_up_totals: PromptTotals,
    /// Bytes on the partner links of all nodes, if all of them report the count.
    pub link_bytes: Option<f64>,
    /// Effects of the faults.
    pub fault: Option<FaultReport>,
}

impl PolicyReport {
    /// Returns the report of a completed run.
    pub fn new(
        run: &Run,
        policy: PolicyChoice,
        options: &Options,
        measurements: Measurements,
    ) -> Self {
        let outcomes = run.outcomes.sorted_by_arrival();
        let non_idempotent_calls = run.outcomes.non_idempotent_calls();
        let runs = run.site.ground_truth.runs();
        let duration = run.workload.duration();
        let duration_s = duration.as_secs_f64().max(0.001);
        let first_token_times =
            times_to_first_token(&outcomes, duration.mul_f64(WARM_UP_FRACTION)..duration * 2);
        let totals = run.site.ground_truth.prompt_totals();
        let prompt_tokens =
            (totals.prompt_tokens - measurements.warm_up_totals.prompt_tokens).max(1);
        let cached_tokens = totals.cached_tokens - measurements.warm_up_totals.cached_tokens;
        let imported_tokens = totals.imported_tokens - measurements.warm_up_totals.imported_tokens;
        let count = |ending| outcomes.iter().filter(|outcome| outcome.ending == ending).count();
        let runs_of = |call: &NonIdempotentCall| runs.get(&call.key).copied().unwrap_or(0);
        let refused = |outcome: &&Outcome| {
            outcome.kind == CallKind::Model && outcome.ending == Ending::NotRun
        };
        Self {
            policy: policy.to_string(),
            site: options.site.to_string(),
            load: options.load,
            rate_per_s: outcomes.len() as f64 / duration_s,
            requests: run.workload.arrivals.len(),
            nodes: options.nodes,
            seed: options.seed,
            faults: options.fault.iter().map(Fault::to_string).collect(),
            prefix_hit_rate: cached_tokens as f64 / prompt_tokens as f64,
            imported_share: imported_tokens as f64 / prompt_tokens as f64,
            ttft_p50_ms: percentile_ms(&first_token_times, 0.50),
            ttft_p95_ms: percentile_ms(&first_token_times, 0.95),
            ttft_p99_ms: percentile_ms(&first_token_times, 0.99),
            wasted_prompt_tokens: totals.wasted_tokens - measurements.warm_up_totals.wasted_tokens,
            refused: outcomes.iter().filter(refused).count(),
            answers_wrong: count(Ending::Wrong) + count(Ending::Cut),
            non_idempotent_twice: non_idempotent_calls
                .iter()
                .filter(|call| runs_of(call) > 1)
                .count(),
            not_run_but_ran: non_idempotent_calls
                .iter()
                .filter(|call| call.endings.iter().all(|ending| *ending == Ending::NotRun))
                .filter(|call| runs_of(call) > 0)
                .count(),
            answered_but_never_ran: non_idempotent_calls
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
            link_bytes_per_s: measurements
                .link_bytes
                .map(|bytes| bytes / duration_s / options.nodes as f64),
            log_appends_per_s: run.site.log.appends() as f64 / duration_s,
            fault: measurements.fault,
        }
    }

    /// Returns a description of each violated invariant.
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
        if !faults.iter().any(|fault| fault.breaks_caller_connections()) {
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

/// Returns the sorted times to first token of answered model requests that arrived in `arrivals`.
pub fn times_to_first_token(
    outcomes: &[Outcome],
    arrivals: std::ops::Range<Duration>,
) -> Vec<Duration> {
    let mut times: Vec<Duration> = outcomes
        .iter()
        .filter(|outcome| {
            outcome.kind == CallKind::Model && arrivals.contains(&outcome.arrival_offset)
        })
        .filter(|outcome| outcome.ending == Ending::Answered)
        .filter_map(|outcome| outcome.time_to_first_token)
        .collect();
    times.sort();
    times
}

/// Returns the quantile `fraction` of sorted times, in milliseconds; 0 if there are none.
pub fn percentile_ms(sorted_times: &[Duration], fraction: f64) -> f64 {
    let index = (sorted_times.len() as f64 * fraction).ceil() as usize;
    let time = sorted_times.get(index.saturating_sub(1));
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
