//! Record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Bytes of a record, which must stay below what the repository takes.
const MAX_BYTES: usize = 80_000;

pub struct Record {
    begun_at: Instant,
    file: Mutex<(File, usize)>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a folder for the record");
        Self { begun_at: Instant::now(), file: Mutex::new((file, 0)) }
    }

    /// Writes a line with the seconds since the begin; details beyond the size are left out.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("lock");
        if file.1 < MAX_BYTES {
            self.write(&mut file, text);
        }
    }

    /// Writes a line in any case.
    pub fn result(&self, text: &str) {
        // Nobody may be reading.
        let _printed = writeln!(std::io::stdout(), "{text}");
        self.write(&mut self.file.lock().expect("lock"), text);
    }

    fn write(&self, file: &mut (File, usize), text: &str) {
        let line = format!("{:8.3} {text}\n", self.begun_at.elapsed().as_secs_f64());
        file.1 += line.len();
        file.0.write_all(line.as_bytes()).expect("a written record");
    }
}
