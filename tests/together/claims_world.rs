//! Nodes, a log and a naive ledger that sees every run and every verdict.

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
/// Log clock at the start of a test.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Keys from this index on carry a time.
pub const FIRST_TIMED_KEY: u8 = 4;

#[derive(Clone, Copy, Debug)]
pub enum AppendFate {
    Done,
    AnswerLost,
    Lost,
    Late,
    LateTwice,
}

#[derive(Clone, Copy, Debug)]
pub enum CallFate {
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
    /// Times of the runs of each key.
    pub runs_ms: BTreeMap<KeyHash, Vec<u64>>,
    pub started: BTreeSet<RequestId>,
    pub endings: BTreeMap<RequestId, &'static str>,
    open: BTreeMap<RequestId, (String, KeyHash)>,
}

pub struct World {
    pub now_ms: u64,
    start: Instant,
    pub nodes: Vec<Node>,
    log: Vec<LogRecord>,
    first_offset: u64,
    next_offset: u64,
    late_appends: Vec<Bytes>,
    late_pages: Vec<(usize, LogPage)>,
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
            late_appends: Vec::new(),
            late_pages: Vec::new(),
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
        UNIX_EPOCH + Duration::from_millis(START_UNIX_MS + ms)
    }

    pub fn begin(&mut self, node: usize, key: u8, fingerprint: u64) -> RequestId {
        self.next_id += 1;
        let request = format_smolstr!("request-{}", self.next_id);
        let key_created_at = (key >= FIRST_TIMED_KEY)
            .then(|| self.log_time(u64::from(key - FIRST_TIMED_KEY) * 10_000));
        let event = ClaimEvent::Begin(ClaimRequest {
            request_id: request.clone(),
            key: key.into(),
            fingerprint,
            key_created_at,
            deadline: self.now() + Duration::from_secs(8),
        });
        self.ledger.open.insert(request.clone(), (self.nodes[node].name.clone(), key.into()));
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
                    self.judge(node, request_id, verdict);
                }
            }
        }
    }

    fn judge(&mut self, node: usize, request: RequestId, verdict: ClaimVerdict) {
        match verdict {
            ClaimVerdict::Run { claim, start_deadline } => {
                let key = self.ledger.open[&request].1;
                self.nodes[node].runs.push(Run { claim, key, request, start_deadline });
            }
            ClaimVerdict::Answer(_) => self.ledger.end(request, "answer"),
            ClaimVerdict::NotRun { .. } => self.ledger.end(request, "not run"),
            ClaimVerdict::OutcomeUnknown(_) => self.ledger.end(request, "unknown"),
        }
    }

    /// Starts the oldest call that `node` was told to run, and ends it.
    pub fn run_call(&mut self, node: usize, fate: CallFate) {
        if self.nodes[node].runs.is_empty() {
            return;
        }
        let Run { claim, key, request, start_deadline } = self.nodes[node].runs.remove(0);
        let starts = self.now() < start_deadline && !matches!(fate, CallFate::NotSent);
        let (ending, word) = match fate {
            _ if !starts => (RunEnding::NotRun, "not run"),
            CallFate::Answer => (RunEnding::Answer(Arc::new(response())), "answer"),
            CallFate::Unknown | CallFate::NotSent => (RunEnding::OutcomeUnknown, "unknown"),
        };
        if starts {
            self.ledger.start(key, &request, self.now_ms);
        }
        self.ledger.end(request, word);
        self.apply(node, ClaimEvent::RunEnded { claim, key, ending });
    }

    pub fn append(&mut self, node: usize, fate: AppendFate) {
        if self.nodes[node].appends.is_empty() {
            return;
        }
        let (batch, payload) = self.nodes[node].appends.remove(0);
        let offset = match fate {
            AppendFate::Done => Some(self.append_record(payload)),
            AppendFate::AnswerLost => {
                self.append_record(payload);
                None
            }
            AppendFate::Lost => None,
            AppendFate::Late => {
                self.late_appends.push(payload);
                None
            }
            AppendFate::LateTwice => {
                self.late_appends.extend([payload.clone(), payload]);
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

    /// Drops all records before their time.
    pub fn drop_log(&mut self) {
        self.log.clear();
        self.first_offset = self.next_offset;
    }

    /// Delivers a page without its first `skipped` records.
    pub fn read_skipping(&mut self, node: usize, skipped: usize) {
        let mut page = self.page(node, usize::MAX);
        page.records.drain(..skipped);
        self.apply(node, ClaimEvent::Page(page));
    }

    pub fn append_late(&mut self) {
        if !self.late_appends.is_empty() {
            let payload = self.late_appends.remove(0);
            self.append_record(payload);
        }
    }

    fn page(&self, node: usize, limit: usize) -> LogPage {
        let from = self.nodes[node].state.next_offset().max(self.first_offset);
        let records =
            self.log.iter().filter(|record| record.offset >= from).take(limit).cloned().collect();
        LogPage { first_offset: self.first_offset, next_offset: self.next_offset, records }
    }

    pub fn read(&mut self, node: usize, limit: usize, late: bool) {
        let page = self.page(node, limit);
        if late {
            self.late_pages.push((node, page));
        } else {
            self.apply(node, ClaimEvent::Page(page));
        }
    }

    pub fn deliver_late_page(&mut self) {
        if !self.late_pages.is_empty() {
            let (node, page) = self.late_pages.remove(0);
            self.apply(node, ClaimEvent::Page(page));
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        let oldest = self.log_time(self.now_ms) - Duration::from_millis(SETTINGS.log_retention_ms);
        self.log.retain(|record| record.appended_at >= oldest);
        self.first_offset = self.log.first().map_or(self.next_offset, |record| record.offset);
    }

    /// Replaces a node by a new one with an empty memory; its calls lose their callers.
    pub fn crash(&mut self, node: usize) {
        let appends = std::mem::take(&mut self.nodes[node].appends);
        self.late_appends.extend(appends.into_iter().map(|(_, payload)| payload));
        let name = self.nodes[node].name.clone();
        self.ledger.open.retain(|_, (owner, _)| *owner != name);
        self.late_pages.retain(|(owner, _)| *owner != node);
        self.nodes[node] = self.new_node();
    }

    /// Lets everything succeed until nothing is open.
    pub fn settle(&mut self) {
        for _ in 0..200 {
            self.append_late();
            for node in 0..self.nodes.len() {
                self.append(node, AppendFate::Done);
                self.read(node, usize::MAX, false);
                self.run_call(node, CallFate::Answer);
                self.apply(node, ClaimEvent::Tick);
            }
            self.advance(100);
        }
        let open: Vec<_> = self.ledger.open.keys().collect();
        assert!(open.is_empty(), "requests without an ending: {open:?}");
    }
}

impl Ledger {
    fn start(&mut self, key: KeyHash, request: &RequestId, now_ms: u64) {
        let runs_ms = self.runs_ms.entry(key).or_default();
        if let Some(last_ms) = runs_ms.last() {
            let is_timed = key >= FIRST_TIMED_KEY.into();
            assert!(
                !is_timed && now_ms - last_ms > SETTINGS.key_age_ms,
                "key {key} ran at {last_ms} ms and at {now_ms} ms"
            );
        }
        runs_ms.push(now_ms);
        assert!(!self.endings.contains_key(request), "{request} ran after its ending");
        self.started.insert(request.clone());
    }

    fn end(&mut self, request: RequestId, ending: &'static str) {
        assert!(self.open.remove(&request).is_some(), "{request} has two endings");
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
