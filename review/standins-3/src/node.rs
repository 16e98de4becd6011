//! Nodes as processes, with the settings that the deploy file's template renders for a small deployment.

use crate::http::{Request, exchange};
use crate::store::Store;
use std::fs::{self, OpenOptions};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const MEMORY_MB: u64 = 110;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/coriandertide-platform";

/// Number of the next port that is tried.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// All processes that the case has started.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started.
pub fn kill_all() {
    for child in STARTED.lock().expect("lock").iter() {
        let mut child = child.lock().expect("lock");
        let _killed = child.kill().and_then(|()| child.wait());
    }
}

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Arc<Mutex<Child>>,
}

struct Ports {
    callers: SocketAddr,
    ready: SocketAddr,
    partners: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
}

/// Returns free ports below those that the system gives to outgoing connections.
fn free_ports() -> Ports {
    let mut ports = Vec::new();
    while ports.len() < 5 {
        let port =
            20_000 + (NEXT_PORT.fetch_add(1, Ordering::SeqCst) + process::id() * 37) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            ports.push(address);
        }
    }
    Ports {
        callers: ports[0],
        ready: ports[1],
        partners: ports[2],
        metrics: ports[3],
        peers: ports[4],
    }
}

/// Starts nodes, one in each zone.
pub fn start_nodes(zones: &[&str], store: &Store, folder: &Path) -> Vec<Node> {
    let ports: Vec<Ports> = zones.iter().map(|_| free_ports()).collect();
    let seeds: Vec<String> = ports.iter().map(|ports| format!("\"{}\"", ports.partners)).collect();
    let seeds = seeds.join(",");
    let nodes = zones.iter().zip(&ports).enumerate();
    nodes.map(|(index, (zone, ports))| start(index, zone, ports, &seeds, store, folder)).collect()
}

fn start(
    index: usize,
    zone: &str,
    ports: &Ports,
    seeds: &str,
    store: &Store,
    folder: &Path,
) -> Node {
    let name = format!("frontend-{zone}-{}", index + 1);
    let Ports { callers, ready, partners, metrics, peers } = ports;
    let store_address = store.address;
    let settings = format!(
        r#"{{"store":"{store_address}","node":{{"instance_name":"{name}","availability_zone":"{zone}","partner_key":"partner-review-{store_address}","seed_partners":[{seeds}],"listen":{{"callers":"{callers}","readiness":"{ready}","readiness_path":"/-/readyz","partners":"{partners}","peers":"{peers}","metrics":"{metrics}","metrics_path":"/metrics"}},"resend":{{"ratio":0.2,"slack":52,"window_s":10}},"rollout_lease_ms":3000,"processor_cores":0.25,"memory_mb":{MEMORY_MB},"max_descriptors":4200,"first_start":true,"quota":{{}}}}}}"#
    );
    let path = folder.join(format!("{name}.json"));
    fs::write(&path, settings).expect("written settings");
    let log = folder.join(format!("{name}.log"));
    let child = spawn(&path, &log);
    Node { name, callers: *callers, ready: *ready, settings: path, log, child }
}

/// Starts the program; ends the case if it can't be started.
fn spawn(settings: &Path, log: &Path) -> Arc<Mutex<Child>> {
    let output = OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let child = Command::new(PROGRAM)
        .env("CORIANDERTIDE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a log file"))
        .stderr(output)
        .spawn();
    match child {
        Ok(child) => {
            let child = Arc::new(Mutex::new(child));
            STARTED.lock().expect("lock").push(Arc::clone(&child));
            child
        }
        Err(error) => {
            eprintln!("{PROGRAM}: {error}; build it with the command of the deploy file");
            process::exit(2);
        }
    }
}

impl Node {
    pub fn is_ready(&self) -> bool {
        let request =
            Request { method: "GET".into(), target: "/-/readyz".into(), ..Request::default() };
        let answer = exchange(self.ready, &request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the current and the highest resident memory in kilobytes.
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.lock().expect("lock").id()))
                .ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.lock().expect("lock").try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Starts the process again after it has ended; the site has started before.
    pub fn start_again(&mut self) {
        let settings = fs::read_to_string(&self.settings).expect("written settings");
        let settings = settings.replace("\"first_start\":true", "\"first_start\":false");
        fs::write(&self.settings, settings).expect("written settings");
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn kill(&mut self) -> io::Result<()> {
        let mut child = self.child.lock().expect("lock");
        child.kill()?;
        child.wait().map(|_| ())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _killed = self.kill();
    }
}

/// Waits until all nodes are ready; false after ten seconds.
pub fn await_ready(nodes: &[Node]) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
