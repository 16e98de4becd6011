//! Runs a complete site in one process: stand-ins, nodes and callers over loopback sockets.
//!
//! Every answer is checked. The exit code is not zero if an answer was wrong, cut or out of order,
//! if a non-idempotent call ran twice, if the site drew more power than its budget, or on any other
//! violation listed in `PolicyReport::violations`.

mod balancer;
mod callers;
mod document;
mod exchange;
mod fault_report;
mod faults;
mod omniscient;
mod options;
mod outcome;
mod preset;
mod report;
mod run;
mod site;
mod table;
mod workload;

use options::options;
use std::process::ExitCode;

/// Tokens in each frame of a stream.
pub const TOKENS_PER_FRAME: u32 = 4;

fn main() -> ExitCode {
    let options = options().run();
    env_logger::Builder::from_env(env_logger::Env::new().filter_or("COT_LOG", "warn")).init();
    match run_all(&options) {
        Ok(violations) if violations.is_empty() => ExitCode::SUCCESS,
        Ok(violations) => {
            for violation in violations {
                eprintln!("violated: {violation}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs each policy in turn and returns a description of each violation.
fn run_all(options: &options::Options) -> anyhow::Result<Vec<String>> {
    let mut reports = Vec::new();
    for policy in options.policy.policies() {
        reports.push(run::run_policy(policy, options)?);
    }
    table::print_reports(&reports);
    if let Some(path) = &options.report {
        std::fs::write(path, serde_json::to_vec_pretty(&reports)?)?;
    }
    Ok(reports.iter().flat_map(|report| report.violations(&options.fault)).collect())
}
