//! Entry point of the daemon: command line, signals and exit codes.

use super::Node;
use crate::settings::Settings;
use async_signal::{Signal, Signals};
use bpaf::Bpaf;
use futures_lite::StreamExt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings; operators' scripts depend on it.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Command line of the daemon.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings file, name every fault and exit
    check: bool,
}

/// Runs the daemon until it receives SIGTERM or SIGINT.
pub fn run() -> ExitCode {
    let options = options().run();
    let settings = match settings_or_exit_code(Settings::load(&options.settings), options.check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    crate::logging::init();
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error=\"{error:#}\"");
            ExitCode::FAILURE
        }
    }
}

/// Returns the loaded settings, or the exit code if they are invalid or were only to be checked.
/// Prints the errors or the result of the check.
pub fn settings_or_exit_code<T>(
    loaded: anyhow::Result<T>,
    check_only: bool,
) -> Result<T, ExitCode> {
    match loaded {
        Err(error) => {
            eprintln!("{error:#}");
            Err(ExitCode::from(INVALID_SETTINGS_EXIT_CODE))
        }
        Ok(_) if check_only => {
            println!("settings are valid");
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
    }
}

fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let node = Node::start(settings)?;
    let signal = smol::block_on(signals.next());
    log::info!("event=signal signal={signal:?}");
    node.drain();
    Ok(())
}
