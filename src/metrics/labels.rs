//! Label sets of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of what a workspace asked for.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// Workspace.
    pub workspace: String,
}

/// Labels of how a request ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabels {
    /// Workspace.
    pub workspace: String,
    /// Outcome, such as `answered`, `refused` or `failed`.
    pub outcome: String,
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
    /// Kind of peer: `engine`, `service`, `log`, `instance_list`, `kv_store` or `partner`.
    pub peer: String,
    /// Step at which the exchange failed.
    pub step: String,
}

/// Label of a log stream.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StreamLabels {
    /// Stream.
    pub stream: String,
}
