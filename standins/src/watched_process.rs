//! A process under test, with limits of its own, and what it holds.

use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Period at which the process is looked at.
const WATCH_PERIOD: Duration = Duration::from_millis(20);

/// Most that a process has held.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    /// Resident memory, in bytes.
    pub resident_bytes: usize,
    /// Bytes that the kernel had received for the listener's connections and that were not read.
    pub unread_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// A process under test; dropping it kills it.
pub struct WatchedProcess {
    child: Child,
    is_ended: Arc<AtomicBool>,
    unread_bytes: Arc<AtomicUsize>,
    descriptors: Arc<AtomicUsize>,
    watcher: Option<JoinHandle<()>>,
}

impl WatchedProcess {
    /// Starts `program` with at most `max_descriptors`, and watches it and the connections of `ports`.
    ///
    /// # Errors
    ///
    /// The program could not be started.
    pub fn start(
        program: &str,
        settings: &Path,
        max_descriptors: usize,
        ports: &[u16],
    ) -> io::Result<Self> {
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {max_descriptors} && exec \"$0\" \"$1\" \"$2\""))
            .args([program, "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()?;
        let (is_ended, unread_bytes, descriptors) = <(Arc<AtomicBool>, _, _)>::default();
        let mut process = Self { child, is_ended, unread_bytes, descriptors, watcher: None };
        process.watch(ports.to_vec());
        Ok(process)
    }

    fn watch(&mut self, ports: Vec<u16>) {
        let pid = self.child.id();
        let is_ended = Arc::clone(&self.is_ended);
        let unread_bytes: Arc<AtomicUsize> = Arc::clone(&self.unread_bytes);
        let descriptors: Arc<AtomicUsize> = Arc::clone(&self.descriptors);
        self.watcher = Some(thread::spawn(move || {
            while !is_ended.load(Ordering::Relaxed) {
                unread_bytes.fetch_max(unread_bytes_of(&ports), Ordering::Relaxed);
                let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
                descriptors.fetch_max(open, Ordering::Relaxed);
                thread::sleep(WATCH_PERIOD);
            }
        }));
    }

    /// Whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most that the process has held; the memory of a process that has ended is 0.
    pub fn peak(&self) -> Peak {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb = peak_kb.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        Peak {
            resident_bytes: peak_kb.unwrap_or(0) * 1024,
            unread_bytes: self.unread_bytes.load(Ordering::Relaxed),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }
}

impl Drop for WatchedProcess {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        if let Err(error) = self.child.kill().and_then(|()| self.child.wait()) {
            eprintln!("event=kill_failed error=\"{error}\"");
        }
        if let Some(watcher) = self.watcher.take() {
            drop(watcher.join());
        }
    }
}

/// Returns the unread bytes of the connections that are accepted at one of the local `ports`.
fn unread_bytes_of(ports: &[u16]) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().skip(1).filter_map(|line| unread_bytes_of_line(line, ports)).sum()
}

/// Returns the receive queue of a connection, `None` if the line describes another one or a listener.
fn unread_bytes_of_line(line: &str, ports: &[u16]) -> Option<usize> {
    const LISTEN: &str = "0A";
    let mut fields = line.split_whitespace().skip(1);
    let local_port = u16::from_str_radix(fields.next()?.rsplit(':').next()?, 16).ok()?;
    let (_remote, state, queues) = (fields.next()?, fields.next()?, fields.next()?);
    if !ports.contains(&local_port) || state == LISTEN {
        return None;
    }
    usize::from_str_radix(queues.rsplit(':').next()?, 16).ok()
}

/// Returns a port on the loopback address that nothing listens on.
///
/// # Errors
///
/// No port is free.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?.port())
}
