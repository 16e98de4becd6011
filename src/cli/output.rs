//! Output of the command line: results on standard output, errors as text or JSON.

use super::exit::CliError;
use crate::admin::messages::{ErrorBody, FaultReply};
use serde::Serialize;
use serde_json::json;
use std::io::Write;

/// Prints a value as indented JSON.
pub fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("every output can be encoded as JSON");
    print_line(&text);
}

/// Prints a line. Exits with success if standard output is closed, as by `head`.
pub fn print_line(line: &str) {
    let mut stdout = std::io::stdout().lock();
    if writeln!(stdout, "{line}").is_err() {
        std::process::exit(0);
    }
}

/// Prints faults, one per line.
pub fn print_faults(faults: &[FaultReply]) {
    for fault in faults {
        print_line(&format!("{}: {}", fault.path, fault.message));
    }
}

/// Prints an error, as JSON on standard output if `is_json`, otherwise as text on standard error.
pub fn print_error(error: &CliError, is_json: bool) {
    if is_json {
        let code = error.body.as_ref().map(|body| body.code.clone());
        print_json(&json!({
            "error": { "message": error.message, "code": code, "body": error.body },
            "exit": error.status as u8,
        }));
        return;
    }
    eprintln!("error: {}", error.message);
    if let Some(body) = &error.body {
        eprint!("{}", format_details(body));
    }
}

fn format_details(body: &ErrorBody) -> String {
    let mut text = String::new();
    for fault in &body.faults {
        text += &format!("  {}: {}\n", fault.path, fault.message);
    }
    if let Some(winner) = &body.winner {
        let edit_id = winner.edit_id.as_deref().unwrap_or("none");
        text += &format!("  winner: author={} edit_id={edit_id}\n", winner.author);
        let current = body.current.as_ref().map_or(String::from("removed"), ToString::to_string);
        text += &format!("  current value: {current}\n");
    }
    text
}
