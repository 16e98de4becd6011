//! Label sets of the metrics.

use crate::types::PeerError;
use prometheus_client::encoding::EncodeLabelSet;

/// Label of a metric per workspace.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabels {
    /// Name of the workspace.
    pub workspace: String,
}

/// Labels of a failed call.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct FailureLabels {
    /// Error code.
    pub code: String,
    /// Run state: `not_run` or `outcome_unknown`.
    pub run: String,
}

/// Label of a reason or outcome from a fixed set.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReasonLabels {
    /// Reason or outcome.
    pub reason: String,
}

/// Labels of a failed exchange with a peer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PeerLabels {
    /// Kind of peer: `engine`, `service`, `log` or `instance_list`.
    pub peer: String,
    /// Step at which the exchange failed.
    pub step: String,
}

impl PeerLabels {
    /// Returns the labels of `error`; `peer` is the kind of peer.
    pub fn new(peer: &str, error: &PeerError) -> Self {
        Self { peer: peer.to_owned(), step: error.step.to_string() }
    }
}

/// Label of a kind of message between nodes.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LinkLabels {
    /// Kind of message.
    pub kind: String,
}

/// Label of a lease.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LeaseLabels {
    /// Kind of the lease.
    pub lease: String,
}

/// Label of a log stream.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StreamLabels {
    /// Name of the stream.
    pub stream: String,
}
