//! Decisions of the relay: routing, server choice, admission, resends and weight rollouts.
//!
//! Everything here is deterministic: no sockets, no clock and no random source.

pub mod admission;
pub mod choose;
pub mod configuration;
pub mod decode_rate;
pub mod departures;
mod engine_choice;
pub mod event_position;
pub mod event_splitter;
pub mod failover;
pub mod fleet;
pub mod health;
pub mod limit_messages;
mod load_changes;
pub mod load_exchange;
pub mod pause;
pub mod prefill_rate;
pub mod prefix_index;
pub mod prompt;
pub mod read_schedule;
pub mod received_notices;
pub mod record_requests;
pub mod register_lease;
pub mod replica;
pub mod resend;
pub mod rollout;
pub mod rollout_messages;
pub mod server;
pub mod server_limit;
pub mod server_load;
pub mod store_link;
pub mod stream_origins;

pub use admission::AdmissionRequest;
pub use choose::{Choice, ServerQuery, Unavailable, UnavailableReason};
pub use configuration::{Configuration, RetrySafety, Route, Service};
pub use event_position::EventPosition;
pub use event_splitter::EventSplitter;
pub use failover::{Failover, FailoverStep, GiveUpReason, NotTriedReason};
pub use fleet::Fleet;
pub use limit_messages::{LimitAnnouncement, LimitNotice, NamedLimit, RequestRate};
pub use load_exchange::LoadExchange;
pub use prefill_rate::PrefillRate;
pub use prompt::{Prompt, PromptPart};
pub use read_schedule::{NextRead, ReadSchedule};
pub use record_requests::RecordRequests;
pub use register_lease::RegisterLease;
pub use replica::{KeyedRecord, RecordTopic, Replica};
pub use resend::ResendBudget;
pub use rollout::Rollout;
pub use server::{ServerEntry, ServerState};
pub use server_limit::ServerLimits;
pub use store_link::StoreLink;
pub use stream_origins::StreamOrigins;
