//! Command line for operators, a client of the administration API.

pub mod apply;
pub mod check;
pub mod client;
pub mod config;
pub mod diff;
pub mod exit;
pub mod inspect;
pub mod options;
pub mod output;
pub mod trace;

pub use client::{AdminClient, ClientError};
pub use exit::{CliError, ExitStatus};

use options::{Command, ConfigCommand, command};
use std::process::ExitCode;

/// Parses the arguments, runs the command and returns its exit code.
pub fn run() -> ExitCode {
    let command = command().run();
    let is_json = command.is_json();
    let result = smol::block_on(run_command(command));
    let status = result.unwrap_or_else(|error| {
        output::print_error(&error, is_json);
        error.status
    });
    ExitCode::from(status as u8)
}

async fn run_command(command: Command) -> Result<ExitStatus, CliError> {
    match command {
        Command::Config(command) => run_config(command).await,
        Command::Status { connection } => inspect::status(&connection).await,
        Command::Servers { connection } => inspect::servers(&connection).await,
        Command::Explain { connection, workspace, request } => {
            inspect::explain(&connection, workspace, &request).await
        }
        Command::HashKey => inspect::hash_key_from_input(),
        Command::Trace { request } => inspect::trace_from_input(&request),
    }
}

async fn run_config(command: ConfigCommand) -> Result<ExitStatus, CliError> {
    match command {
        ConfigCommand::Get { connection, section } => {
            config::get(&connection, section.as_deref()).await
        }
        ConfigCommand::Validate { connection, change } => {
            config::validate(&connection, &change).await
        }
        ConfigCommand::Check { json, against, file } => {
            check::check(&file, against.as_deref(), json)
        }
        ConfigCommand::Diff { connection, change } => config::diff(&connection, &change).await,
        ConfigCommand::Apply { connection, change, yes, no_wait, timeout_s } => {
            let options = apply::ApplyOptions { yes, no_wait, timeout_s };
            apply::apply(&connection, &change, options).await
        }
        ConfigCommand::Restore { connection, file } => config::restore(&connection, &file).await,
        ConfigCommand::History { connection, section } => {
            config::history(&connection, section.as_deref()).await
        }
        ConfigCommand::Wait { connection, timeout_s, revision } => {
            apply::wait(&connection, revision, timeout_s).await
        }
    }
}
