//! UDP socket that never blocks its sender.

use anyhow::Context;
use smol::Async;
use std::net::{SocketAddr, UdpSocket};

/// Bound UDP socket.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: Async<UdpSocket>,
    address: SocketAddr,
}

impl DatagramSocket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let bound = Async::<UdpSocket>::bind(address).and_then(|socket| {
            let address = socket.get_ref().local_addr()?;
            Ok(Self { socket, address })
        });
        bound.with_context(|| format!("step=bind socket=datagrams address={address}"))
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a datagram, which is lost if the socket's buffer is full.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Err(error) = self.socket.get_ref().send_to(bytes, to) {
            log::debug!("event=datagram_not_sent peer={to} error=\"{error}\"");
        }
    }

    /// Waits for a datagram and returns its size, cut to that of `buffer`, and its sender.
    ///
    /// # Errors
    ///
    /// The socket failed; a later datagram may still arrive.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
