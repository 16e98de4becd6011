//! Structured logging: one line of key=value pairs for each event.
//!
//! A call site writes `log::info!("event=document_in_force offset={offset}")` and wraps values that
//! may contain spaces in [`Quoted`]. `COT_LOG` holds the level and module filters, in the syntax of
//! `env_logger`; the default is [`DEFAULT_FILTER`].

pub mod non_blocking;

use env_logger::{Builder, Env, Target};
use non_blocking::NonBlockingWriter;
use std::fmt;
use std::io::Write;

/// Environment variable with the level and module filters.
pub const FILTER_VARIABLE: &str = "COT_LOG";
/// Filter if [`FILTER_VARIABLE`] is not set.
pub const DEFAULT_FILTER: &str = "info";

/// Starts logging to standard error, unless a logger is already set.
pub fn init() {
    start(Target::Stderr);
}

/// Starts logging through `writer`, unless a logger is already set.
pub fn init_non_blocking(writer: NonBlockingWriter) {
    start(Target::Pipe(Box::new(writer)));
}

fn start(target: Target) {
    let result = Builder::from_env(Env::new().filter_or(FILTER_VARIABLE, DEFAULT_FILTER))
        .target(target)
        .format(|buffer, record| {
            let timestamp = buffer.timestamp_millis();
            let line = format_line(record.level(), record.target(), &record.args().to_string());
            writeln!(buffer, "ts={timestamp} {line}")
        })
        .try_init();
    if result.is_err() {
        log::debug!("event=logger_already_set");
    }
}

/// Formats a log line without its timestamp. A message that does not start with `event=`, such as
/// one of a dependency, becomes the `text` of `event=message`.
pub fn format_line(level: log::Level, target: &str, message: &str) -> String {
    let level = level.as_str().to_ascii_lowercase();
    if message.starts_with("event=") {
        return format!("level={level} {}", message.replace(['\n', '\r'], " "));
    }
    format!("level={level} event=message target={target} text={}", Quoted(message))
}

/// Displays the value of a key=value pair, quoted and escaped if it is empty or contains
/// whitespace, a quote, an equals sign, a backslash or a control character.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let is_plain = !text.is_empty()
            && !text.chars().any(|c| c.is_whitespace() || c.is_control() || "\"=\\".contains(c));
        if is_plain { f.write_str(&text) } else { write!(f, "{text:?}") }
    }
}
