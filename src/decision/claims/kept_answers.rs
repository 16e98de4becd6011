//! Answers kept in memory for retries of calls that have run, bounded in bytes.

use super::record::KeyHash;
use crate::ports::ServiceResponse;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Answers by key; the oldest are evicted first.
#[derive(Debug)]
pub struct KeptAnswers {
    max_bytes: usize,
    used_bytes: usize,
    answers: HashMap<KeyHash, Arc<ServiceResponse>>,
    /// Keys, oldest answer first.
    insertion_order: VecDeque<KeyHash>,
}

impl KeptAnswers {
    /// Returns an empty store of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: 0, answers: HashMap::new(), insertion_order: VecDeque::new() }
    }

    /// Stores `answer` under `key`, unless it alone exceeds the limit.
    pub fn insert(&mut self, key: KeyHash, answer: &Arc<ServiceResponse>) {
        self.remove(key);
        let bytes = answer_bytes(answer);
        if bytes > self.max_bytes {
            return;
        }
        while self.used_bytes + bytes > self.max_bytes {
            let Some(oldest) = self.insertion_order.front().copied() else { return };
            self.remove(oldest);
        }
        self.used_bytes += bytes;
        self.answers.insert(key, Arc::clone(answer));
        self.insertion_order.push_back(key);
    }

    /// Returns the answer stored under `key`.
    pub fn get(&self, key: KeyHash) -> Option<Arc<ServiceResponse>> {
        self.answers.get(&key).cloned()
    }

    /// Removes the answer stored under `key`.
    pub fn remove(&mut self, key: KeyHash) {
        let Some(answer) = self.answers.remove(&key) else { return };
        self.used_bytes -= answer_bytes(&answer);
        self.insertion_order.retain(|stored_key| *stored_key != key);
    }
}

fn answer_bytes(answer: &ServiceResponse) -> usize {
    let headers: usize =
        answer.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    size_of::<ServiceResponse>() + headers + answer.body.len()
}
