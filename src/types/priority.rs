//! Priority of a request.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Priority of a request, in ascending order; higher priorities are served first and shed last.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Background work whose result nobody waits for.
    Batch,
    /// Default priority.
    #[default]
    Normal,
    /// Work for a person who waits for the answer.
    Interactive,
}
