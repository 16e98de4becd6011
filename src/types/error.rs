//! Error of an exchange with a peer, with the failed step and whether the peer may have acted.

use smol_str::SmolStr;
use std::fmt;
use strum::{Display, IntoStaticStr};

/// Error for a deadline that passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlinePassed;

impl fmt::Display for DeadlinePassed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("deadline passed")
    }
}

impl std::error::Error for DeadlinePassed {}

/// Error for bytes for which the node has no memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

impl fmt::Display for NoRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no memory for more")
    }
}

impl std::error::Error for NoRoom {}

/// Result of an exchange with a peer.
pub type PeerResult<T> = Result<T, PeerError>;

/// Step of an exchange with a peer.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Sending the request.
    Send,
    /// Waiting for the head of the response.
    ReadHead,
    /// Reading the body or the stream.
    ReadBody,
    /// Decoding the response.
    Decode,
    /// The peer refused the request.
    Refused,
}

/// Whether a failed request may have reached the peer.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Delivery {
    /// No byte of the request can have reached the peer.
    NotSent,
    /// The peer may have acted on the request.
    Unknown,
    /// The peer refused the request and stated that it did not act on it.
    Refused,
}

/// Error of an exchange with a peer.
#[derive(Debug)]
pub struct PeerError {
    /// Step that failed.
    pub step: Step,
    /// Address or name of the peer.
    pub peer: SmolStr,
    /// Whether the request may have reached the peer.
    pub delivery: Delivery,
    /// Underlying error.
    pub source: anyhow::Error,
}

impl PeerError {
    /// Returns an error at `step` with `peer`.
    pub fn new(
        step: Step,
        peer: impl Into<SmolStr>,
        delivery: Delivery,
        source: impl Into<anyhow::Error>,
    ) -> Self {
        Self { step, peer: peer.into(), delivery, source: source.into() }
    }

    /// Whether reading the response failed before the deadline, usually because the connection was
    /// lost.
    pub fn is_disconnect(&self) -> bool {
        let is_own_end = self.source.is::<DeadlinePassed>() || self.source.is::<NoRoom>();
        matches!(self.step, Step::ReadHead | Step::ReadBody) && !is_own_end
    }

    /// Whether the connection was refused because nothing listens at the peer's address.
    pub fn is_connection_refused(&self) -> bool {
        let error = self.source.downcast_ref::<std::io::Error>();
        error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, peer, delivery, source } = self;
        write!(f, "step={step} peer={peer} delivery={delivery} error=\"{source:#}\"")
    }
}

impl std::error::Error for PeerError {}
