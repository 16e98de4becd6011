//! Simulation of claims: nodes, a log, and a ledger that checks every run and every verdict.

use bytes::Bytes;
use coriandertide::decision::claims::{
    ClaimCommand, ClaimEvent, ClaimId, ClaimRequest, ClaimVerdict, ClaimsSettings, ClaimsState,
    KeyHash, RunEnding, encode_record,
};
use coriandertide::ports::{LogPage, LogRecord, ServiceResponse};
use coriandertide::types::RequestId;
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SETTINGS: ClaimsSettings = ClaimsSettings {
    key_age_ms: 20_000,
    clock_skew_ms: 4_000,
    log_retention_ms: 30_000,
    claim_timeout_ms: 1_000,
    claim_reuse_ms: 3_000,
    appends_per_s: 50,
    kept_answer_ms: 5_000,
    max_kept_answers_bytes: 4_096,
    max_pending_claims: 64,
};
/// Time of the log's clock at the start of a test.
const LOG_START_UNIX_MS: u64 = 1_800_000_000_000;
/// First key that contains a creation time.
pub const FIRST_KEY_WITH_TIME: u8 = 4;

/// What happens to an append.
#[derive(Clone, Copy, Debug)]
pub enum AppendOutcome {
    Done,
    AnswerLost,
    Lost,
    Delayed,
    DelayedTwice,
}

/// What happens to a call that a node runs.
#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    Answer,
    NotSent,
    Unknown,
}

pub struct Node {
    pub state: ClaimsState,
    pub appends: Vec<(u64, Bytes)>,
    pub runs: Vec<Run>,
    name: String,
}

pub struct Run {
    claim: ClaimId,
    key: KeyHash,
    request: RequestId,
    start_deadline: Instant,
}

#[derive(Default)]
pub struct Ledger {
    /// Times at which each key's call ran.
    pub runs_ms: BTreeMap<KeyHash, Vec<u64>>,
    pub started: BTreeSet<RequestId>,
    pub endings: BTreeMap<RequestId, &'static str>,
    open_requests: BTreeMap<RequestId, (String, KeyHash)>,
}

pub struct World {
    pub now_ms: u64,
    start: Instant,
    pub nodes: Vec<Node>,
    log: Vec<LogRecord>,
    first_offset: u64,
    next_offset: u64,
    delayed_appends: Vec<Bytes>,
    delayed_pages: Vec<(usize, LogPage)>,
    pub ledger: Ledger,
    next_id: u64,
}

impl World {
    pub fn new(nodes: usize) -> Self {
        let mut world = Self {
            now_ms: 0,
            start: Instant::now(),
            nodes: Vec::new(),
            log: Vec::new(),
            first_offset: 1,
            next_offset: 1,
            delayed_appends: Vec::new(),
            delayed_pages: Vec::new(),
            ledger: Ledger::default(),
            next_id: 0,
        };
        for _ in 0..nodes {
            let node = world.new_node();
            world.nodes.push(node);
        }
        world
    }

    fn new_node(&mut self) -> Node {
        self.next_id += 1;
        let name = format!("run-{}", self.next_id);
        let state = ClaimsState::new(&name.as_str().into(), SETTINGS);
        Node { state, appends: Vec::new(), runs: Vec::new(), name }
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn log_time(&self, ms: u64) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(LOG_START_UNIX_MS + ms)
    }

    pub fn begin(&mut self, node: usize, key: u8, fingerprint: u64) -> RequestId {
        self.next_id += 1;
        let request = format_smolstr!("request-{}", self.next_id);
        let key_created_at = (key >= FIRST_KEY_WITH_TIME)
            .then(|| self.log_time(u64::from(key - FIRST_KEY_WITH_TIME) * 10_000));
        let event = ClaimEvent::Begin(ClaimRequest {
            request_id: request.clone(),
            key: key.into(),
            fingerprint,
            key_created_at,
            deadline: self.now() + Duration::from_secs(8),
        });
        self.ledger
            .open_requests
            .insert(request.clone(), (self.nodes[node].name.clone(), key.into()));
        self.apply(node, event);
        request
    }

    pub fn apply(&mut self, node: usize, event: ClaimEvent) {
        let now = self.now();
        for command in self.nodes[node].state.apply(event, now) {
            match command {
                ClaimCommand::Append { batch, entries } => {
                    self.nodes[node].appends.push((batch, encode_record(&entries)));
                }
                ClaimCommand::ReadThrough(_) => {}
                ClaimCommand::Verdict { request_id, verdict } => {
                    self.handle_verdict(node, request_id, verdict);
                }
            }
        }
    }

    fn handle_verdict(&mut self, node: usize, request: RequestId, verdict: ClaimVerdict) {
        match verdict {
            ClaimVerdict::Run { claim, start_deadline } => {
                let key = self.ledger.open_requests[&request].1;
                self.nodes[node].runs.push(Run { claim, key, request, start_deadline });
            }
            ClaimVerdict::Answer(_) => self.ledger.end(request, "answer"),
            ClaimVerdict::NotRun { .. } => self.ledger.end(request, "not run"),
            ClaimVerdict::OutcomeUnknown(_) => self.ledger.end(request, "unknown"),
        }
    }

    /// Runs the oldest call with the verdict `Run` on `node` to its end.
    pub fn run_call(&mut self, node: usize, outcome: CallOutcome) {
        if self.nodes[node].runs.is_empty() {
            return;
        }
        let Run { claim, key, request, start_deadline } = self.nodes[node].runs.remove(0);
        let is_started = self.now() < start_deadline && !matches!(outcome, CallOutcome::NotSent);
        let (ending, ending_name) = match outcome {
            _ if !is_started => (RunEnding::NotRun, "not run"),
            CallOutcome::Answer => (RunEnding::Answer(Arc::new(response())), "answer"),
            CallOutcome::Unknown | CallOutcome::NotSent => (RunEnding::OutcomeUnknown, "unknown"),
        };
        if is_started {
            self.ledger.start(key, &request, self.now_ms);
        }
        self.ledger.end(request, ending_name);
        self.apply(node, ClaimEvent::RunEnded { claim, key, ending });
    }

