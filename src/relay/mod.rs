//! The relay: passes requests of configured routes on to backend servers, unchanged, and their
//! answers back.
//!
//! Traffic runs on one thread and never waits for control. The control thread follows the records of
//! the site's store, exchanges them with partners, and carries out rollouts of weights.

pub mod attempt;
pub mod buffered_answer;
pub mod context;
pub mod control;
pub mod exchange;
pub mod metrics;
pub mod node;
pub mod refusal;
pub mod request;
pub mod run;
pub mod settings;
pub mod stream;
pub mod suspension_detector;

pub use context::{RelayContext, RelayPorts};
pub use node::RelayNode;
pub use settings::{RawRelaySettings, RelaySettings};
