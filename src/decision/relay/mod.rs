//! Decisions of the relay: which route a request takes, which server gets it, when it is refused or
//! sent again, and how servers are brought to new weights.
//!
//! Everything here is deterministic: no sockets, no clock and no random source of its own.

pub mod admission;
pub mod choose;
pub mod configuration;
mod engine_choice;
pub mod event_splitter;
pub mod fleet;
pub mod health;
pub mod heard_notices;
pub mod kept_prefixes;
pub mod load_exchange;
pub mod long_tokens;
pub mod prompt;
pub mod record_watch;
pub mod register_lease;
pub mod replica;
pub mod resend;
pub mod rollout;
pub mod rollout_messages;
pub mod server;
pub mod store_link;

pub use admission::AdmissionRequest;
pub use choose::{Choice, Unavailable, UnavailableReason, Wanted};
pub use configuration::{Configuration, Repetition, Route, Service};
pub use event_splitter::EventSplitter;
pub use fleet::Fleet;
pub use load_exchange::LoadExchange;
pub use prompt::{Prompt, PromptPart};
pub use record_watch::{NextRead, RecordWatch};
pub use register_lease::RegisterLease;
pub use replica::{KeyedRecord, RecordTopic, Replica};
pub use resend::ResendBudget;
pub use rollout::Rollout;
pub use server::{ServerEntry, ServerState};
pub use store_link::StoreLink;
