//! Claims of idempotency keys: appends them to the log, reads the stream, and sends the verdicts to
//! the traffic threads.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::claims::{
    ClaimCommand, ClaimEntry, ClaimEvent, ClaimId, ClaimRequest, ClaimVerdict, ClaimsSettings,
    ClaimsState, KeyHash, RunEnding, encode_record,
};
use crate::metrics::ReasonLabels;
use crate::ports::{LogPage, LogStream};
use crate::types::{InstanceId, LogOffset, PeerResult, RequestId};
use async_channel::Sender;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum number of records in one read of the stream.
const MAX_READ_RECORDS: usize = 1_000;

/// Period of reads of the stream while no claim of this node is pending.
const IDLE_READ_PERIOD: Duration = Duration::from_secs(2);

/// Period of reads of the stream while claims of this node are pending.
const PENDING_READ_PERIOD: Duration = Duration::from_millis(100);

/// Message about claims to the control thread.
#[derive(Debug)]
pub enum ClaimsMessage {
    /// A non-idempotent call requests permission to run.
    Begin {
        /// Request for the verdict.
        request: ClaimRequest,
        /// Receives the verdict.
        reply: Sender<ClaimVerdict>,
    },
    /// A call with the verdict [`ClaimVerdict::Run`] ended.
    Ended {
        /// Claim of the call.
        claim: ClaimId,
        /// Hash of the call's idempotency key.
        key: KeyHash,
        /// How the call ended.
        ending: RunEnding,
    },
    /// An append to the stream ended.
    AppendEnded {
        /// Number of the batch.
        batch: u64,
        /// Offset of the record, or an error after which the record may still be in the log.
        result: PeerResult<LogOffset>,
    },
    /// A read of the stream ended.
    Read(PeerResult<LogPage>),
}

/// Claims state, the calls that wait for verdicts, and the schedule of reads.
#[derive(Debug)]
pub struct ClaimsControl {
    state: ClaimsState,
    waiting_calls: HashMap<RequestId, WaitingCall>,
    is_reading: bool,
    /// Offset of the last record that must be read without waiting for the period.
    read_through: LogOffset,
    next_read_at: Option<Instant>,
}

/// Call that waits for its verdict.
#[derive(Debug)]
struct WaitingCall {
    key: KeyHash,
    reply: Sender<ClaimVerdict>,
}

impl ClaimsControl {
    /// Returns the state of a newly started node.
    pub fn new(instance: &InstanceId, settings: ClaimsSettings) -> Self {
        Self {
            state: ClaimsState::new(instance, settings),
            waiting_calls: HashMap::new(),
            is_reading: false,
            read_through: 0,
            next_read_at: None,
        }
    }
}

impl ControlState {
    /// Applies a message about claims.
    pub(super) fn apply_claims_message(&mut self, message: ClaimsMessage, now: Instant) {
        match message {
            ClaimsMessage::Begin { request, reply } => {
                let call = WaitingCall { key: request.key, reply };
                self.claims.waiting_calls.insert(request.request_id.clone(), call);
                self.apply_claim_event(ClaimEvent::Begin(request), now);
            }
            ClaimsMessage::Ended { claim, key, ending } => {
                self.apply_claim_event(ClaimEvent::RunEnded { claim, key, ending }, now);
            }
            ClaimsMessage::AppendEnded { batch, result } => {
                if let Err(error) = &result {
                    log::warn!("event=claims_append_failed batch={batch} {error}");
                }
                let event = ClaimEvent::AppendEnded { batch, offset: result.ok() };
                self.apply_claim_event(event, now);
            }
            ClaimsMessage::Read(result) => self.apply_claims_read(result, now),
        }
        self.read_claims_if_due(now);
    }

    /// Does the periodic work: timeouts of claims and due reads.
    pub(super) fn tick_claims(&mut self, now: Instant) {
        self.apply_claim_event(ClaimEvent::Tick, now);
        self.read_claims_if_due(now);
    }

