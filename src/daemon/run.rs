//! Entry point of the daemon: command line, signals and exit codes.

use super::Node;
use crate::settings::Settings;
use async_signal::{Signal, Signals};
use bpaf::Bpaf;
use futures_lite::StreamExt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of faulty settings, as operators' scripts know it.
const FAULTY_SETTINGS: u8 = 2;

/// Options of the daemon.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings file, name every fault and exit
    check: bool,
}

/// Runs the daemon until it is told to stop.
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

/// Returns the settings that a program goes on with, or the code with which it ends: that of faulty
/// settings, or of a mere check.
pub fn settings_or_exit_code<T>(loaded: anyhow::Result<T>, is_check: bool) -> Result<T, ExitCode> {
    match loaded {
        Err(error) => {
            eprintln!("{error:#}");
            Err(ExitCode::from(FAULTY_SETTINGS))
        }
        Ok(_) if is_check => {
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
