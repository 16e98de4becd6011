//! What faults did to callers and to the site.

use crate::callers::Run;
use crate::faults;
use crate::options::Fault;
use crate::outcome::{Ending, Outcome};
use crate::report::{WARM_UP_SHARE, first_tokens, percentile_ms};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Window over which the tail is followed.
const WINDOW: Duration = Duration::from_secs(1);
/// Factor on the tail before the fault above which a window counts as disturbed.
const DISTURBED_FACTOR: f64 = 2.0;
/// Time after which a lowered budget and a leaving server must show.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Figures of the faults of a run.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// Time of the fault from the start.
    pub at_s: f64,
    /// Tail of the first token before the fault.
    pub p95_before_ms: f64,
    /// Worst tail of a one-second window after it.
    pub worst_window_p95_ms: f64,
    /// Windows after the fault whose tail is over twice that before.
    pub disturbed_windows: usize,
    /// Seconds from the fault to the end of the last disturbed window.
    pub recovery_s: f64,
    /// Endings of the calls that arrived after the fault.
    pub endings: BTreeMap<Ending, usize>,
    /// Calls after the fault that no attempt of their caller got answered.
    pub lost: usize,
    /// Requests that the leaving server accepted after the settle time.
    pub accepted_while_leaving: Option<u64>,
    /// Highest draw after the settle time of a power cut.
    pub peak_watts_after_cut: Option<u64>,
    /// Budget after a power cut.
    pub cut_budget_watts: Option<u64>,
    /// What was not measured.
    pub not_measured: Vec<&'static str>,
}

/// What was read from the site while the faults ran.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultReadings {
    /// Requests accepted by the leaving server at the settle time.
    pub accepted_at_settle: Option<u64>,
}

impl FaultReport {
    /// Returns the figures of a run that has ended.
    pub fn new(run: &Run, injected: &[Fault], readings: FaultReadings) -> Option<Self> {
        if injected.is_empty() {
            return None;
        }
        let outcomes = run.outcomes.sorted();
        let fault_at = run.workload.fault_at();
        let end = run.workload.end();
        let before = first_tokens(&outcomes, end.mul_f64(WARM_UP_SHARE)..fault_at);
        let p95_before_ms = percentile_ms(&before, 0.95);
        let windows = windows(&outcomes, fault_at, end);
        let is_disturbed = |p95_ms: &f64| *p95_ms > p95_before_ms * DISTURBED_FACTOR;
        let last_disturbed = windows.iter().rposition(is_disturbed);
        let recovery = last_disturbed.map_or(0, |window| window + 1);
        let after: Vec<&Outcome> =
            outcomes.iter().filter(|outcome| outcome.at >= fault_at).collect();
        let mut endings = BTreeMap::new();
        for outcome in &after {
            *endings.entry(outcome.ending).or_default() += 1;
        }
        let accepted = run.site.engines.first().map(|engine| engine.accepted_requests());
        let accepted_while_leaving =
            readings.accepted_at_settle.and_then(|settled| Some(accepted?.saturating_sub(settled)));
        let is_cut = injected.contains(&Fault::PowerCut);
        Some(Self {
            at_s: fault_at.as_secs_f64(),
            p95_before_ms,
            worst_window_p95_ms: windows.iter().copied().fold(0.0, f64::max),
            disturbed_windows: windows.iter().filter(|p95_ms| is_disturbed(p95_ms)).count(),
            recovery_s: recovery as f64 * WINDOW.as_secs_f64(),
            endings,
            lost: after.iter().filter(|outcome| outcome.ending != Ending::Answered).count(),
            accepted_while_leaving,
            peak_watts_after_cut: is_cut.then(|| run.site.ground_truth.peak_watts()),
            cut_budget_watts: is_cut.then(|| u64::from(faults::cut_budget_watts(&run.site))),
            not_measured: not_measured(injected),
        })
    }

    /// Returns what must never happen and did.
    pub fn violation(&self) -> Option<String> {
        if let (Some(peak), Some(budget)) = (self.peak_watts_after_cut, self.cut_budget_watts)
            && peak > budget
        {
            return Some(format!("peak {peak} W over the lowered budget of {budget} W"));
        }
        let accepted = self.accepted_while_leaving.filter(|accepted| *accepted > 0)?;
        Some(format!("{accepted} requests given to a leaving server"))
    }
}

/// Returns the tail of the first token in each window after the fault.
fn windows(outcomes: &[Outcome], fault_at: Duration, end: Duration) -> Vec<f64> {
    let mut tails = Vec::new();
    let mut start = fault_at;
    while start < end {
        let times = first_tokens(outcomes, start..start + WINDOW);
        tails.push(percentile_ms(&times, 0.95));
        start += WINDOW;
    }
    tails
}

fn not_measured(injected: &[Fault]) -> Vec<&'static str> {
    let mut missing = Vec::new();
    if injected.contains(&Fault::Partition) {
        missing.push("partition of partner links: only links to engines are cut");
    }
    if injected.contains(&Fault::HerdRestart) {
        missing.push("calls while no node listens count as connections lost");
    }
    missing
}
