//! Label sets of the metrics.

use crate::types::PeerError;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of what a workspace asked for.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabels {
    /// Workspace.
    pub workspace: String,
}

/// Labels of a failed call.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct FailureLabels {
    /// Code of the failure.
    pub code: String,
    /// Whether the call was run.
    pub run: String,
}

/// Label of a reason or outcome that comes from a closed set.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReasonLabels {
    /// Reason.
    pub reason: String,
}

/// Labels of a failed exchange.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PeerLabels {
    /// Kind of peer: `engine`, `service`, `log` or `instance_list`.
    pub peer: String,
    /// Step at which the exchange failed.
    pub step: String,
}

impl PeerLabels {
    /// Returns the labels of a failed exchange with a peer of this kind.
    pub fn new(peer: &str, error: &PeerError) -> Self {
        Self { peer: peer.to_owned(), step: error.step.to_string() }
    }
}

/// Label of a lease.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LeaseLabels {
    /// Lease.
    pub lease: String,
}

/// Label of a log stream.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StreamLabels {
    /// Stream.
    pub stream: String,
}
