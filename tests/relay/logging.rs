//! A blocked log output must neither block the threads that log nor let the queue grow without
//! bound.

use coriandertide::logging::non_blocking::NonBlockingWriter;
use prometheus_client::metrics::counter::Counter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Output whose writes block until `release` is disconnected, and are then sent to `written`.
struct BlockedOutput {
    release: Receiver<()>,
    written: Sender<String>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _disconnected = self.release.recv();
        self.written.send(String::from_utf8_lossy(bytes).into_owned()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_queue_are_dropped_counted_and_reported() {
    let (release, released) = channel();
    let (written, lines) = channel();
    let dropped = Counter::default();
    let output = BlockedOutput { release: released, written };
    let mut writer = NonBlockingWriter::start(output, dropped.clone()).unwrap();
    for _ in 0..5_000 {
        writer.write_all(b"event=test\n").unwrap();
    }
    let first_dropped = dropped.get();
    assert!((3_900..=5_000).contains(&first_dropped), "{first_dropped}");
    drop(release);
    // Once the queue has room, the next line is preceded by a report of the dropped ones.
    let mut received: Vec<String> = (0..1_024).map(|_| lines.recv().unwrap()).collect();
    while !received.iter().any(|line| line.contains("event=log_lines_dropped lines=")) {
        writer.write_all(b"event=last\n").unwrap();
        received.push(lines.recv().unwrap());
    }
}
