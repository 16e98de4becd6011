//! Whether a request that got no answer was run.

use strum::{Display, IntoStaticStr};

/// Whether a request was run; sent with each error as a field and a header.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// No attempt can have started.
    NotRun,
    /// An attempt may have run; its outcome is unknown.
    OutcomeUnknown,
}
