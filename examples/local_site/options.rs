//! Command-line options of the example.

use crate::preset::SiteName;
use bpaf::Bpaf;
use std::path::PathBuf;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Runs a complete site on loopback, with traffic, and checks every answer.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
pub struct Options {
    /// Number of calls to send; defaults to 20 seconds of traffic
    #[bpaf(argument("N"))]
    pub requests: Option<usize>,
    /// Nodes to start
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub nodes: usize,
    /// Seed of the traffic
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Routing policy: round_robin, least_outstanding, prefix_hash, coriandertide, omniscient or all
    #[bpaf(argument("NAME"), fallback(PolicyChoice::Coriandertide), display_fallback)]
    pub policy: PolicyChoice,
    /// Site: conteo or ramsaran
    #[bpaf(argument("NAME"), fallback(SiteName::Conteo), display_fallback)]
    pub site: SiteName,
    /// Arrival rate as a fraction of the site's capacity
    #[bpaf(argument("SHARE"), fallback(0.5), display_fallback)]
    pub load: f64,
    /// Faults to inject, such as engine_crash or node_kill
    #[bpaf(argument("NAME"), many)]
    pub fault: Vec<Fault>,
    /// Give the nodes and engines an external KV store
    pub kv_store: bool,
    /// Bytes per second that a node may spend on polling load reports and cache events
    #[bpaf(argument("N"))]
    pub poll_bytes_per_s: Option<u32>,
    /// File to write the JSON report to
    #[bpaf(argument("FILE"))]
    pub report: Option<PathBuf>,
}

/// Routing policy to run, or all of them.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyChoice {
    /// Round robin over the servers.
    RoundRobin,
    /// The server with the fewest outstanding requests.
    LeastOutstanding,
    /// Consistent hash of the first prefix level.
    PrefixHash,
    /// The policy of the product.
    Coriandertide,
    /// Greedy choice that knows the actual caches and queues of all engines.
    Omniscient,
    /// All other policies, one after the other.
    All,
}

impl PolicyChoice {
    /// Returns the policies to run.
    pub fn policies(self) -> Vec<PolicyChoice> {
        match self {
            Self::All => vec![
                Self::RoundRobin,
                Self::LeastOutstanding,
                Self::PrefixHash,
                Self::Coriandertide,
                Self::Omniscient,
            ],
            policy => vec![policy],
        }
    }
}

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// An engine crashes and restarts with an empty cache.
    EngineCrash,
    /// A third of the cache events are lost.
    EventGaps,
    /// The popularity of the documents is reversed.
    HotShift,
    /// Load reports are two seconds older.
    LoadLag,
    /// A node drains and a new one starts.
    NodeRestart,
    /// Callers send requests that crash each engine that runs them, and retry them.
    Poison,
    /// The log refuses all calls for five seconds.
    LogOutage,
    /// A node stops abruptly and a new one starts.
    NodeKill,
    /// All threads of a node pause for three seconds.
    NodePause,
    /// The links to engines are cut between one availability zone and the others for three seconds.
    Partition,
    /// Appends to the log take effect but their answers are lost for five seconds.
    LostAppendAnswer,
    /// All nodes stop abruptly at the same time and new ones start.
    HerdRestart,
    /// An edit lowers the power budget by a quarter of what running requests may draw.
    PowerCut,
    /// The instance list shows a backend server as leaving.
    ServerLeaving,
}

impl Fault {
    /// Returns whether callers may lose their connection to a node under this fault.
    pub fn breaks_caller_connections(self) -> bool {
        matches!(self, Self::NodeKill | Self::HerdRestart)
    }
}