    /// Passes the number of live nodes, which share the append rate, to the claims decision.
    pub(super) fn update_claims_live_nodes(&mut self, live_nodes: u32, now: Instant) {
        self.apply_claim_event(ClaimEvent::LiveNodes(live_nodes), now);
    }

    fn apply_claim_event(&mut self, event: ClaimEvent, now: Instant) {
        for command in self.claims.state.apply(event, now) {
            match command {
                ClaimCommand::Append { batch, entries } => {
                    self.context.spawn(append_batch(self.context.clone(), batch, entries));
                }
                ClaimCommand::ReadThrough(offset) => {
                    self.claims.read_through = self.claims.read_through.max(offset);
                }
                ClaimCommand::Verdict { request_id, verdict } => {
                    self.send_verdict(&request_id, verdict, now);
                }
            }
        }
    }

    /// Sends a verdict. If its receiver has been dropped, a claimed call ends as not run.
    fn send_verdict(&mut self, request: &RequestId, verdict: ClaimVerdict, now: Instant) {
        let Some(call) = self.claims.waiting_calls.remove(request) else { return };
        log_verdict(request, call.key, &verdict);
        let labels = ReasonLabels { reason: verdict.reason().to_owned() };
        self.context.metrics.claims.get_or_create(&labels).inc();
        let claim = match &verdict {
            ClaimVerdict::Run { claim, .. } => Some(*claim),
            _ => None,
        };
        let sent = call.reply.try_send(verdict).is_ok();
        if let Some(claim) = claim.filter(|_| !sent) {
            let ending = RunEnding::NotRun;
            self.apply_claim_event(ClaimEvent::RunEnded { claim, key: call.key, ending }, now);
        }
    }

    fn read_claims_if_due(&mut self, now: Instant) {
        let claims = &mut self.claims;
        let is_behind = claims.read_through >= claims.state.next_offset();
        let is_due = claims.next_read_at.is_none_or(|next_read_at| next_read_at <= now);
        if claims.is_reading || !(is_behind || is_due) {
            return;
        }
        claims.is_reading = true;
        self.context.spawn(read_page(self.context.clone(), claims.state.next_offset()));
    }

    fn apply_claims_read(&mut self, result: PeerResult<LogPage>, now: Instant) {
        self.claims.is_reading = false;
        let period = match result {
            Ok(page) => {
                self.record_log_read(LogStream::Claims, &page, now);
                let is_full = page.records.len() >= MAX_READ_RECORDS;
                self.apply_claim_event(ClaimEvent::Page(page), now);
                match self.claims.state.pending_claims() {
                    _ if is_full => Duration::ZERO,
                    0 => IDLE_READ_PERIOD,
                    _ => PENDING_READ_PERIOD,
                }
            }
            Err(error) => {
                self.record_log_read_failure(LogStream::Claims, &error);
                self.claims.read_through = 0;
                PENDING_READ_PERIOD
            }
        };
        self.claims.next_read_at = Some(now + period);
    }
}

async fn append_batch(context: ControlContext, batch: u64, entries: Vec<ClaimEntry>) {
    let result = context.log.append(LogStream::Claims, encode_record(&entries)).await;
    context.send(ControlEvent::Claims(ClaimsMessage::AppendEnded { batch, result })).await;
}

async fn read_page(context: ControlContext, from: LogOffset) {
    let result = context.log.read(LogStream::Claims, from, MAX_READ_RECORDS).await;
    context.send(ControlEvent::Claims(ClaimsMessage::Read(result))).await;
}

fn log_verdict(request: &RequestId, key: KeyHash, verdict: &ClaimVerdict) {
    let prefix = format!("event=claim_verdict request={request} key={key:032x}");
    match verdict {
        ClaimVerdict::Run { claim, .. } => log::info!("{prefix} verdict=run claim={claim}"),
        ClaimVerdict::Answer(_) => log::info!("{prefix} verdict=kept_answer"),
        ClaimVerdict::NotRun { reason, .. } => {
            log::warn!("{prefix} verdict=not_run reason={reason}");
        }
        ClaimVerdict::OutcomeUnknown(reason) => {
            log::warn!("{prefix} verdict=outcome_unknown reason={reason}");
        }
    }
}
