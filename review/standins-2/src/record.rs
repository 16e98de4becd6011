//! What was sent, answered and run: lines with their time, written to `record.txt`.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started_at: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at_s = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at_s:8.3} s  {}", line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("{path}: {error}");
        }
    }
}
