//! Failover of a request: when another server is tried, and when the request is given up.
//!
//! A server that is silent or slow may still be sound. Its answer stays open while others are
//! tried, and the first server that answers is kept. A request with an open answer is not given up
//! before its deadline.

use std::time::{Duration, Instant};

/// Silence of a stream after which another server is tried. It is several times the pause that
/// callers accept and shorter than the one after which they leave.
const MAX_STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// Time for which an interrupted stream waits for another server.
const MAX_SEARCH_PERIOD: Duration = Duration::from_millis(1_000);

/// Time after which a server is chosen again if none was available.
const CHOICE_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time after which another server is tried again beside an open answer if the last one was full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after which another server is tried again if the resend budget allowed none.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which the crash check of a server is awaited before another server gets the request,
/// which may crash that one too.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(30);

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailoverStep {
    /// Wait for the open answers.
    Wait {
        /// When to ask again.
        until: Instant,
    },
    /// Try another server beside the open answers.
    TryAnother,
    /// Give the request up.
    GiveUp(GiveUpReason),
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// Its deadline has passed.
    DeadlinePassed,
    /// No answer is open, and no other server may or can take the request.
    NoServer,
}

/// Why no other server was tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotTriedReason {
    /// No server is available now.
    Unavailable,
    /// The resend budget allows none.
    Budget,
}

/// How far the request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The caller has no answer yet; another server must be available at once.
    BeforeAnswer,
    /// The caller has a part of a stream and cannot be told to come back.
    Stream {
        /// Until when another server is searched, `None` while an answer is open.
        search_deadline: Option<Instant>,
    },
}

/// State of the failover of one request.
#[derive(Clone, Copy, Debug)]
pub struct Failover {
    deadline: Instant,
    phase: Phase,
    /// Answers that are open, whether they have begun or not.
    open_answers: u32,
    /// When another server is tried though an answer is open, `None` for as long as it is awaited.
    silent_at: Option<Instant>,
    next_try_at: Instant,
    /// Whether no server is searched any more, since none was available or the budget is used up.
    is_search_over: bool,
}

impl Failover {
    /// Returns the state of a request that has not been sent.
    pub fn new(deadline: Instant, now: Instant) -> Self {
        Self {
            deadline,
            phase: Phase::BeforeAnswer,
            open_answers: 0,
            silent_at: None,
            next_try_at: now,
            is_search_over: false,
        }
    }

    /// Returns the state of a stream with `open_answers`, of which one has just begun.
    pub fn of_stream(deadline: Instant, open_answers: u32, now: Instant) -> Self {
        let phase = Phase::Stream { search_deadline: None };
        let mut failover = Self { phase, open_answers, ..Self::new(deadline, now) };
        failover.record_wait(now);
        failover
    }

    /// Records that the request was sent to a server.
    pub fn record_sent(&mut self) {
        self.open_answers += 1;
        self.silent_at = None;
    }

    /// Records that the servers with open answers are silent or slow.
    pub fn record_silence(&mut self, now: Instant) {
        self.silent_at = Some(now);
    }

    /// Records that data of the open answers of a stream is awaited from now on.
    pub fn record_wait(&mut self, now: Instant) {
        self.silent_at = Some(now + MAX_STREAM_SILENCE);
    }

    /// Records that the stream of one answer goes on; the other answers were dropped.
    pub fn record_data(&mut self, now: Instant) {
        self.phase = Phase::Stream { search_deadline: None };
        self.open_answers = 1;
        self.next_try_at = now;
        self.is_search_over = false;
        self.record_wait(now);
    }

    /// Records that an open answer has failed.
    pub fn record_failed_answer(&mut self, now: Instant) {
        self.open_answers = self.open_answers.saturating_sub(1);
        self.next_try_at = self.next_try_at.min(now);
        if let Phase::Stream { search_deadline } = &mut self.phase
            && self.open_answers == 0
        {
            search_deadline.get_or_insert(now + MAX_SEARCH_PERIOD);
        }
    }

    /// Records that a server was full. Another one is tried at once only if no answer is open.
    pub fn record_full_server(&mut self, now: Instant) {
        self.record_failed_answer(now);
        if self.open_answers > 0 {
            self.next_try_at = now + FULL_RETRY_DELAY;
        }
    }

    /// Records that it is being checked whether the request has crashed the server of the failed
    /// answer.
    pub fn record_crash_check(&mut self, now: Instant) {
        self.next_try_at = self.next_try_at.max(now + CRASH_CHECK_WAIT);
    }

    /// Records that no other server was tried.
    pub fn record_not_tried(&mut self, reason: NotTriedReason, now: Instant) {
        let delay = match reason {
            NotTriedReason::Unavailable => CHOICE_RETRY_DELAY,
            NotTriedReason::Budget => BUDGET_RETRY_DELAY,
        };
        self.next_try_at = now + delay;
        let is_final = self.phase == Phase::BeforeAnswer || reason == NotTriedReason::Budget;
        self.is_search_over |= is_final && self.open_answers == 0;
    }

    /// Returns what to do at `now`; `may_try_another` says whether the route and the earlier
    /// attempts allow another one.
    pub fn step(&self, may_try_another: bool, now: Instant) -> FailoverStep {
        if now >= self.deadline {
            return FailoverStep::GiveUp(GiveUpReason::DeadlinePassed);
        }
        let try_at = match self.open_answers {
            0 => {
                if !may_try_another || self.is_search_over || self.is_search_late() {
                    return FailoverStep::GiveUp(GiveUpReason::NoServer);
                }
                self.next_try_at
            }
            _ => match self.silent_at.filter(|_| may_try_another) {
                None => return FailoverStep::Wait { until: self.deadline },
                Some(silent_at) => silent_at.max(self.next_try_at),
            },
        };
        if now >= try_at {
            return FailoverStep::TryAnother;
        }
        FailoverStep::Wait { until: try_at.min(self.deadline) }
    }

    fn is_search_late(&self) -> bool {
        match self.phase {
            Phase::BeforeAnswer => false,
            Phase::Stream { search_deadline } => {
                search_deadline.is_some_and(|search_deadline| self.next_try_at > search_deadline)
            }
        }
    }
}
