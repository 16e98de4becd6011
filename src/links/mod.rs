//! Partner links between nodes: authenticated websocket connections that carry CBOR messages.

pub mod connection;
pub mod handshake;
pub mod message;
pub mod outbox;
pub mod table;

pub use connection::{Link, LinkEnd, accept, dial};
pub use handshake::{Identity, LINK_PROTOCOL};
pub use message::{DecodedMessage, PartnerMessage};
pub use outbox::Outbox;
pub use table::{LinkTable, OpenLink, Sent};

/// Most bytes of a message, sent or received.
pub const MESSAGE_LIMIT_BYTES: usize = 1024 * 1024;
