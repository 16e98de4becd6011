//! Datagrams between nodes, authenticated with the partner key: short messages to any node, without
//! a link to it. They may be lost, repeated or reordered.

use super::handshake::hmac_sha256;
use crate::decision::relay::gateways::ReachAnswer;
use crate::decision::relay::quota::{QuotaAnswer, QuotaCorrection, QuotaQuery};
use crate::decision::relay::streams::{EraAnswer, OriginAnswer, OriginRecord, StreamKey};
use crate::types::{ServiceId, StoreEra, WorkspaceId};
use anyhow::{Context, ensure};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram: it fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Bytes of the authentication code, the first ones of an HMAC-SHA-256 of the message.
const CODE_BYTES: usize = 16;

/// Message in a datagram. Later builds may add kinds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Datagram {
    /// Origin of a stream, for its owners.
    Origin(OriginRecord),
    /// Asks for the origin of a stream.
    OriginQuery {
        /// Number of the query, unique at its sender.
        number: u64,
        /// Stream, `None` if only the versions of the service are asked for.
        stream: Option<StreamKey>,
        /// Service that the stream is to be resumed in.
        service: ServiceId,
    },
    /// Answer to a query.
    OriginAnswer {
        /// Number of the query.
        number: u64,
        /// Answer.
        answer: OriginAnswer,
    },
    /// Asks an owner of a quota for a grant.
    QuotaQuery {
        /// Number of the query, unique at its sender.
        number: u64,
        /// Request.
        query: QuotaQuery,
    },
    /// Answer to it.
    QuotaAnswer {
        /// Number of the query.
        number: u64,
        /// Workspace of the query.
        workspace: WorkspaceId,
        /// Units of the query.
        units: u64,
        /// Answer.
        answer: QuotaAnswer,
    },
    /// Corrects what the receiver has granted.
    QuotaCorrection(QuotaCorrection),
    /// Asks which of these services the receiver reaches.
    ReachQuery(Vec<ServiceId>),
    /// Answer to it.
    ReachAnswer(ReachAnswer),
    /// Asks of which versions the receiver may know open streams, to confirm an era of the store.
    EraQuery {
        /// Number of the query, unique at its sender.
        number: u64,
        /// Era.
        era: StoreEra,
        /// Hashes of the versions that the sender has found in the store.
        known: Vec<u64>,
    },
    /// Answer to it.
    EraAnswer {
        /// Number of the query.
        number: u64,
        /// Answer.
        answer: EraAnswer,
    },
}

impl Datagram {
    /// Encodes the message as CBOR, behind its authentication code.
    ///
    /// # Errors
    ///
    /// A message that exceeds [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, key: &str) -> anyhow::Result<Bytes> {
        let mut message = Vec::new();
        ciborium::into_writer(self, &mut message).context("step=encode")?;
        let mut bytes = authentication_code(key, &message);
        bytes.append(&mut message);
        ensure!(bytes.len() <= MAX_DATAGRAM_BYTES, "step=encode {} bytes", bytes.len());
        Ok(bytes.into())
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Bytes that no holder of the key has sent, or a message of an unknown kind.
    pub fn decode(bytes: &[u8], key: &str) -> anyhow::Result<Self> {
        let (code, message) =
            bytes.split_at_checked(CODE_BYTES).context("step=decode too short")?;
        let expected = authentication_code(key, message);
        let difference = expected.iter().zip(code).fold(0, |all, (a, b)| all | (a ^ b));
        ensure!(difference == 0, "step=authenticate invalid code");
        ciborium::from_reader(message).context("step=decode")
    }
}

fn authentication_code(key: &str, message: &[u8]) -> Vec<u8> {
    let mut code = hmac_sha256(key.as_bytes(), message);
    code.truncate(CODE_BYTES);
    code
}
