//! Datagrams to and from other nodes.

use super::reach;
use crate::adapters::datagram_socket::DatagramSocket;
use crate::daemon::threads::catch_panic;
use crate::decision::relay::quota::{QuotaAnswer, QuotaQuery};
use crate::decision::relay::streams::{EraAnswer, OriginAnswer};
use crate::links::Datagram;
use crate::links::datagram::MAX_DATAGRAM_BYTES;
use crate::relay::control::RelayControlEvent;
use crate::relay::{RelayContext, quota};
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
pub type Received<T> = (SocketAddr, T);

/// Queries of one kind that wait for answers, by number.
#[derive(Debug)]
pub struct WaitingQueries<T>(Mutex<HashMap<u64, Sender<Received<T>>>>);

impl<T> Default for WaitingQueries<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> WaitingQueries<T> {
    /// Begins a query that at most `nodes` nodes answer.
    pub fn begin(&self, number: u64, nodes: usize) -> WaitingQuery<'_, T> {
        let (sender, answers) = async_channel::bounded(nodes.max(1));
        self.lock().insert(number, sender);
        WaitingQuery { queries: self, number, answers }
    }

    /// Hands an answer to its query; returns it if the query has ended.
    fn deliver(&self, number: u64, received: Received<T>) -> Option<T> {
        let sender = self.lock().get(&number).cloned();
        let Some(sender) = sender else { return Some(received.1) };
        match sender.try_send(received) {
            Ok(()) => None,
            Err(error) => Some(error.into_inner().1),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sender<Received<T>>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Query that is forgotten when dropped.
pub struct WaitingQuery<'a, T> {
    queries: &'a WaitingQueries<T>,
    /// Number of the query.
    pub number: u64,
    /// Answers, in the order of their arrival.
    pub answers: Receiver<Received<T>>,
}

impl<T> Drop for WaitingQuery<'_, T> {
    fn drop(&mut self) {
        self.queries.lock().remove(&self.number);
    }
}

/// Socket of queries between nodes, and the queries that wait for answers.
#[derive(Debug)]
pub struct PeerQueries {
    socket: DatagramSocket,
    /// Queries for the origins of streams.
    pub origins: WaitingQueries<OriginAnswer>,
    /// Queries for grants of quotas.
    pub quotas: WaitingQueries<QuotaAnswer>,
    /// Queries for the versions of open streams after a restore of the store.
    pub eras: WaitingQueries<EraAnswer>,
}

impl PeerQueries {
    /// Returns the state of a node without queries.
    pub fn new(socket: DatagramSocket) -> Self {
        Self {
            socket,
            origins: WaitingQueries::default(),
            quotas: WaitingQueries::default(),
            eras: WaitingQueries::default(),
        }
    }

    /// Returns the address at which this node takes datagrams, and requests of other nodes.
    pub fn address(&self) -> SocketAddr {
        self.socket.address()
    }
}

/// Returns the number of a new query.
pub fn next_query_number(context: &RelayContext) -> u64 {
    context.next_number.fetch_add(1, Ordering::Relaxed)
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
            Ok(datagram) => {
                if !catch_panic("datagram", || handle_datagram(&context, sender, datagram)) {
                    context.metrics.handler_panics.inc();
                }
            }
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
            if context.peer_queries.origins.deliver(number, (sender, answer)).is_some() {
                log::debug!("event=datagram_ignored peer={sender} reason=query_ended");
            }
        }
        Datagram::EraQuery { number, era, known } => {
            let answer = context.origins().answer_era(&known, now);
            if answer.era.is_none_or(|own_era| own_era < era) {
                // The sender asks again.
                context.notify_control(RelayControlEvent::EraLearned(era));
            }
            send(context, &Datagram::EraAnswer { number, answer }, &[sender]);
        }
        Datagram::EraAnswer { number, answer } => {
            if context.peer_queries.eras.deliver(number, (sender, answer)).is_some() {
                log::debug!("event=datagram_ignored peer={sender} reason=query_ended");
            }
        }
        Datagram::QuotaQuery { number, query } => {
            let answer = context.quotas().answer_other(&query, context.quota_clock.now());
            let QuotaQuery { workspace, units, .. } = query;
            send(context, &Datagram::QuotaAnswer { number, workspace, units, answer }, &[sender]);
        }
        Datagram::QuotaAnswer { number, workspace, units, answer } => {
            let unused = context.peer_queries.quotas.deliver(number, (sender, answer));
            if unused == Some(QuotaAnswer::Granted) {
                quota::give_back(context, sender, workspace, units);
            }
        }
        Datagram::QuotaCorrection(correction) => {
            context.quotas().correct(&correction, context.quota_clock.now());
        }
        Datagram::ReachQuery(services) => {
            let answer = reach::answer(context, services, now);
            send(context, &Datagram::ReachAnswer(answer), &[sender]);
        }
        Datagram::ReachAnswer(answer) => reach::record_answer(context, sender, answer, now),
    }
}
