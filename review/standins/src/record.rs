//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Record file that several processes append to.
pub struct Record {
    file: Mutex<File>,
    start_unix_ms: u64,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Record {
    pub fn open(path: &Path, start_unix_ms: u64) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path).expect("a record file");
        Self { file: Mutex::new(file), start_unix_ms }
    }

    pub fn line(&self, text: &str) {
        let now_s = unix_ms().saturating_sub(self.start_unix_ms) as f64 / 1_000.0;
        let line = format!("{now_s:8.3} {text}\n");
        let _ = self.file.lock().expect("no panic").write_all(line.as_bytes());
    }
}
