//! Prints the reports as a table.

use crate::report::PolicyReport;

/// Prints a table with a column for each policy.
pub fn print_reports(reports: &[PolicyReport]) {
    let header: Vec<String> = reports.iter().map(|report| report.policy.clone()).collect();
    print_row("", &header);
    let print_metric = |name: &str, value: &dyn Fn(&PolicyReport) -> String| {
        print_row(name, &reports.iter().map(value).collect::<Vec<String>>());
    };
    print_metric("prefix hit rate", &|report| format!("{:.3}", report.prefix_hit_rate));
    print_metric("imported share", &|report| format!("{:.3}", report.imported_share));
    print_metric("first token p50, ms", &|report| format!("{:.1}", report.ttft_p50_ms));
    print_metric("first token p95, ms", &|report| format!("{:.1}", report.ttft_p95_ms));
    print_metric("first token p99, ms", &|report| format!("{:.1}", report.ttft_p99_ms));
    print_metric("wasted prompt tokens", &|report| report.wasted_prompt_tokens.to_string());
    print_metric("requests", &|report| report.requests.to_string());
    print_metric("refused", &|report| report.refused.to_string());
    print_metric("answers wrong", &|report| report.answers_wrong.to_string());
    print_metric("non-idempotent twice", &|report| report.non_idempotent_twice.to_string());
    print_metric("not run", &|report| report.not_run.to_string());
    print_metric("outcome unknown", &|report| report.outcome_unknown.to_string());
    print_metric("connection lost", &|report| report.connection_lost.to_string());
    print_metric("unfinished", &|report| report.unfinished.to_string());
    print_metric("engine crashes", &|report| report.engine_crashes.to_string());
    print_metric("peak draw, W", &|report| report.peak_watts.to_string());
    print_metric("power budget, W", &|report| report.budget_watts.to_string());
    if reports.iter().any(|report| report.fault.is_some()) {
        print_faults(reports);
    }
    for report in reports.iter().filter(|report| !report.error_codes.is_empty()) {
        println!("{}: errors by code {:?}", report.policy, report.error_codes);
    }
}

fn print_faults(reports: &[PolicyReport]) {
    let print_metric = |name: &str, value: &dyn Fn(&crate::fault_report::FaultReport) -> String| {
        let cells: Vec<String> = reports
            .iter()
            .map(|report| report.fault.as_ref().map_or_else(String::new, value))
            .collect();
        print_row(name, &cells);
    };
    print_metric("p95 before fault, ms", &|fault| format!("{:.1}", fault.p95_before_ms));
    print_metric("worst window p95, ms", &|fault| format!("{:.1}", fault.worst_window_p95_ms));
    print_metric("windows over twice", &|fault| fault.disturbed_windows.to_string());
    print_metric("recovery, s", &|fault| format!("{:.0}", fault.recovery_s));
    print_metric("lost after fault", &|fault| fault.lost.to_string());
}

fn print_row(name: &str, cells: &[String]) {
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>18}")).collect();
    println!("{name:<22}{}", cells.concat());
}
