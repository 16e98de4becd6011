//! Whether a failed request was run.

use strum::{Display, IntoStaticStr};

/// Whether a failed request was run; sent with each error as a body field and a header.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// No server can have started the request.
    NotRun,
    /// A server may have run the request; the outcome is unknown.
    OutcomeUnknown,
}
