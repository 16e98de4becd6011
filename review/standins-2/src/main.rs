//! Cases of the second review. Each starts nodes as processes, between stand-ins of the platform, the
//! servers and the clients that run in this process.

mod cases;
mod engine;
mod http;
mod node;
mod record;
mod site;
mod store;
mod streams;

use record::Record;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let result = cases::run(case, has_trouble, &record);
    let (line, code) = match result {
        Ok(Verdict::Held(line)) => (format!("held: {line}"), 0),
        Ok(Verdict::Broken(line)) => (format!("BROKEN: {line}"), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.add(&line);
    record.write(record_path);
    println!("{line}");
    ExitCode::from(code)
}
