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

/// Time after which another server is tried again if the resend budget allowed none.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which the crash check of a server is awaited before another server gets the request,
/// which may crash that one too.
const CRASH_CHECK_PERIOD: Duration = Duration::from_millis(30);

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

/// State of the failover of one request.
#[derive(Clone, Copy, Debug)]
pub struct Failover {
    deadline: Instant,
    /// Answers that are open, whether they have begun or not.
    open_answers: u32,
    /// When another server is tried though an answer is open, `None` for as long as it is awaited.
    silent_at: Option<Instant>,
    next_try_at: Instant,
    /// Until when another server is searched while no answer is open.
    search_deadline: Instant,
}

impl Failover {
    /// Returns the state of a request that has not been sent; a server must be available at once.
    pub fn new(deadline: Instant, now: Instant) -> Self {
        Self { deadline, open_answers: 0, silent_at: None, next_try_at: now, search_deadline: now }
    }

    /// Returns the state of a stream with one open answer, whose head has just arrived.
    pub fn of_stream(deadline: Instant, now: Instant) -> Self {
        let mut failover = Self::new(deadline, now);
        failover.open_answers = 1;
        failover.record_data(now);
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

    /// Records that the stream of the kept answer goes on; the other answers were dropped.
    pub fn record_data(&mut self, now: Instant) {
        self.open_answers = 1;
        self.silent_at = Some(now + MAX_STREAM_SILENCE);
        self.next_try_at = now;
    }

    /// Records that an open answer has failed. Another server is searched for a while if
    /// `is_stream_begun`, since its caller cannot be told to come back; otherwise one must be
    /// available at once.
    pub fn record_failed_answer(&mut self, is_stream_begun: bool, now: Instant) {
        self.open_answers = self.open_answers.saturating_sub(1);
        self.next_try_at = self.next_try_at.min(now);
        if self.open_answers == 0 {
            let period = if is_stream_begun { MAX_SEARCH_PERIOD } else { Duration::ZERO };
            self.search_deadline = self.search_deadline.max(now + period);
        }
    }

    /// Records that it is being checked whether the request has crashed the server of the failed
    /// answer.
    pub fn record_crash_check(&mut self, now: Instant) {
        self.next_try_at = self.next_try_at.max(now + CRASH_CHECK_PERIOD);
        self.search_deadline = self.search_deadline.max(self.next_try_at);
    }

    /// Records that no other server was tried.
    pub fn record_not_tried(&mut self, reason: NotTriedReason, now: Instant) {
        let delay = match reason {
            NotTriedReason::Unavailable => CHOICE_RETRY_DELAY,
            NotTriedReason::Budget => BUDGET_RETRY_DELAY,
        };
        self.next_try_at = now + delay;
        if reason == NotTriedReason::Budget {
            self.search_deadline = self.search_deadline.min(now);
        }
    }

    /// Returns what to do at `now`; `may_try_another` says whether the route and the earlier
    /// attempts allow another one.
    pub fn step(&self, may_try_another: bool, now: Instant) -> FailoverStep {
        if now >= self.deadline {
            return FailoverStep::GiveUp(GiveUpReason::DeadlinePassed);
        }
        if self.open_answers > 0 {
            return self.step_with_open_answer(may_try_another, now);
        }
        if !may_try_another || self.next_try_at > self.search_deadline {
            return FailoverStep::GiveUp(GiveUpReason::NoServer);
        }
        if now >= self.next_try_at {
            return FailoverStep::TryAnother;
        }
        FailoverStep::Wait { until: self.next_try_at.min(self.deadline) }
    }

    fn step_with_open_answer(&self, may_try_another: bool, now: Instant) -> FailoverStep {
        let Some(silent_at) = self.silent_at.filter(|_| may_try_another) else {
            return FailoverStep::Wait { until: self.deadline };
        };
        let try_at = silent_at.max(self.next_try_at);
        if now >= try_at {
            return FailoverStep::TryAnother;
        }
        FailoverStep::Wait { until: try_at.min(self.deadline) }
    }
}
