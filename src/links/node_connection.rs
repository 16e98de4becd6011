//! Authentication of plain connections between nodes, with the handshake of partner links. After it
//! the connection carries HTTP.

use super::MAX_HANDSHAKE_MESSAGE_BYTES;
use super::handshake::{Challenge, Identity, LINK_PROTOCOL_VERSION, Proof, Side, fresh_nonce};
use anyhow::ensure;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

/// Authenticates this node and its peer on a connection that this node has opened.
///
/// # Errors
///
/// The connection failed, or the peer does not hold the key.
pub async fn authenticate_dialer(
    stream: &mut TcpStream,
    identity: &Identity,
) -> anyhow::Result<()> {
    let challenge: Challenge = receive(stream).await?;
    ensure!(
        challenge.protocol == LINK_PROTOCOL_VERSION,
        "unsupported protocol version {}",
        challenge.protocol
    );
    let nonce = fresh_nonce()?;
    send(stream, &Proof::new(identity, Side::Dialer, &challenge, nonce)).await?;
    let proof: Proof = receive(stream).await?;
    ensure!(proof.nonce == nonce, "the peer answered with another nonce");
    proof.verify(&identity.key, Side::Listener, &challenge)
}

/// Authenticates the peer of a connection that this node has accepted, and then this node.
///
/// # Errors
///
/// The connection failed, or the peer does not hold the key.
pub async fn authenticate_listener(
    stream: &mut TcpStream,
    identity: &Identity,
) -> anyhow::Result<()> {
    let challenge = Challenge::new()?;
    send(stream, &challenge).await?;
    let proof: Proof = receive(stream).await?;
    proof.verify(&identity.key, Side::Dialer, &challenge)?;
    send(stream, &Proof::new(identity, Side::Listener, &challenge, proof.nonce)).await
}

async fn send(stream: &mut TcpStream, message: &impl Serialize) -> anyhow::Result<()> {
    let mut encoded = Vec::new();
    ciborium::into_writer(message, &mut encoded)?;
    let mut frame = u16::try_from(encoded.len())?.to_be_bytes().to_vec();
    frame.append(&mut encoded);
    stream.write_all(&frame).await?;
    Ok(())
}

async fn receive<T: DeserializeOwned>(stream: &mut TcpStream) -> anyhow::Result<T> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).await?;
    let length = usize::from(u16::from_be_bytes(length));
    ensure!(length <= MAX_HANDSHAKE_MESSAGE_BYTES, "not a handshake message");
    let mut encoded = vec![0; length];
    stream.read_exact(&mut encoded).await?;
    Ok(ciborium::from_reader(encoded.as_slice())?)
}
