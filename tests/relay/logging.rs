//! A blocked standard output neither delays requests nor grows memory.

use coriandertide::logging::non_blocking::NonBlockingWriter;
use prometheus_client::metrics::counter::Counter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Output that blocks until it is released.
struct BlockedOutput {
    release: Receiver<()>,
    written: Sender<String>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _released = self.release.recv();
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
    // The queue empties; the next line is preceded by the number of dropped ones.
    let mut seen: Vec<String> = (0..1_024).map(|_| lines.recv().unwrap()).collect();
    while !seen.iter().any(|line| line.contains("event=log_lines_dropped lines=")) {
        writer.write_all(b"event=last\n").unwrap();
        seen.push(lines.recv().unwrap());
    }
}
