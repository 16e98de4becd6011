//! Attempts under way: their share of a server's load, and checks of servers that cut them.

use super::RelayContext;
use super::control::{CutExchange, RelayControlEvent};
use super::outdated_weights::{begins_by, choice_weights};
use super::request::RelayedRequest;
use super::suspects::KeyList;
use crate::decision::poison::RankedKey;
use crate::decision::relay::server::{PendingPrefill, ServerLoad};
use crate::decision::relay::{Choice, PeerNode, Prompt};
use crate::types::{Incarnation, ModelId, ServerId, ServiceId, SoftwareVersion, WeightsRevision};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// How far an answer had come when its exchange was cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutStage {
    /// Its head had not arrived.
    Head,
    /// A buffered body had not arrived completely.
    Body,
    /// A stream had not ended.
    Stream,
}

/// Attempt that counts towards the load of its server until dropped.
pub struct InFlightAttempt {
    context: Arc<RelayContext>,
    /// Server that the request was sent to.
    pub server: ServerId,
    /// Version of the server's software when the request was sent.
    pub software: SoftwareVersion,
    /// Server that another node has sent the request to, if it has told.
    server_of_node: Option<ServerId>,
    /// Service of the server, `None` if another node sends the request on.
    service: Option<ServiceId>,
    /// Number of the attempt.
    attempt: u64,
    load: ServerLoad,
    /// Whether the prompt has been prefilled.
    is_prefilled: bool,
    sent_at: Instant,
    address: SocketAddr,
    incarnation: Option<Incarnation>,
    /// Keys of the request with the crashes that were known when it was sent.
    suspect_keys: Vec<RankedKey>,
    /// Model and weights on which the request is to begin, `None` at a server without weights.
    weights: Option<(ModelId, WeightsRevision)>,
    /// Whether another process than that of the server's entry may run the request.
    is_process_doubted: bool,
}

impl InFlightAttempt {
    /// Begins an attempt at the chosen server.
    pub fn new(
        context: Arc<RelayContext>,
        request: &RelayedRequest,
        choice: &Choice,
        is_process_doubted: bool,
    ) -> Self {
        let attempt = context.next_number.fetch_add(1, Ordering::Relaxed);
        let (server, load) = (choice.server.clone(), choice.load);
        let now = Instant::now();
        let suspect_keys = context.crash_evidence().ranked(request.suspect_keys.all(), now);
        let weights = choice_weights(&context, request, choice);
        let mut fleet = context.fleet();
        let incarnation = fleet.server(&server).and_then(|server| server.entry.started_unix_ms);
        fleet.begin_request(&server, attempt, load, now);
        if let Some(prompt) = request.head.prompt.as_ref().filter(|prompt| prompt.is_decode_heavy())
        {
            fleet.decode_rate.add(prompt.expected_output_tokens(), now);
        }
        if let Some(prompt) = &choice.prompt {
            let is_announced = request.head.prompt.as_ref().is_some_and(Prompt::is_worth_storing);
            fleet.prefixes.add_cached(&prompt.keys, &server, is_announced, now);
            if prompt.save_to.is_some() {
                fleet.prefixes.mark_saving(&prompt.keys, now);
            }
            if let Some(store) = &mut fleet.kv_store {
                store.take(prompt.fetch_s, prompt.save_s, now);
            }
        }
        drop(fleet);
        let service = request.service.clone();
        context.reach().record_sent(&service, &server, attempt, now);
        Self {
            context,
            server,
            software: choice.software.clone(),
            server_of_node: None,
            service: Some(service),
            attempt,
            load,
            is_prefilled: false,
            sent_at: now,
            address: choice.address,
            incarnation,
            suspect_keys,
            weights,
            is_process_doubted,
        }
    }

    /// Begins an attempt by way of another node, which has chosen a server of a software version.
    pub fn by_node(
        context: Arc<RelayContext>,
        node: &PeerNode,
        server_of_node: Option<ServerId>,
        software: SoftwareVersion,
    ) -> Self {
        let attempt = context.next_number.fetch_add(1, Ordering::Relaxed);
        Self {
            context,
            server: node.instance.clone(),
            software,
            server_of_node,
            service: None,
            attempt,
            load: ServerLoad::default(),
            is_prefilled: true,
            sent_at: Instant::now(),
            address: node.address,
            incarnation: None,
            suspect_keys: Vec::new(),
            weights: None,
            is_process_doubted: false,
        }
    }

