//! Datagrams to and from other nodes.

use super::reach;
use crate::adapters::datagram_socket::DatagramSocket;
use crate::decision::relay::streams::origins::OriginAnswer;
use crate::links::Datagram;
use crate::links::datagram::MAX_DATAGRAM_BYTES;
use crate::relay::RelayContext;
use async_channel::{Receiver, Sender};
use smol::Timer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Delay after the socket failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answer of the node at an address.
pub type ReceivedOrigin = (SocketAddr, OriginAnswer);

/// Socket of queries between nodes, and the queries that wait for answers.
#[derive(Debug)]
pub struct PeerQueries {
    socket: DatagramSocket,
    waiting: Mutex<HashMap<u64, Sender<ReceivedOrigin>>>,
}

/// Query that is forgotten when dropped.
pub struct WaitingQuery<'a> {
    queries: &'a PeerQueries,
    /// Number of the query.
    pub number: u64,
    /// Answers, in the order of their arrival.
    pub answers: Receiver<ReceivedOrigin>,
}

impl Drop for WaitingQuery<'_> {
    fn drop(&mut self) {
        self.queries.waiting().remove(&self.number);
    }
}

impl PeerQueries {
    /// Returns the state of a node without queries.
    pub fn new(socket: DatagramSocket) -> Self {
        Self { socket, waiting: Mutex::default() }
    }

    /// Returns the address at which this node takes datagrams, and requests of other nodes.
    pub fn address(&self) -> SocketAddr {
        self.socket.address()
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, Sender<ReceivedOrigin>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Begins a query that at most `nodes` nodes answer.
pub fn begin_query(context: &RelayContext, nodes: usize) -> WaitingQuery<'_> {
    let number = context.next_number.fetch_add(1, Ordering::Relaxed);
    let (sender, answers) = async_channel::bounded(nodes.max(1));
    context.peer_queries.waiting().insert(number, sender);
    WaitingQuery { queries: &context.peer_queries, number, answers }
}

/// Sends a datagram to several nodes; it may be lost.
pub fn send(context: &RelayContext, datagram: &Datagram, nodes: &[SocketAddr]) {
    match datagram.encode(&context.settings.partner_key) {
        Ok(bytes) => {
            nodes.iter().for_each(|node| context.peer_queries.socket.send(&bytes, *node));
        }
        Err(error) => log::warn!("event=datagram_not_sent error=\"{error:#}\""),
    }
}

/// Receives the datagrams of other nodes until the executor is dropped.
pub async fn receive_datagrams(context: Arc<RelayContext>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, sender) = match context.peer_queries.socket.receive(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=datagram_not_received error=\"{error}\"");
                Timer::after(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..len], &context.settings.partner_key) {
            Ok(datagram) => handle_datagram(&context, sender, datagram),
            Err(error) => log::debug!("event=datagram_ignored peer={sender} error=\"{error:#}\""),
        }
    }
}

fn handle_datagram(context: &RelayContext, sender: SocketAddr, datagram: Datagram) {
    let now = Instant::now();
    match datagram {
        Datagram::Origin(record) => context.origins().receive(record, now),
        Datagram::OriginQuery { number, stream, service } => {
            let answer = context.origins().answer(stream, &service, now);
            send(context, &Datagram::OriginAnswer { number, answer }, &[sender]);
        }
        Datagram::OriginAnswer { number, answer } => {
            let waiting = context.peer_queries.waiting().get(&number).cloned();
            if waiting.is_none_or(|waiting| waiting.try_send((sender, answer)).is_err()) {
                log::debug!("event=datagram_ignored peer={sender} reason=query_ended");
            }
        }
        Datagram::ReachQuery(services) => {
            let answer = reach::answer(context, services, now);
            send(context, &Datagram::ReachAnswer(answer), &[sender]);
        }
        Datagram::ReachAnswer(answer) => reach::record_answer(context, sender, answer, now),
    }
}
