//! Answers kept for callers that send again, bounded in bytes.

use super::record::KeyHash;
use crate::ports::ServiceResponse;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Kept answers, oldest dropped first.
#[derive(Debug)]
pub struct KeptAnswers {
    limit_bytes: usize,
    kept_bytes: usize,
    answers: HashMap<KeyHash, Arc<ServiceResponse>>,
    order: VecDeque<KeyHash>,
}

impl KeptAnswers {
    /// Returns an empty store of at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, kept_bytes: 0, answers: HashMap::new(), order: VecDeque::new() }
    }

    /// Keeps `answer` unless it alone exceeds the limit.
    pub fn insert(&mut self, key: KeyHash, answer: &Arc<ServiceResponse>) {
        self.remove(key);
        let bytes = answer_bytes(answer);
        if bytes > self.limit_bytes {
            return;
        }
        while self.kept_bytes + bytes > self.limit_bytes {
            let Some(oldest) = self.order.front().copied() else { return };
            self.remove(oldest);
        }
        self.kept_bytes += bytes;
        self.answers.insert(key, Arc::clone(answer));
        self.order.push_back(key);
    }

    /// Answer kept for `key`.
    pub fn get(&self, key: KeyHash) -> Option<Arc<ServiceResponse>> {
        self.answers.get(&key).cloned()
    }

    /// Drops the answer for `key`.
    pub fn remove(&mut self, key: KeyHash) {
        let Some(answer) = self.answers.remove(&key) else { return };
        self.kept_bytes -= answer_bytes(&answer);
        self.order.retain(|kept| *kept != key);
    }
}

fn answer_bytes(answer: &ServiceResponse) -> usize {
    let headers: usize =
        answer.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    size_of::<ServiceResponse>() + headers + answer.body.len()
}
