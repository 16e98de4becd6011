//! Mutual authentication with a shared key. Each side sends a keyed hash over fresh nonces of both
//! sides, so that a recorded handshake cannot be replayed.

use crate::decision::membership::{MemberRecord, MemberStatus};
use crate::types::{AvailabilityZone, InstanceId};
use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Version of the link protocol.
pub const LINK_PROTOCOL_VERSION: u32 = 1;

/// Block size of SHA-256.
const BLOCK_BYTES: usize = 64;

/// Size of a nonce.
const NONCE_BYTES: usize = 16;

/// Identity that a node proves when a link opens.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Key shared by all partners.
    pub key: SmolStr,
    /// Record of the node.
    pub record: MemberRecord,
}

impl Identity {
    /// Returns the identity of a node that starts now and listens for partners on `address`.
    pub fn new(
        key: SmolStr,
        instance: InstanceId,
        address: SocketAddr,
        availability_zone: AvailabilityZone,
    ) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let record = MemberRecord {
            instance,
            address,
            availability_zone,
            started_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            version: 0,
            status: MemberStatus::Alive,
            processor_percent: 0,
            peer_address: None,
            is_stopping: false,
        };
        Self { key, record }
    }
}

/// First message of the handshake, from the listener.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Challenge {
    /// Version of the link protocol.
    pub protocol: u32,
    /// Nonce of the listener.
    pub nonce: u128,
}

/// Second and third message of the handshake, from the dialer and then from the listener.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Proof {
    /// Nonce of the dialer.
    pub nonce: u128,
    /// Record of the sender.
    pub member: MemberRecord,
    /// HMAC-SHA-256 over side, protocol version, both nonces and record.
    pub hash: Vec<u8>,
}

/// Side of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted it.
    Listener,
}

impl Challenge {
    /// Returns a challenge with a fresh nonce.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self { protocol: LINK_PROTOCOL_VERSION, nonce: fresh_nonce()? })
    }
}

impl Proof {
    /// Returns the proof of `identity`, which is on `side` of the link.
    pub fn new(identity: &Identity, side: Side, challenge: &Challenge, nonce: u128) -> Self {
        let member = identity.record.clone();
        let hash = proof_hash(&identity.key, side, challenge, nonce, &member);
        Self { nonce, member, hash }
    }

    /// Verifies the proof of a peer on `side` of the link, in constant time.
    pub fn verify(&self, key: &str, side: Side, challenge: &Challenge) -> anyhow::Result<()> {
        let expected = proof_hash(key, side, challenge, self.nonce, &self.member);
        let difference = expected.iter().zip(&self.hash).fold(0, |all, (a, b)| all | (a ^ b));
        ensure!(self.hash.len() == expected.len() && difference == 0, "invalid proof");
        Ok(())
    }
}

/// Returns a nonce from the operating system's random source.
pub fn fresh_nonce() -> anyhow::Result<u128> {
    let mut bytes = [0; NONCE_BYTES];
    getrandom::fill(&mut bytes).context("random source of the operating system failed")?;
    Ok(u128::from_le_bytes(bytes))
}

fn proof_hash(
    key: &str,
    side: Side,
    challenge: &Challenge,
    nonce: u128,
    member: &MemberRecord,
) -> Vec<u8> {
    let mut message = vec![match side {
        Side::Dialer => b'd',
        Side::Listener => b'l',
    }];
    message.extend(challenge.protocol.to_le_bytes());
    message.extend(challenge.nonce.to_le_bytes());
    message.extend(nonce.to_le_bytes());
    // Earlier builds leave these fields out of the proof.
    let member = MemberRecord {
        processor_percent: 0,
        peer_address: None,
        is_stopping: false,
        ..member.clone()
    };
    ciborium::into_writer(&member, &mut message).expect("writing to a Vec cannot fail");
    hmac_sha256(key.as_bytes(), &message)
}

/// Returns the HMAC (RFC 2104) of `message` with SHA-256.
pub fn hmac_sha256(key: &[u8], message: &[u8]) -> Vec<u8> {
    let mut block = [0u8; BLOCK_BYTES];
    if key.len() > BLOCK_BYTES {
        let digest = Sha256::digest(key);
        block[..digest.len()].copy_from_slice(&digest);
    } else {
        block[..key.len()].copy_from_slice(key);
    }
    let inner = Sha256::new().chain_update(block.map(|byte| byte ^ 0x36)).chain_update(message);
    let outer = Sha256::new().chain_update(block.map(|byte| byte ^ 0x5c));
    outer.chain_update(inner.finalize()).finalize().to_vec()
}
