//! Tells running attempts that their watts are withdrawn.

use crate::types::RequestId;
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Signal that closes when the watts of an attempt are withdrawn.
pub type ShedSignal = Receiver<Infallible>;

/// Signals of the running attempts, by their key in the power account.
#[derive(Debug, Default)]
pub struct ShedSignals {
    running: Mutex<HashMap<RequestId, Sender<Infallible>>>,
}

impl ShedSignals {
    /// Returns the signal of a new attempt.
    pub fn register(&self, key: RequestId) -> ShedSignal {
        let (shed, signal) = async_channel::bounded(1);
        let mut running = self.lock();
        running.retain(|_, shed| shed.receiver_count() > 0);
        running.insert(key, shed);
        signal
    }

    /// Withdraws the watts of an attempt.
    pub fn shed(&self, key: &RequestId) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<Infallible>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
