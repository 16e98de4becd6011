//! Connections of partner links: opening, authentication and exchange of messages.

use super::handshake::{Challenge, Identity, LINK_PROTOCOL_VERSION, Proof, Side, fresh_nonce};
use super::message::{DecodedMessage, PartnerMessage};
use super::{MAX_HANDSHAKE_MESSAGE_BYTES, MAX_MESSAGE_BYTES};
use crate::adapters::caller_memory::ConnectionSlot;
use crate::adapters::deadline::timeout_at;
use crate::decision::membership::MemberRecord;
use crate::types::{Delivery, PeerError, PeerResult, Step};
use anyhow::{Context, bail, ensure};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use smol_str::{SmolStr, ToSmolStr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Maximum duration of opening and authenticating a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum duration of the closing handshake of a link.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum bytes that a WebSocket frame adds to a message: header, longest length field and mask.
pub const MAX_FRAME_OVERHEAD_BYTES: usize = 14;

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Open link to an authenticated peer.
pub struct Link {
    peer: MemberRecord,
    socket: Socket,
}

/// Message received from a peer.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    /// Message, `None` if this build does not know its kind.
    pub message: Option<PartnerMessage>,
    /// Size of the message, with the maximum overhead of its frame.
    pub bytes: usize,
}

/// How a link ended.
#[derive(Debug)]
pub enum LinkEnd {
    /// Either side closed it gracefully.
    Closed,
    /// The connection failed, or the peer sent a malformed message.
    Broken(anyhow::Error),
}

/// Opens a link to the node at `address`.
pub async fn dial(address: SocketAddr, identity: &Identity) -> PeerResult<Link> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let opened = timeout_at(deadline, dial_link(address, identity)).await;
    link_result(address.to_smolstr(), Step::Connect, opened.map_err(Into::into).flatten())
}

/// Accepts a link on a TCP connection. A peer that does not authenticate itself receives nothing but
/// a challenge.
pub async fn accept(stream: TcpStream, identity: &Identity) -> PeerResult<Link> {
    let peer = stream.peer_addr().map_or_else(|_| SmolStr::default(), |peer| peer.to_smolstr());
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let opened = timeout_at(deadline, accept_link(stream, identity)).await;
    link_result(peer, Step::ReadHead, opened.map_err(Into::into).flatten())
}

/// Accepts a link on a TCP connection that has `slot` until its peer has proved its key. Logs why there is
/// no link.
pub async fn accept_unproven(
    stream: TcpStream,
    slot: ConnectionSlot,
    identity: &Identity,
) -> Option<Link> {
    match slot.unless_given_up(accept(stream, identity)).await {
        Some(Ok(link)) => Some(link),
        Some(Err(error)) => {
            log::warn!("event=link_refused {error}");
            None
        }
        None => {
            log::debug!("event=link_refused reason=too_many_handshakes");
            None
        }
    }
}

fn link_result(peer: SmolStr, step: Step, result: anyhow::Result<Link>) -> PeerResult<Link> {
    result.map_err(|error| PeerError::new(step, peer, Delivery::NotSent, error))
}

async fn dial_link(address: SocketAddr, identity: &Identity) -> anyhow::Result<Link> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/partner");
    let (mut socket, _response) =
        tokio_tungstenite::client_async_with_config(url, stream.compat(), Some(config())).await?;
    let challenge: Challenge = receive(&mut socket).await?;
    ensure!(
        challenge.protocol == LINK_PROTOCOL_VERSION,
        "unsupported protocol version {}",
        challenge.protocol
    );
    let nonce = fresh_nonce()?;
    send(&mut socket, &Proof::new(identity, Side::Dialer, &challenge, nonce)).await?;
    let proof: Proof = receive(&mut socket).await?;
    ensure!(proof.nonce == nonce, "the peer answered with another nonce");
    proof.verify(&identity.key, Side::Listener, &challenge)?;
    Ok(Link { peer: proof.member, socket })
}

async fn accept_link(stream: TcpStream, identity: &Identity) -> anyhow::Result<Link> {
    stream.set_nodelay(true)?;
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream.compat(), Some(config())).await?;
    let challenge = Challenge::new()?;
    send(&mut socket, &challenge).await?;
    let proof: Proof = receive(&mut socket).await?;
    proof.verify(&identity.key, Side::Dialer, &challenge)?;
    send(&mut socket, &Proof::new(identity, Side::Listener, &challenge, proof.nonce)).await?;
    Ok(Link { peer: proof.member, socket })
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(8 * 1024)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

async fn send(socket: &mut Socket, message: &impl Serialize) -> anyhow::Result<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    socket.send(Message::Binary(bytes.into())).await?;
    Ok(())
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> anyhow::Result<T> {
    match socket.next().await.context("closed")?? {
        Message::Binary(bytes) if bytes.len() <= MAX_HANDSHAKE_MESSAGE_BYTES => {
            Ok(ciborium::from_reader(bytes.as_ref())?)
        }
        _ => bail!("not a handshake message"),
    }
}

impl Link {
    /// Returns the record of the peer.
    pub fn peer(&self) -> &MemberRecord {
        &self.peer
    }

    /// Exchanges messages until either side closes the link or it fails. Once `outgoing` is closed
    /// and empty, the link is closed gracefully.
    pub async fn run(
        self,
        outgoing: Receiver<Bytes>,
        incoming: Sender<ReceivedMessage>,
    ) -> LinkEnd {
        let (mut sink, mut stream) = self.socket.split();
        let write = async {
            while let Ok(bytes) = outgoing.recv().await {
                if let Err(error) = sink.send(Message::Binary(bytes)).await {
                    return LinkEnd::Broken(error.into());
                }
            }
            let deadline = Instant::now() + CLOSE_TIMEOUT;
            let _closed = timeout_at(deadline, sink.close()).await;
            LinkEnd::Closed
        };
        let read = async {
            loop {
                match read_message(stream.next().await) {
                    Ok(Some(message)) => {
                        if incoming.send(message).await.is_err() {
                            return LinkEnd::Closed;
                        }
                    }
                    Ok(None) => return LinkEnd::Closed,
                    Err(error) => return LinkEnd::Broken(error),
                }
            }
        };
        write.or(read).await
    }
}

/// Decodes a received message; returns `None` if the peer closed the link gracefully.
fn read_message(
    received: Option<Result<Message, Error>>,
) -> anyhow::Result<Option<ReceivedMessage>> {
    let bytes = match received {
        Some(Ok(Message::Binary(bytes))) => bytes,
        None | Some(Ok(Message::Close(_)) | Err(Error::ConnectionClosed)) => return Ok(None),
        Some(Ok(_)) => bail!("not a binary WebSocket message"),
        Some(Err(error)) => return Err(error.into()),
    };
    let message = match PartnerMessage::decode(&bytes)? {
        DecodedMessage::Known(message) => Some(message),
        DecodedMessage::UnknownKind => None,
    };
    Ok(Some(ReceivedMessage { message, bytes: bytes.len() + MAX_FRAME_OVERHEAD_BYTES }))
}
