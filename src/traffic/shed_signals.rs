//! Signals that stop running attempts when the power budget no longer covers them.

use crate::types::RequestId;
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Channel that closes when an attempt must stop.
pub type ShedSignal = Receiver<Infallible>;

/// Shed signals of the running attempts, by their key in the power account.
#[derive(Debug, Default)]
pub struct ShedSignals {
    senders: Mutex<HashMap<RequestId, Sender<Infallible>>>,
}

impl ShedSignals {
    /// Returns the signal of a new attempt, and removes those that were dropped.
    pub fn register(&self, key: RequestId) -> ShedSignal {
        let (sender, signal) = async_channel::bounded(1);
        let mut senders = self.lock();
        senders.retain(|_, sender| sender.receiver_count() > 0);
        senders.insert(key, sender);
        signal
    }

    /// Signals an attempt that it must stop.
    pub fn shed(&self, key: &RequestId) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<Infallible>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
