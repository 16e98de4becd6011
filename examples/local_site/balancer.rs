//! Stand-in of the platform's balancer before the nodes.

use bytes::Bytes;
use coriandertide::adapters::http_client;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time between two probes of a node.
const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// Time that a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Balancer that spreads calls evenly over the ready nodes.
#[derive(Clone, Default)]
pub struct Balancer {
    entries: Arc<Mutex<Vec<Arc<Entry>>>>,
}

/// Node behind the balancer.
pub struct Entry {
    /// Callers' address.
    pub address: SocketAddr,
    is_ready: AtomicBool,
}

impl Balancer {
    /// Adds a node, which gets calls once it is ready.
    pub fn add(&self, address: SocketAddr) {
        let entry = Entry { address, is_ready: AtomicBool::new(false) };
        self.lock().push(Arc::new(entry));
    }

    /// Returns a ready node by `turn`, avoiding `avoided` if there is another.
    pub fn pick(&self, turn: usize, avoided: Option<SocketAddr>) -> Option<Arc<Entry>> {
        let ready: Vec<Arc<Entry>> = self
            .lock()
            .iter()
            .filter(|entry| entry.is_ready.load(Ordering::Relaxed))
            .cloned()
            .collect();
        let others: Vec<&Arc<Entry>> =
            ready.iter().filter(|entry| Some(entry.address) != avoided).collect();
        let choice = if others.is_empty() { ready.iter().collect() } else { others };
        choice.get(turn.checked_rem(choice.len())?).map(|entry| Arc::clone(entry))
    }

    /// Returns the number of ready nodes.
    pub fn ready_nodes(&self) -> usize {
        self.lock().iter().filter(|entry| entry.is_ready.load(Ordering::Relaxed)).count()
    }

    /// Probes all nodes periodically, without end.
    pub async fn probe(self) {
        loop {
            let entries = self.lock().clone();
            for entry in entries {
                let is_ready = is_ready(entry.address).await;
                entry.is_ready.store(is_ready, Ordering::Relaxed);
            }
            smol::Timer::after(PROBE_PERIOD).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Entry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = Request::get("/readyz").header("host", "site").body(Full::<Bytes>::default());
    let Ok(request) = request else { return false };
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let exchange = http_client::send(address, request, deadline).await;
    exchange.is_ok_and(|exchange| exchange.status.is_success())
}
