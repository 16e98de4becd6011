//! Outcomes of calls as seen by their callers.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use strum::{Display, EnumIter, IntoStaticStr};

/// How a call ended for its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// The complete answer to the caller's own request, in order.
    Answered,
    /// An error that says that the call was not run.
    NotRun,
    /// An error that says that the outcome is unknown.
    OutcomeUnknown,
    /// The connection to the node was lost.
    ConnectionLost,
    /// The stream ended without an end mark or an error.
    Cut,
    /// Not sent, since the run has no nodes.
    Skipped,
    /// Frames are missing, duplicated, out of order or part of another answer.
    Wrong,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Model request.
    Model,
    /// Model request that crashes the engine.
    Poison,
    /// Service call.
    Service,
}

/// Outcome of a call after the last attempt of its caller.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Kind of the call.
    pub kind: CallKind,
    /// Time of the arrival since the start of the run.
    pub arrival_offset: Duration,
    /// Time from the arrival to the first token, if one was received.
    pub time_to_first_token: Option<Duration>,
    /// Ending of the last attempt.
    pub ending: Ending,
    /// Error code of the last attempt.
    pub code: Option<String>,
    /// Number of attempts.
    pub attempts: u32,
}

/// Non-idempotent call, to compare with the runs counted by the services.
#[derive(Clone, Debug)]
pub struct NonIdempotentCall {
    /// Idempotency key.
    pub key: String,
    /// Endings of all attempts.
    pub endings: Vec<Ending>,
}

/// Collects the outcomes of a run.
#[derive(Default)]
pub struct Outcomes {
    outcomes: Mutex<Vec<Outcome>>,
    non_idempotent_calls: Mutex<Vec<NonIdempotentCall>>,
}

impl Outcomes {
    /// Adds an outcome.
    pub fn add(&self, outcome: Outcome) {
        lock(&self.outcomes).push(outcome);
    }

    /// Adds a non-idempotent call.
    pub fn add_non_idempotent(&self, call: NonIdempotentCall) {
        lock(&self.non_idempotent_calls).push(call);
    }

    /// Returns the number of outcomes by ending.
    pub fn ending_counts(&self) -> BTreeMap<Ending, usize> {
        let mut counts = BTreeMap::new();
        for outcome in lock(&self.outcomes).iter() {
            *counts.entry(outcome.ending).or_default() += 1;
        }
        counts
    }

    /// Returns all outcomes, sorted by arrival.
    pub fn sorted_by_arrival(&self) -> Vec<Outcome> {
        let mut outcomes = lock(&self.outcomes).clone();
        outcomes.sort_by_key(|outcome| outcome.arrival_offset);
        outcomes
    }

    /// Returns all non-idempotent calls.
    pub fn non_idempotent_calls(&self) -> Vec<NonIdempotentCall> {
        lock(&self.non_idempotent_calls).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
