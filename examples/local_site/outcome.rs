//! Endings of calls, as their callers saw them.

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
    /// The whole answer to the caller's own request, in order.
    Answered,
    /// Refused, with word that it was not run.
    NotRun,
    /// An explicit error that says the outcome is unknown.
    OutcomeUnknown,
    /// The connection to the node broke.
    ConnectionLost,
    /// The stream ended without its end mark and without an error.
    Cut,
    /// Not made: the run has no node that could take it.
    Skipped,
    /// Pieces are missing, doubled or out of order, or belong to another request.
    Wrong,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Model request.
    Model,
    /// Model request that crashes engines.
    Poison,
    /// Service call.
    Service,
}

/// Call that has ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Kind.
    pub kind: CallKind,
    /// Time of the arrival from the start of the run.
    pub at: Duration,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Ending of the last attempt of the caller.
    pub ending: Ending,
    /// Code of the error that the caller got.
    pub code: Option<String>,
    /// Attempts of the caller.
    pub attempts: u32,
}

/// Non-idempotent call, to be compared with the runs that the services counted.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// Idempotency key.
    pub key: String,
    /// Endings of all attempts of the caller.
    pub endings: Vec<Ending>,
}

/// Collector of outcomes.
#[derive(Default)]
pub struct Outcomes {
    ended: Mutex<Vec<Outcome>>,
    keyed: Mutex<Vec<KeyedCall>>,
}

impl Outcomes {
    /// Adds an outcome.
    pub fn add(&self, outcome: Outcome) {
        lock(&self.ended).push(outcome);
    }

    /// Adds a non-idempotent call.
    pub fn add_keyed(&self, call: KeyedCall) {
        lock(&self.keyed).push(call);
    }

    /// Returns the number of ended calls by ending.
    pub fn endings(&self) -> BTreeMap<Ending, usize> {
        let mut counts = BTreeMap::new();
        for outcome in lock(&self.ended).iter() {
            *counts.entry(outcome.ending).or_default() += 1;
        }
        counts
    }

    /// Returns all outcomes in order of arrival.
    pub fn sorted(&self) -> Vec<Outcome> {
        let mut outcomes = lock(&self.ended).clone();
        outcomes.sort_by_key(|outcome| outcome.at);
        outcomes
    }

    /// Returns all non-idempotent calls.
    pub fn keyed(&self) -> Vec<KeyedCall> {
        lock(&self.keyed).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
