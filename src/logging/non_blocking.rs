//! Writer of log lines that never blocks: a thread of its own writes them, and lines for which the
//! queue has no room are dropped and counted.

use prometheus_client::metrics::counter::Counter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Lines that may wait to be written.
const QUEUED_LINES: usize = 1_024;

/// Writer that hands lines to a thread.
#[derive(Debug)]
pub struct NonBlockingWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Counter,
    /// Lines dropped since the last one that was queued.
    dropped_in_a_row: u64,
}

impl NonBlockingWriter {
    /// Starts a thread that writes to `output`; `dropped` counts the lines that it could not take.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static, dropped: Counter) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUED_LINES);
        thread::Builder::new().name(String::from("log")).spawn(move || write(&queue, output))?;
        Ok(Self { lines, dropped, dropped_in_a_row: 0 })
    }

    /// Queues `line`; returns whether there was room.
    fn queue(&mut self, line: Vec<u8>) -> bool {
        match self.lines.try_send(line) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn write(queue: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(line) = queue.recv() {
        if output.write_all(&line).and_then(|()| output.flush()).is_err() {
            // Nobody reads standard output any more; there is nowhere left to say so.
            return;
        }
    }
}

impl Write for NonBlockingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.dropped_in_a_row > 0 {
            let note =
                format!("level=warn event=log_lines_dropped lines={}\n", self.dropped_in_a_row);
            if self.queue(note.into_bytes()) {
                self.dropped_in_a_row = 0;
            }
        }
        if !self.queue(line.to_vec()) {
            self.dropped_in_a_row += 1;
            self.dropped.inc();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
