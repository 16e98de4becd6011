//! Claims of idempotency keys: carries the decision's commands to the log and its verdicts to the
//! traffic threads.

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

/// Most records of one read of the stream.
const READ_LIMIT: usize = 1_000;

/// Time between reads while no claim of this node waits.
const IDLE_READ_PERIOD: Duration = Duration::from_secs(2);

/// Time between reads while claims of this node wait.
const WAITING_READ_PERIOD: Duration = Duration::from_millis(100);

/// Message about claims to the control thread.
#[derive(Debug)]
pub enum ClaimsMessage {
    /// A non-idempotent call asks to run.
    Begin {
        /// Call.
        request: ClaimRequest,
        /// Way back for the verdict.
        reply: Sender<ClaimVerdict>,
    },
    /// A call that was told to run ended.
    Ended {
        /// Claim of the call.
        claim: ClaimId,
        /// Key of the call.
        key: KeyHash,
        /// Ending.
        ending: RunEnding,
    },
    /// An append to the stream ended.
    AppendEnded {
        /// Number of the batch.
        batch: u64,
        /// Offset, or an error after which the record may still be on the log.
        result: PeerResult<LogOffset>,
    },
    /// A read of the stream ended.
    Read(PeerResult<LogPage>),
}

/// Claims state and the exchanges it waits for.
#[derive(Debug)]
pub struct ClaimsControl {
    state: ClaimsState,
    calls: HashMap<RequestId, WaitingCall>,
    read_under_way: bool,
    /// Offset up to which the stream must be read soon.
    read_through: LogOffset,
    next_read_at: Option<Instant>,
}

#[derive(Debug)]
struct WaitingCall {
    key: KeyHash,
    reply: Sender<ClaimVerdict>,
}

impl ClaimsControl {
    /// Returns the claims of a node that has just started.
    pub fn new(instance: &InstanceId, settings: ClaimsSettings) -> Self {
        Self {
            state: ClaimsState::new(instance, settings),
            calls: HashMap::new(),
            read_under_way: false,
            read_through: 0,
            next_read_at: None,
        }
    }
}

impl ControlState {
    /// Applies a message about claims.
    pub(super) fn apply_claims(&mut self, message: ClaimsMessage, now: Instant) {
        match message {
            ClaimsMessage::Begin { request, reply } => {
                let call = WaitingCall { key: request.key, reply };
                self.claims.calls.insert(request.request_id.clone(), call);
                self.advance_claims(ClaimEvent::Begin(request), now);
            }
            ClaimsMessage::Ended { claim, key, ending } => {
                self.advance_claims(ClaimEvent::RunEnded { claim, key, ending }, now);
            }
            ClaimsMessage::AppendEnded { batch, result } => {
                if let Err(error) = &result {
                    log::warn!("event=claims_append_failed batch={batch} {error}");
                }
                let event = ClaimEvent::AppendEnded { batch, offset: result.ok() };
                self.advance_claims(event, now);
            }
            ClaimsMessage::Read(result) => self.end_claims_read(result, now),
        }
        self.read_claims_if_due(now);
    }

    /// Does the periodic work of claims.
    pub(super) fn tick_claims(&mut self, now: Instant) {
        self.advance_claims(ClaimEvent::Tick, now);
        self.read_claims_if_due(now);
    }

    /// Tells claims the number of live nodes, among which appends are shared.
    pub(super) fn share_claim_appends(&mut self, live_nodes: u32, now: Instant) {
        self.advance_claims(ClaimEvent::LiveNodes(live_nodes), now);
    }

    fn advance_claims(&mut self, event: ClaimEvent, now: Instant) {
        for command in self.claims.state.apply(event, now) {
            match command {
                ClaimCommand::Append { batch, entries } => {
                    self.context.spawn(append(self.context.clone(), batch, entries));
                }
                ClaimCommand::ReadThrough(offset) => {
                    self.claims.read_through = self.claims.read_through.max(offset);
                }
                ClaimCommand::Verdict { request_id, verdict } => {
                    self.deliver_verdict(&request_id, verdict, now);
                }
            }
        }
    }

    /// Sends a verdict; a call whose caller has gone before it was started is not run.
    fn deliver_verdict(&mut self, request: &RequestId, verdict: ClaimVerdict, now: Instant) {
        let Some(call) = self.claims.calls.remove(request) else { return };
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
            self.advance_claims(ClaimEvent::RunEnded { claim, key: call.key, ending }, now);
        }
    }

    fn read_claims_if_due(&mut self, now: Instant) {
        let claims = &mut self.claims;
        let is_behind = claims.read_through >= claims.state.next_offset();
        let is_due = claims.next_read_at.is_none_or(|next_read_at| next_read_at <= now);
        if claims.read_under_way || !(is_behind || is_due) {
            return;
        }
        claims.read_under_way = true;
        self.context.spawn(read(self.context.clone(), claims.state.next_offset()));
    }

    fn end_claims_read(&mut self, result: PeerResult<LogPage>, now: Instant) {
        self.claims.read_under_way = false;
        let period = match result {
            Ok(page) => {
                self.note_log_read(LogStream::Claims, &page, now);
                let is_full = page.records.len() >= READ_LIMIT;
                self.advance_claims(ClaimEvent::Page(page), now);
                match self.claims.state.pending_claims() {
                    _ if is_full => Duration::ZERO,
                    0 => IDLE_READ_PERIOD,
                    _ => WAITING_READ_PERIOD,
                }
            }
            Err(error) => {
                self.note_log_failure(LogStream::Claims, &error);
                self.claims.read_through = 0;
                WAITING_READ_PERIOD
            }
        };
        self.claims.next_read_at = Some(now + period);
    }
}

async fn append(context: ControlContext, batch: u64, entries: Vec<ClaimEntry>) {
    let result = context.log.append(LogStream::Claims, encode_record(&entries)).await;
    context.send(ControlEvent::Claims(ClaimsMessage::AppendEnded { batch, result })).await;
}

async fn read(context: ControlContext, from: LogOffset) {
    let result = context.log.read(LogStream::Claims, from, READ_LIMIT).await;
    context.send(ControlEvent::Claims(ClaimsMessage::Read(result))).await;
}

fn log_verdict(request: &RequestId, key: KeyHash, verdict: &ClaimVerdict) {
    let head = format!("event=claim_verdict request={request} key={key:032x}");
    match verdict {
        ClaimVerdict::Run { claim, .. } => log::info!("{head} verdict=run claim={claim}"),
        ClaimVerdict::Answer(_) => log::info!("{head} verdict=kept_answer"),
        ClaimVerdict::NotRun { reason, .. } => {
            log::warn!("{head} verdict=not_run reason={reason}");
        }
        ClaimVerdict::OutcomeUnknown(reason) => {
            log::warn!("{head} verdict=outcome_unknown reason={reason}");
        }
    }
}