    pub fn append(&mut self, node: usize, outcome: AppendOutcome) {
        if self.nodes[node].appends.is_empty() {
            return;
        }
        let (batch, payload) = self.nodes[node].appends.remove(0);
        let offset = match outcome {
            AppendOutcome::Done => Some(self.append_record(payload)),
            AppendOutcome::AnswerLost => {
                self.append_record(payload);
                None
            }
            AppendOutcome::Lost => None,
            AppendOutcome::Delayed => {
                self.delayed_appends.push(payload);
                None
            }
            AppendOutcome::DelayedTwice => {
                self.delayed_appends.extend([payload.clone(), payload]);
                None
            }
        };
        self.apply(node, ClaimEvent::AppendEnded { batch, offset });
    }

    fn append_record(&mut self, payload: Bytes) -> u64 {
        let offset = self.next_offset;
        // The log's clock is not quite monotonic.
        let appended_at = self.log_time(self.now_ms + offset % 3 * 100);
        self.log.push(LogRecord { offset, appended_at, payload });
        self.next_offset += 1;
        offset
    }

    pub fn append_raw(&mut self, payload: Bytes) {
        self.append_record(payload);
    }

    /// Drops all records before the end of the log's retention.
    pub fn expire_log(&mut self) {
        self.log.clear();
        self.first_offset = self.next_offset;
    }

    /// Delivers a page without its first `skipped` records.
    pub fn read_skipping(&mut self, node: usize, skipped: usize) {
        let mut page = self.page(node, usize::MAX);
        page.records.drain(..skipped);
        self.apply(node, ClaimEvent::Page(page));
    }

    pub fn deliver_delayed_append(&mut self) {
        if !self.delayed_appends.is_empty() {
            let payload = self.delayed_appends.remove(0);
            self.append_record(payload);
        }
    }

    fn page(&self, node: usize, limit: usize) -> LogPage {
        let from = self.nodes[node].state.next_offset().max(self.first_offset);
        let records =
            self.log.iter().filter(|record| record.offset >= from).take(limit).cloned().collect();
        LogPage { first_offset: self.first_offset, next_offset: self.next_offset, records }
    }

    pub fn read(&mut self, node: usize, limit: usize, delayed: bool) {
        let page = self.page(node, limit);
        if delayed {
            self.delayed_pages.push((node, page));
        } else {
            self.apply(node, ClaimEvent::Page(page));
        }
    }

    pub fn deliver_delayed_page(&mut self) {
        if !self.delayed_pages.is_empty() {
            let (node, page) = self.delayed_pages.remove(0);
            self.apply(node, ClaimEvent::Page(page));
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        let oldest = self.log_time(self.now_ms) - Duration::from_millis(SETTINGS.log_retention_ms);
        self.log.retain(|record| record.appended_at >= oldest);
        self.first_offset = self.log.first().map_or(self.next_offset, |record| record.offset);
    }

    /// Replaces a node by a new one without state; its open requests get no verdict.
    pub fn crash(&mut self, node: usize) {
        let appends = std::mem::take(&mut self.nodes[node].appends);
        self.delayed_appends.extend(appends.into_iter().map(|(_, payload)| payload));
        let name = self.nodes[node].name.clone();
        self.ledger.open_requests.retain(|_, (owner, _)| *owner != name);
        self.delayed_pages.retain(|(owner, _)| *owner != node);
        self.nodes[node] = self.new_node();
    }

    /// Runs without faults until every request has ended.
    pub fn settle(&mut self) {
        for _ in 0..200 {
            self.deliver_delayed_append();
            for node in 0..self.nodes.len() {
                self.append(node, AppendOutcome::Done);
                self.read(node, usize::MAX, false);
                self.run_call(node, CallOutcome::Answer);
                self.apply(node, ClaimEvent::Tick);
            }
            self.advance(100);
        }
        let open_requests: Vec<_> = self.ledger.open_requests.keys().collect();
        assert!(open_requests.is_empty(), "requests without an ending: {open_requests:?}");
    }
}

impl Ledger {
    /// Checks that a call may run now: its key has not run before, or so long ago that a key
    /// without a creation time is free again.
    fn start(&mut self, key: KeyHash, request: &RequestId, now_ms: u64) {
        let runs_ms = self.runs_ms.entry(key).or_default();
        if let Some(last_ms) = runs_ms.last() {
            let has_creation_time = key >= FIRST_KEY_WITH_TIME.into();
            assert!(
                !has_creation_time && now_ms - last_ms > SETTINGS.key_age_ms,
                "key {key} ran at {last_ms} ms and at {now_ms} ms"
            );
        }
        runs_ms.push(now_ms);
        assert!(!self.endings.contains_key(request), "{request} ran after its ending");
        self.started.insert(request.clone());
    }

    /// Checks that a request ends once, and not as "not run" after its call ran.
    fn end(&mut self, request: RequestId, ending: &'static str) {
        assert!(self.open_requests.remove(&request).is_some(), "{request} has two endings");
        let ran = self.started.contains(&request);
        assert!(ending != "not run" || !ran, "{request} ran and is said not to have run");
        self.endings.insert(request, ending);
    }
}

fn response() -> ServiceResponse {
    ServiceResponse {
        status: http::StatusCode::OK,
        headers: http::HeaderMap::new(),
        body: Bytes::from_static(b"booked"),
    }
}
