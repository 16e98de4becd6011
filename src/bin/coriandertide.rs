//! Command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    coriandertide::cli::run()
}
