//! Table of the figures for people.

use crate::report::PolicyReport;

/// Prints a table with a column for each policy.
pub fn print(reports: &[PolicyReport]) {
    let header: Vec<String> = reports.iter().map(|report| report.policy.clone()).collect();
    row("", &header);
    let line = |name: &str, value: &dyn Fn(&PolicyReport) -> String| {
        row(name, &reports.iter().map(value).collect::<Vec<String>>());
    };
    line("prefix hit rate", &|report| format!("{:.3}", report.prefix_hit_rate));
    line("imported share", &|report| format!("{:.3}", report.imported_share));
    line("first token p50, ms", &|report| format!("{:.1}", report.ttft_p50_ms));
    line("first token p95, ms", &|report| format!("{:.1}", report.ttft_p95_ms));
    line("first token p99, ms", &|report| format!("{:.1}", report.ttft_p99_ms));
    line("wasted prompt tokens", &|report| report.wasted_prompt_tokens.to_string());
    line("requests", &|report| report.requests.to_string());
    line("refused", &|report| report.refused.to_string());
    line("answers wrong", &|report| report.answers_wrong.to_string());
    line("non-idempotent twice", &|report| report.non_idempotent_twice.to_string());
    line("not run", &|report| report.not_run.to_string());
    line("outcome unknown", &|report| report.outcome_unknown.to_string());
    line("connection lost", &|report| report.connection_lost.to_string());
    line("unfinished", &|report| report.unfinished.to_string());
    line("engine crashes", &|report| report.engine_crashes.to_string());
    line("peak draw, W", &|report| report.peak_watts.to_string());
    line("power budget, W", &|report| report.budget_watts.to_string());
    if reports.iter().any(|report| report.fault.is_some()) {
        print_faults(reports);
    }
    for report in reports.iter().filter(|report| !report.error_codes.is_empty()) {
        println!("{}: errors by code {:?}", report.policy, report.error_codes);
    }
}

fn print_faults(reports: &[PolicyReport]) {
    let line = |name: &str, value: &dyn Fn(&crate::fault_report::FaultReport) -> String| {
        let cells: Vec<String> = reports
            .iter()
            .map(|report| report.fault.as_ref().map_or_else(String::new, value))
            .collect();
        row(name, &cells);
    };
    line("p95 before fault, ms", &|fault| format!("{:.1}", fault.p95_before_ms));
    line("worst window p95, ms", &|fault| format!("{:.1}", fault.worst_window_p95_ms));
    line("windows over twice", &|fault| fault.disturbed_windows.to_string());
    line("recovery, s", &|fault| format!("{:.0}", fault.recovery_s));
    line("lost after fault", &|fault| fault.lost.to_string());
}

fn row(name: &str, cells: &[String]) {
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>18}")).collect();
    println!("{name:<22}{}", cells.concat());
}
