//! Framing of HTTP/1.1 response bodies.

use http::{HeaderMap, header};
use strum::{Display, IntoStaticStr};

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// By the length in its head.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, which a peer that crashes closes as well.
    ConnectionClose,
}

impl Framing {
    /// Returns the framing that the headers of a response declare.
    pub fn of(headers: &HeaderMap) -> Self {
        if let Some(coding) = headers.get_all(header::TRANSFER_ENCODING).iter().next_back() {
            let is_chunked = coding.as_bytes().to_ascii_lowercase().ends_with(b"chunked");
            return if is_chunked { Self::Chunked } else { Self::ConnectionClose };
        }
        if headers.contains_key(header::CONTENT_LENGTH) {
            return Self::Length;
        }
        Self::ConnectionClose
    }

    /// Whether a body that ended as this framing tells is complete.
    pub fn proves_completeness(self) -> bool {
        match self {
            Self::Length | Self::Chunked => true,
            Self::ConnectionClose => false,
        }
    }
}
