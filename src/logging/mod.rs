//! Log lines: one line of key=value pairs for each event.
//!
//! A call site writes `log::info!("event=document_in_force offset={offset}")`; values with spaces
//! go through [`Quoted`]. Level and module filters come from `COT_LOG` in the form that
//! `env_logger` reads, and default to [`DEFAULT_FILTER`].

pub mod non_blocking;

use env_logger::{Builder, Env, Target};
use non_blocking::NonBlockingWriter;
use std::fmt;
use std::io::Write;

/// Environment variable that holds the filter.
pub const FILTER_VARIABLE: &str = "COT_LOG";
/// Filter used if the variable is not set.
pub const DEFAULT_FILTER: &str = "info";

/// Starts logging to standard error. A logger that is already set stays.
pub fn init() {
    start(Target::Stderr);
}

/// Starts logging to standard output through `writer`, which never blocks.
pub fn init_non_blocking(writer: NonBlockingWriter) {
    start(Target::Pipe(Box::new(writer)));
}

fn start(target: Target) {
    let started = Builder::from_env(Env::new().filter_or(FILTER_VARIABLE, DEFAULT_FILTER))
        .target(target)
        .format(|buffer, record| {
            let timestamp = buffer.timestamp_millis();
            let line = format_line(record.level(), record.target(), &record.args().to_string());
            writeln!(buffer, "ts={timestamp} {line}")
        })
        .try_init();
    if started.is_err() {
        log::debug!("event=logger_already_set");
    }
}

/// Formats an event without its time; a message that is no event becomes the text of one.
pub fn format_line(level: log::Level, target: &str, message: &str) -> String {
    let level = level.as_str().to_ascii_lowercase();
    if message.starts_with("event=") {
        return format!("level={level} {}", message.replace(['\n', '\r'], " "));
    }
    format!("level={level} event=message target={target} text={}", Quoted(message))
}

/// Value of a key=value pair, quoted and escaped if it is empty or holds a space, a quote, an equals
/// sign or a control character.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain = !text.is_empty()
            && !text.chars().any(|c| c.is_whitespace() || c.is_control() || "\"=\\".contains(c));
        if plain { f.write_str(&text) } else { write!(f, "{text:?}") }
    }
}
