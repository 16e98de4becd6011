//! Effects of the injected faults on callers and on the site.

use crate::callers::Run;
use crate::faults;
use crate::options::Fault;
use crate::outcome::{Ending, Outcome};
use crate::report::{WARM_UP_FRACTION, percentile_ms, times_to_first_token};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of the windows over which the 95th percentile is computed.
const WINDOW: Duration = Duration::from_secs(1);
/// Factor over the 95th percentile before the fault above which a window counts as disturbed.
const DISTURBED_FACTOR: f64 = 2.0;
/// Time after which a lowered budget and a leaving server must have taken effect.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Effects of the faults of a run, written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// Time of the fault since the start of the run.
    pub at_s: f64,
    /// 95th percentile of the time to first token before the fault.
    pub p95_before_ms: f64,
    /// Highest 95th percentile of a one-second window after the fault.
    pub worst_window_p95_ms: f64,
    /// Windows after the fault whose 95th percentile is more than twice that before it.
    pub disturbed_windows: usize,
    /// Seconds from the fault to the end of the last disturbed window.
    pub recovery_s: f64,
    /// Number of calls that arrived after the fault, by ending.
    pub endings: BTreeMap<Ending, usize>,
    /// Calls that arrived after the fault and were not answered.
    pub lost: usize,
    /// Requests that the leaving server accepted after the settle time.
    pub accepted_while_leaving: Option<u64>,
    /// Highest power draw after the settle time of a power cut.
    pub peak_watts_after_cut: Option<u64>,
    /// Power budget after a power cut.
    pub cut_budget_watts: Option<u64>,
    /// Effects that the run did not measure.
    pub not_measured: Vec<&'static str>,
}

/// Readings taken from the site during the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultReadings {
    /// Requests accepted by the leaving server up to the settle time.
    pub accepted_at_settle: Option<u64>,
}

impl FaultReport {
    /// Returns the report of a completed run, or `None` if no faults were injected.
    pub fn new(run: &Run, injected: &[Fault], readings: FaultReadings) -> Option<Self> {
        if injected.is_empty() {
            return None;
        }
        let outcomes = run.outcomes.sorted_by_arrival();
        let fault_offset = run.workload.fault_offset();
        let duration = run.workload.duration();
        let times_before =
            times_to_first_token(&outcomes, duration.mul_f64(WARM_UP_FRACTION)..fault_offset);
        let p95_before_ms = percentile_ms(&times_before, 0.95);
        let window_p95s_ms = window_p95s_ms(&outcomes, fault_offset, duration);
        let is_disturbed = |p95_ms: &f64| *p95_ms > p95_before_ms * DISTURBED_FACTOR;
        let last_disturbed = window_p95s_ms.iter().rposition(is_disturbed);
        let recovery_windows = last_disturbed.map_or(0, |window| window + 1);
        let after: Vec<&Outcome> =
            outcomes.iter().filter(|outcome| outcome.arrival_offset >= fault_offset).collect();
        let mut endings = BTreeMap::new();
        for outcome in &after {
            *endings.entry(outcome.ending).or_default() += 1;
        }
        let accepted_total = run.site.engines.first().map(|engine| engine.accepted_requests());
        let accepted_while_leaving = readings
            .accepted_at_settle
            .and_then(|settled| Some(accepted_total?.saturating_sub(settled)));
        let has_power_cut = injected.contains(&Fault::PowerCut);
        Some(Self {
            at_s: fault_offset.as_secs_f64(),
            p95_before_ms,
            worst_window_p95_ms: window_p95s_ms.iter().copied().fold(0.0, f64::max),
            disturbed_windows: window_p95s_ms.iter().filter(|p95_ms| is_disturbed(p95_ms)).count(),
            recovery_s: recovery_windows as f64 * WINDOW.as_secs_f64(),
            endings,
            lost: after.iter().filter(|outcome| outcome.ending != Ending::Answered).count(),
            accepted_while_leaving,
            peak_watts_after_cut: has_power_cut.then(|| run.site.ground_truth.peak_watts()),
            cut_budget_watts: has_power_cut
                .then(|| u64::from(faults::lowered_budget_watts(&run.site))),
            not_measured: not_measured(injected),
        })
    }

    /// Returns a description of the first violated invariant, if any.
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

/// Returns the 95th percentile of the time to first token in each window after the fault.
fn window_p95s_ms(outcomes: &[Outcome], fault_offset: Duration, end: Duration) -> Vec<f64> {
    let mut p95s_ms = Vec::new();
    let mut start = fault_offset;
    while start < end {
        let times = times_to_first_token(outcomes, start..start + WINDOW);
        p95s_ms.push(percentile_ms(&times, 0.95));
        start += WINDOW;
    }
    p95s_ms
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
