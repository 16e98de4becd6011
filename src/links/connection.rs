//! Connections of partner links: opening, authentication, and the exchange of messages.

use super::MESSAGE_LIMIT_BYTES;
use super::handshake::{Challenge, Identity, LINK_PROTOCOL, Proof, Side, fresh_nonce};
use super::message::{DecodedMessage, PartnerMessage};
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

/// Time for opening and authenticating a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for closing a link in good order.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes of a message before the peer is authenticated.
const HANDSHAKE_LIMIT_BYTES: usize = 1_024;

/// Bytes that a frame adds to a message, with the largest length field and the mask.
pub const FRAME_OVERHEAD_BYTES: usize = 14;

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Open link to an authenticated peer.
pub struct Link {
    peer: MemberRecord,
    socket: Socket,
}

/// Message that a peer sent.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    /// Message, none if its kind is newer than this build.
    pub message: Option<PartnerMessage>,
    /// Bytes of the message with its frame.
    pub bytes: usize,
}

/// How a link ended.
#[derive(Debug)]
pub enum LinkEnd {
    /// Either side closed it in good order.
    InOrder,
    /// It broke, or the peer sent what is no message.
    Broken(anyhow::Error),
}

/// Opens a link to the node at `address`.
pub async fn dial(address: SocketAddr, identity: &Identity) -> PeerResult<Link> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let opened = timeout_at(deadline, open(address, identity)).await;
    link_result(address.to_smolstr(), Step::Connect, opened.map_err(Into::into).flatten())
}

/// Accepts a link on an accepted connection; a peer that does not authenticate itself gets a
/// challenge and nothing else.
pub async fn accept(stream: TcpStream, identity: &Identity) -> PeerResult<Link> {
    let peer = stream.peer_addr().map_or_else(|_| SmolStr::default(), |peer| peer.to_smolstr());
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let opened = timeout_at(deadline, admit(stream, identity)).await;
    link_result(peer, Step::ReadHead, opened.map_err(Into::into).flatten())
}

fn link_result(peer: SmolStr, step: Step, result: anyhow::Result<Link>) -> PeerResult<Link> {
    result.map_err(|error| PeerError::new(step, peer, Delivery::NotSent, error))
}

async fn open(address: SocketAddr, identity: &Identity) -> anyhow::Result<Link> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/partner");
    let (mut socket, _response) =
        tokio_tungstenite::client_async_with_config(url, stream.compat(), Some(config())).await?;
    let challenge: Challenge = receive(&mut socket).await?;
    ensure!(challenge.protocol == LINK_PROTOCOL, "protocol {}", challenge.protocol);
    let nonce = fresh_nonce()?;
    send(&mut socket, &Proof::new(identity, Side::Dialer, &challenge, nonce)).await?;
    let proof: Proof = receive(&mut socket).await?;
    ensure!(proof.nonce == nonce, "the nonce differs");
    proof.check(&identity.key, Side::Listener, &challenge)?;
    Ok(Link { peer: proof.member, socket })
}

async fn admit(stream: TcpStream, identity: &Identity) -> anyhow::Result<Link> {
    stream.set_nodelay(true)?;
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream.compat(), Some(config())).await?;
    let challenge = Challenge::new()?;
    send(&mut socket, &challenge).await?;
    let proof: Proof = receive(&mut socket).await?;
    proof.check(&identity.key, Side::Dialer, &challenge)?;
    send(&mut socket, &Proof::new(identity, Side::Listener, &challenge, proof.nonce)).await?;
    Ok(Link { peer: proof.member, socket })
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(8 * 1024)
        .write_buffer_size(0)
        .max_message_size(Some(MESSAGE_LIMIT_BYTES))
        .max_frame_size(Some(MESSAGE_LIMIT_BYTES))
}

async fn send(socket: &mut Socket, message: &impl Serialize) -> anyhow::Result<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    socket.send(Message::Binary(bytes.into())).await?;
    Ok(())
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> anyhow::Result<T> {
    match socket.next().await.context("closed")?? {
        Message::Binary(bytes) if bytes.len() <= HANDSHAKE_LIMIT_BYTES => {
            Ok(ciborium::from_reader(bytes.as_ref())?)
        }
        _ => bail!("not a handshake message"),
    }
}

impl Link {
    /// Record of the peer.
    pub fn peer(&self) -> &MemberRecord {
        &self.peer
    }

    /// Exchanges messages until either side closes the link; closing `outgoing` closes it in good
    /// order.
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
            LinkEnd::InOrder
        };
        let read = async {
            loop {
                match read_message(stream.next().await) {
                    Ok(Some(message)) => {
                        if incoming.send(message).await.is_err() {
                            return LinkEnd::InOrder;
                        }
                    }
                    Ok(None) => return LinkEnd::InOrder,
                    Err(error) => return LinkEnd::Broken(error),
                }
            }
        };
        write.or(read).await
    }
}

/// Returns the message, or none at the end of a link that was closed in good order.
fn read_message(
    received: Option<Result<Message, Error>>,
) -> anyhow::Result<Option<ReceivedMessage>> {
    let bytes = match received {
        Some(Ok(Message::Binary(bytes))) => bytes,
        None | Some(Ok(Message::Close(_)) | Err(Error::ConnectionClosed)) => return Ok(None),
        Some(Ok(_)) => bail!("not a binary message"),
        Some(Err(error)) => return Err(error.into()),
    };
    let message = match PartnerMessage::decode(&bytes)? {
        DecodedMessage::Known(message) => Some(message),
        DecodedMessage::Newer => None,
    };
    Ok(Some(ReceivedMessage { message, bytes: bytes.len() + FRAME_OVERHEAD_BYTES }))
}
