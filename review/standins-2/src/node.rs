//! Nodes: processes of the program that the deploy file starts, with settings as its template gives them.

use crate::http;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/coriandertide-platform";

/// Addresses of a node, on a loopback address of its own: no outgoing connection takes its ports.
pub struct Ports {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub partners: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

impl Ports {
    fn of_node(number: usize) -> Self {
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, number as u8);
        let port = |port: u16| SocketAddr::from((ip, port));
        Self {
            callers: port(8782),
            readiness: port(8789),
            partners: port(8783),
            peers: port(7355),
            metrics: port(7340),
        }
    }
}

/// Node of a site.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ports: Ports,
    folder: PathBuf,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
    partner_key: String,
    child: Option<Child>,
}

impl Node {
    pub fn new(folder: &Path, number: usize, store: SocketAddr) -> Self {
        Self {
            name: format!("frontend-z{number}-1"),
            zone: format!("z{number}"),
            ports: Ports::of_node(number),
            folder: folder.to_owned(),
            store,
            seeds: Vec::new(),
            partner_key: format!("partner-region-{store}"),
            child: None,
        }
    }

    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    fn settings(&self, is_first_start: bool) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let Ports { callers, readiness, partners, peers, metrics } = &self.ports;
        format!(
            "{{\"store\": \"{}\", \"node\": {{\"instance_name\": \"{}\", \"availability_zone\": \"{}\", \
             \"partner_key\": \"{}\", \"seed_partners\": [{}], \"listen\": {{\
             \"callers\": \"{callers}\", \"readiness\": \"{readiness}\", \
             \"readiness_path\": \"/-/readyz\", \"partners\": \"{partners}\", \"peers\": \"{peers}\", \
             \"metrics\": \"{metrics}\", \"metrics_path\": \"/metrics\"}}, \
             \"resend\": {{\"ratio\": 0.2, \"slack\": 56, \"window_s\": 10}}, \
             \"rollout_lease_ms\": 3000, \"processor_cores\": 0.25, \"memory_mb\": 260, \
             \"first_start\": {is_first_start}, \"quota\": {{}}}}}}",
            self.store,
            self.name,
            self.zone,
            self.partner_key,
            seeds.join(", "),
        )
    }

    /// Starts the process.
    pub fn start(&mut self, is_first_start: bool) -> Result<(), String> {
        let path = self.folder.join(format!("{}.json", self.name));
        fs::write(&path, self.settings(is_first_start)).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .env("CORIANDERTIDE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("{PROGRAM}: {e}"))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal (`STOP`, `CONT`) to the process.
    pub fn signal(&self, signal: &str) -> Result<(), String> {
        let Some(pid) = self.child.as_ref().map(Child::id) else { return Ok(()) };
        let command = format!("kill -{signal} {pid}");
        match Command::new("bash").args(["-c", &command]).status() {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(format!("{command}: {status}")),
            Err(error) => Err(format!("{command}: {error}")),
        }
    }

    /// Address at which the node finds the store.
    pub fn store(&self) -> SocketAddr {
        self.store
    }

    /// Sets the address at which the node finds the store, which stands in the partner key as well.
    pub fn set_store(&mut self, store: SocketAddr) {
        self.store = store;
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Asks as the platform does whether the node is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        http::send(self.ports.readiness, request, b"", Duration::from_secs(1))
            .is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() >= deadline {
                return Err(format!("{} is not ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
