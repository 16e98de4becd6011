//! Node daemon: builds a node from its settings and runs its threads.

pub mod node;
pub mod run;
pub mod threads;

pub use node::Node;
pub use run::{run, settings_or_exit_code};
