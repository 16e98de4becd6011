//! Stand-in for the platform's load balancer in front of the nodes.

use bytes::Bytes;
use coriandertide::adapters::http_client;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Pause between two rounds of readiness probes.
const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Load balancer that spreads calls evenly over the ready nodes.
#[derive(Clone, Default)]
pub struct Balancer {
    nodes: Arc<Mutex<Vec<Arc<BalancedNode>>>>,
}

/// Node behind the load balancer.
pub struct BalancedNode {
    /// Address for callers.
    pub address: SocketAddr,
    is_ready: AtomicBool,
}

impl Balancer {
    /// Adds a node, which receives calls once a probe finds it ready.
    pub fn add(&self, address: SocketAddr) {
        let node = BalancedNode { address, is_ready: AtomicBool::new(false) };
        self.lock().push(Arc::new(node));
    }

    /// Returns the ready node at `index`, modulo their number, other than `avoided` if possible.
    pub fn pick(&self, index: usize, avoided: Option<SocketAddr>) -> Option<Arc<BalancedNode>> {
        let ready: Vec<Arc<BalancedNode>> = self
            .lock()
            .iter()
            .filter(|node| node.is_ready.load(Ordering::Relaxed))
            .cloned()
            .collect();
        let others: Vec<&Arc<BalancedNode>> =
            ready.iter().filter(|node| Some(node.address) != avoided).collect();
        let candidates = if others.is_empty() { ready.iter().collect() } else { others };
        candidates.get(index.checked_rem(candidates.len())?).map(|node| Arc::clone(node))
    }

    /// Returns the number of ready nodes.
    pub fn ready_nodes(&self) -> usize {
        self.lock().iter().filter(|node| node.is_ready.load(Ordering::Relaxed)).count()
    }

    /// Probes all nodes periodically and never returns.
    pub async fn run_probes(self) {
        loop {
            let nodes = self.lock().clone();
            for node in nodes {
                let is_ready = is_ready(node.address).await;
                node.is_ready.store(is_ready, Ordering::Relaxed);
            }
            smol::Timer::after(PROBE_PERIOD).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<BalancedNode>>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = Request::get("/readyz").header("host", "site").body(Full::<Bytes>::default());
    let Ok(request) = request else { return false };
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let exchange = http_client::send(address, request, deadline).await;
    exchange.is_ok_and(|exchange| exchange.status.is_success())
}
