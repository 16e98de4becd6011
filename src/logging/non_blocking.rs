//! Log writer that never blocks the caller: a background thread writes the queued lines, and lines
//! that do not fit in the queue are dropped and counted.

use prometheus_client::metrics::counter::Counter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 1_024;

/// Writer that queues lines for a background thread; each call of `write` must pass a whole line.
#[derive(Debug)]
pub struct NonBlockingWriter {
    lines: SyncSender<Vec<u8>>,
    /// Counts all dropped lines.
    dropped: Counter,
    /// Lines dropped since the last line that reports the number of dropped ones.
    unreported_drops: u64,
}

impl NonBlockingWriter {
    /// Starts a thread that writes to `output`; `dropped` counts the lines that are dropped.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static, dropped: Counter) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new().name(String::from("log")).spawn(move || write(&queue, output))?;
        Ok(Self { lines, dropped, unreported_drops: 0 })
    }

    /// Queues `line` if there is room; returns whether it did.
    fn try_queue(&mut self, line: Vec<u8>) -> bool {
        match self.lines.try_send(line) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

/// Writes the queued lines until the writer is dropped or `output` fails.
fn write(queue: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(line) = queue.recv() {
        if output.write_all(&line).and_then(|()| output.flush()).is_err() {
            // The output is closed, so there is nowhere left to report the error.
            return;
        }
    }
}

impl Write for NonBlockingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.unreported_drops > 0 {
            let report =
                format!("level=warn event=log_lines_dropped lines={}\n", self.unreported_drops);
            if self.try_queue(report.into_bytes()) {
                self.unreported_drops = 0;
            }
        }
        if !self.try_queue(line.to_vec()) {
            self.unreported_drops += 1;
            self.dropped.inc();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
