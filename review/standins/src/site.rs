//! A small site: the store, server processes and node processes, all on loopback.

use crate::http::call;
use crate::record::{Record, unix_ms};
use crate::server;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Service of the streams.
pub const SERVICE: &str = "chat";

/// Host of the routes.
pub const HOST: &str = "chat.example";

/// Node program, by the deploy file.
const NODE_PROGRAM: &str = "target/release/coriandertide-platform";

/// Time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A server and how it is started.
struct ServerProcess {
    arguments: server::Arguments,
    child: Child,
}

/// A node, its addresses, and when its process was last started or got a SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct NodeState {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub is_running: bool,
    pub disturbed_at: Instant,
}

struct NodeProcess {
    state: NodeState,
    addresses: [SocketAddr; 5],
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub store: Store,
    pub record: Arc<Record>,
    record_path: PathBuf,
    start_unix_ms: u64,
    directory: PathBuf,
    seeds: Vec<String>,
    servers: Mutex<BTreeMap<String, ServerProcess>>,
    nodes: Vec<Mutex<NodeProcess>>,
}

/// Returns a free loopback address, which is returned once. Its port is below those that the kernel
/// gives to outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let first = 12_000 + (std::process::id() % 100) as u16 * 180;
        let address = SocketAddr::from(([127, 0, 0, 1], first + offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn now() -> Instant {
    Instant::now()
}

impl Site {
    /// Starts the store; `case` is the folder of the record.
    pub fn start(case: &Path, nodes: usize) -> Self {
        let record_path = case.join("record.txt");
        let _ = std::fs::remove_file(&record_path);
        let start_unix_ms = unix_ms();
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        let store = Store::start();
        let record = Arc::new(Record::open(&record_path, start_unix_ms));
        let addresses: Vec<[SocketAddr; 5]> =
            (0..nodes).map(|_| std::array::from_fn(|_| free_address())).collect();
        let seeds: Vec<String> =
            addresses.iter().take(3).map(|node| format!("\"{}\"", node[2])).collect();
        let nodes = addresses.iter().enumerate().map(|(index, address)| {
            let settings = directory.join(format!("node-{index}.json"));
            let process = NodeProcess {
                state: NodeState {
                    callers: address[0],
                    readiness: address[1],
                    is_running: false,
                    disturbed_at: now(),
                },
                addresses: *address,
                settings,
                child: None,
            };
            write_settings(&process.settings, index, address, &seeds, store.address, true);
            Mutex::new(process)
        });
        let nodes = nodes.collect();
        let site = Self {
            store,
            record,
            record_path,
            start_unix_ms,
            directory,
            seeds,
            servers: Mutex::default(),
            nodes,
        };
        for index in 0..site.nodes.len() {
            site.start_node(index);
        }
        site
    }

    /// Starts a server with a new address.
    pub fn start_server(&self, id: &str, software: &str, events: u64, pause_ms: u64) {
        self.start_recording_server(id, software, events, pause_ms, false);
    }

    /// Starts a server whose answers end with their channel.
    pub fn start_unframed_server(&self, id: &str, events: u64, pause_ms: u64) {
        self.start_process(id, "v1", events, pause_ms, false, false);
    }

    /// Starts a server that records the parts of prompts if `records_parts`.
    pub fn start_recording_server(
        &self,
        id: &str,
        software: &str,
        events: u64,
        pause_ms: u64,
        records_parts: bool,
    ) {
        self.start_process(id, software, events, pause_ms, records_parts, true);
    }

    fn start_process(
        &self,
        id: &str,
        software: &str,
        events: u64,
        pause_ms: u64,
        records_parts: bool,
        has_chunks: bool,
    ) {
        let arguments = server::Arguments {
            id: id.to_owned(),
            address: free_address(),
            service: SERVICE.to_owned(),
            software: software.to_owned(),
            store: self.store.address,
            events,
            pause_ms,
            records_parts,
            has_chunks,
            record: self.record_path.to_string_lossy().into_owned(),
            start_unix_ms: self.start_unix_ms,
        };
        let child = spawn_server(&arguments);
        let process = ServerProcess { arguments, child };
        self.servers.lock().expect("no panic").insert(id.to_owned(), process);
    }

    /// Kills a server; it starts again after `down` at its address and under its id, with the given
    /// software.
    pub fn crash_server(&self, id: &str, down: Duration, software: &str) {
        let mut servers = self.servers.lock().expect("no panic");
        let process = servers.get_mut(id).expect("a server");
        self.record.line(&format!("server {id} crashes"));
        let _ = process.child.kill();
        let _ = process.child.wait();
        forget(process.child.id());
        thread::sleep(down);
        process.arguments.software = software.to_owned();
        process.child = spawn_server(&process.arguments);
    }

    fn start_node(&self, index: usize) {
        let mut node = self.nodes[index].lock().expect("no panic");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("node-{index}.log")))
            .expect("a log file");
        let child = Command::new(NODE_PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CORIANDERTIDE_CONFIG", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        node.child = Some(child.map(remember).expect("a node process"));
        node.state.is_running = true;
        node.state.disturbed_at = now();
        drop(node);
        self.record.line(&format!("node {index} starts"));
    }

    /// Sends a SIGTERM to a node, and starts it again after its end.
    pub fn restart_node(&self, index: usize, grace: Duration) {
        let id = {
            let mut node = self.nodes[index].lock().expect("no panic");
            node.state.disturbed_at = now();
            node.child.as_ref().expect("a running node").id()
        };
        self.record.line(&format!("node {index} gets SIGTERM"));
        signal("TERM", id);
        let limit = now() + grace;
        loop {
            let mut node = self.nodes[index].lock().expect("no panic");
            let child = node.child.as_mut().expect("a running node");
            if child.try_wait().ok().flatten().is_some() {
                break;
            }
            if now() >= limit {
                let _ = child.kill();
            }
            drop(node);
            thread::sleep(Duration::from_millis(20));
        }
        {
            let mut node = self.nodes[index].lock().expect("no panic");
            node.state.is_running = false;
            node.child.take().iter().for_each(|child| forget(child.id()));
            // Not the first start of the whole system.
            let store = self.store.address;
            write_settings(&node.settings, index, &node.addresses, &self.seeds, store, false);
        }
        self.record.line(&format!("node {index} has ended"));
        thread::sleep(RESTART_DELAY);
        self.start_node(index);
    }

    pub fn node(&self, index: usize) -> NodeState {
        self.nodes[index].lock().expect("no panic").state
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node answers its readiness check with 200.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.node(index).readiness;
        let headers = [("Host".to_owned(), address.to_string())];
        let deadline = now() + Duration::from_millis(500);
        call(address, "GET", "/-/readyz", &headers, b"", deadline).status == 200
    }

    /// Waits until all nodes are ready.
    pub fn await_ready(&self) {
        let deadline = now() + Duration::from_secs(15);
        while !(0..self.nodes.len()).all(|index| self.is_ready(index)) {
            if now() >= deadline {
                eprintln!("the nodes are not ready");
                self.stop();
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends all processes that the site has started.
    pub fn stop(&self) {
        for process in self.servers.lock().expect("no panic").values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        for node in &self.nodes {
            if let Some(child) = &mut node.lock().expect("no panic").child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            eprintln!("logs of the nodes: {}", self.directory.display());
        }
    }
}

fn spawn_server(arguments: &server::Arguments) -> Child {
    let program = std::env::current_exe().expect("this program");
    Command::new(program)
        .arg("server")
        .args(arguments.to_words())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .map(remember)
        .expect("a server process")
}

/// Processes that were started, to be killed if this program panics.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Makes a panic end all started processes, and this one as a case that could not run.
pub fn end_processes_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        if let Ok(started) = STARTED.try_lock() {
            started.iter().for_each(|process| signal("KILL", *process));
        }
        std::process::exit(2);
    }));
}

