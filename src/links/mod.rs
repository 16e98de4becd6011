//! Partner links between nodes: authenticated WebSocket connections that carry CBOR messages.

pub mod connection;
pub mod datagram;
pub mod handshake;
pub mod message;
pub mod node_connection;
pub mod outbox;
pub mod table;

pub use connection::{Link, LinkEnd, accept, accept_unproven, dial};
pub use datagram::Datagram;
pub use handshake::{Identity, LINK_PROTOCOL_VERSION};
pub use message::{DecodedMessage, PartnerMessage};
pub use outbox::Outbox;
pub use table::{LinkHandle, LinkTable, SendOutcome};

/// Maximum size of a handshake message; the peer is not authenticated yet.
const MAX_HANDSHAKE_MESSAGE_BYTES: usize = 1_024;

/// Maximum connections of a listener whose peers have not proved their key.
pub const MAX_UNPROVEN_CONNECTIONS: usize = 32;

/// Maximum size of a message, sent or received, without its frame.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
