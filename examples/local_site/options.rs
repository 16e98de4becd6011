//! Command line of the example.

use crate::preset::SiteName;
use bpaf::Bpaf;
use std::path::PathBuf;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Runs a whole site on loopback, with traffic, and checks every answer.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
pub struct Options {
    /// Arrivals to send; by default those of 20 seconds
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
    /// Arrival rate as a share of the site's capacity
    #[bpaf(argument("SHARE"), fallback(0.5), display_fallback)]
    pub load: f64,
    /// Faults to inject, such as engine_crash or node_kill
    #[bpaf(argument("NAME"), many)]
    pub fault: Vec<Fault>,
    /// Give the nodes the store of kept KV cache
    pub kv_store: bool,
    /// Bytes a second that a node may spend on load reports and cache events
    #[bpaf(argument("N"))]
    pub poll_bytes_per_s: Option<u32>,
    /// File for the report in JSON
    #[bpaf(argument("FILE"))]
    pub report: Option<PathBuf>,
}

/// Policies that can be asked for.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyChoice {
    /// Servers in turn.
    RoundRobin,
    /// Fewest requests under way.
    LeastOutstanding,
    /// Consistent hash of the first level.
    PrefixHash,
    /// The product's policy.
    Coriandertide,
    /// Greedy choice with the true caches and queues.
    Omniscient,
    /// Each of the others in turn.
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
            one => vec![one],
        }
    }
}

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// An engine crashes and comes back empty.
    EngineCrash,
    /// A third of the cache events is lost.
    EventGaps,
    /// Other documents become the popular ones.
    HotShift,
    /// Load reports lag by two more seconds.
    LoadLag,
    /// A node drains and a new one starts.
    NodeRestart,
    /// Requests that crash each engine that runs them, sent again by their caller.
    Poison,
    /// The log answers nothing for five seconds.
    LogOutage,
    /// A node stops abruptly and a new one starts.
    NodeKill,
    /// All threads of a node stand still for three seconds.
    NodePause,
    /// The engines of an availability zone cannot be reached from the others for three seconds.
    Partition,
    /// Appends take effect but their answers are lost for five seconds.
    LostAppendAnswer,
    /// All nodes stop abruptly at once and new ones start.
    HerdRestart,
    /// The document lowers the power budget by a quarter of the draw of work.
    PowerCut,
    /// A backend server is listed as leaving.
    ServerLeaving,
}

impl Fault {
    /// Returns whether callers may lose their connection to a node through this fault.
    pub fn cuts_callers(self) -> bool {
        matches!(self, Self::NodeKill | Self::HerdRestart)
    }
}
