//! Entry point of the daemon: command line, signals and exit codes.

use super::Node;
use crate::settings::Settings;
use async_signal::{Signal, Signals};
use bpaf::Bpaf;
use futures_lite::StreamExt;
use std::path::PathBuf;
use std::process::ExitCode;

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
    let settings = match Settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    crate::logging::init();
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error=\"{error:#}\"");
            ExitCode::FAILURE
        }
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