fn remember(child: Child) -> Child {
    STARTED.lock().expect("no panic").push(child.id());
    child
}

/// Forgets a process that has ended, since its id may be given to another one.
fn forget(process: u32) {
    STARTED.lock().expect("no panic").retain(|started| *started != process);
}

/// Sends a signal to a process that this program has started.
pub fn signal(name: &str, process: u32) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(process.to_string()).status();
}

/// Writes the settings of a node, as the template of the deploy file gives them.
fn write_settings(
    path: &Path,
    index: usize,
    address: &[SocketAddr; 5],
    seeds: &[String],
    store: SocketAddr,
    is_first_start: bool,
) {
    let [callers, readiness, partners, peers, metrics] = address;
    let text = format!(
        r#"{{
  "store": "{store}",
  "node": {{
    "instance_name": "node-{index}",
    "availability_zone": "z{zone}",
    "partner_key": "partner-r1-{store}",
    "seed_partners": [{seeds}],
    "listen": {{
      "callers": "{callers}",
      "readiness": "{readiness}",
      "readiness_path": "/-/readyz",
      "partners": "{partners}",
      "peers": "{peers}",
      "metrics": "{metrics}",
      "metrics_path": "/metrics"
    }},
    "resend": {{ "ratio": 0.2, "slack": 52, "window_s": 10 }},
    "rollout_lease_ms": 3000,
    "processor_cores": 0.25,
    "first_start": {is_first_start},
    "quota": {{}}
  }}
}}
"#,
        zone = index / 2 + 1,
        seeds = seeds.join(", ")
    );
    std::fs::write(path, text).expect("a settings file");
}

/// Returns a configuration with one route for resumable streams; `tenants` is its list of tenants.
pub fn configuration(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-chat","Hostname":"{HOST}","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":300,"Priority":0,"Service":"{SERVICE}","MaxAttempts":2,"Public":false,"SessionAffinity":true,"Resumable":true,"GapAimMs":250}}],"Services":[{{"Name":"{SERVICE}","HealthCheckPath":"/healthz","MaxConnections":290,"Protocol":"h1","Tls":false,"Engine":{{"Slots":48,"KvCapacityTokens":114981,"KvTokenBytes":192512,"LinkMbps":740000.0,"Moves":true,"Backups":true,"Stride":4,"MaxInFlight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"{model}"}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{tenants}]}}"#,
        model = server::MODEL
    )
}