    /// Returns the software version that runs the request, `None` while another process than that of the
    /// server's entry may do so.
    pub fn proven_software(&self) -> Option<SoftwareVersion> {
        let fleet = self.context.fleet();
        let is_confirmed = || {
            // A process that answered later as that of the entry ran already.
            let server = fleet.server(&self.server);
            server.is_some_and(|server| {
                !server.is_process_doubted() && Some(server.incarnation()) == self.incarnation
            })
        };
        (!self.is_process_doubted || is_confirmed()).then(|| self.software.clone())
    }

    /// Returns when the server must have begun the request, `None` while its weights are current.
    pub fn begins_by(&self) -> Option<Instant> {
        begins_by(&self.context, self.weights.as_ref()?)
    }

    /// Returns the state of the node.
    pub fn context(&self) -> &Arc<RelayContext> {
        &self.context
    }

    /// Returns the address that the request was sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the incarnation of the server by its entry, `None` if the entry does not tell.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Whether another node has sent the request on.
    pub fn is_by_node(&self) -> bool {
        self.service.is_none()
    }

    /// Returns the server that runs the request, as far as it is known.
    pub fn known_server(&self) -> Option<&ServerId> {
        match self.service {
            Some(_) => Some(&self.server),
            None => self.server_of_node.as_ref(),
        }
    }

    /// Records that the server sent something. The first time, the prompt counts as prefilled.
    pub fn record_contact(&mut self) {
        if let Some(service) = &self.service {
            self.context.reach().record_contact(service, self.attempt, Instant::now());
        }
        let mut fleet = self.context.fleet();
        if let Some(server) = fleet.server_mut(&self.server) {
            server.health.record_contact(Instant::now());
        }
        if !self.is_prefilled {
            self.is_prefilled = true;
            fleet.finish_prefill(&self.server, self.attempt, self.load.pending_prefill);
            self.load.pending_prefill = PendingPrefill::default();
        }
    }

    /// Records whether the server succeeded, and how many milliseconds later than expected it
    /// answered.
    pub fn record_outcome(&self, succeeded: bool, delay_ms: f64) {
        if let Some(server) = self.context.fleet().server_mut(&self.server) {
            server.health.record_outcome(succeeded, delay_ms, Instant::now());
        }
    }
}

impl fmt::Display for InFlightAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { server, software, sent_at, suspect_keys, .. } = self;
        let keys = KeyList(suspect_keys);
        write!(
            f,
            "server={server} software={software} sent_ms={} keys={keys}",
            sent_at.elapsed().as_millis()
        )
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if let Some(service) = &self.service {
            self.context.reach().record_ended(service, self.attempt);
        }
        self.context.fleet().end_request(&self.server, self.attempt, self.load);
    }
}

/// Makes the control thread check whether the server of a cut exchange crashed; a crash is a strike
/// against the request and its prompt parts. A node that sends a request on checks by itself.
pub fn request_crash_check(request: &RelayedRequest, in_flight: &InFlightAttempt, stage: CutStage) {
    let Some(service) = &in_flight.service else { return };
    if let Some(server) = in_flight.context.fleet().server_mut(&in_flight.server) {
        server.doubt_process(Instant::now());
    }
    // A brittle server falls over for want of room, whatever it was answering.
    if in_flight.context.fleet().brittle.is_brittle(service, Instant::now()) {
        return;
    }
    in_flight.context.notify_control(RelayControlEvent::ExchangeCut(CutExchange {
        server: in_flight.server.clone(),
        address: in_flight.address,
        incarnation: in_flight.incarnation.unwrap_or_default(),
        // Streams of sound requests are cut by the same crash, so that only prompts with a chain of
        // crashes are refused.
        fingerprint: (stage == CutStage::Head).then_some(request.fingerprint),
        keys: in_flight.suspect_keys.clone(),
    }));
}
