//! Node daemon, one per entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    coriandertide::daemon::run()
}
