//! Runs a relay node until it is told to stop.

use super::RelayNode;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use smol::Timer;
use std::time::Duration;
use strum::Display;

/// Period in which the settings file is looked at, since it may change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(5);

/// What wakes the main thread.
enum WakeReason {
    /// A signal, none if no more can come.
    Signal(Option<std::io::Result<Signal>>),
    /// The settings file is to be looked at.
    PollSettings,
}

/// Why the settings are read again.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ReloadCause {
    /// A signal asked for it.
    Signal,
    /// The file is looked at from time to time.
    Look,
}

/// Runs `node` until a signal tells it to stop; `reload` is called when the settings may have
/// changed.
///
/// # Errors
///
/// Signals that cannot be received.
pub fn run(node: RelayNode, mut reload: impl FnMut(ReloadCause)) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    loop {
        let signal = async { WakeReason::Signal(signals.next().await) };
        let look = async {
            Timer::after(SETTINGS_POLL_PERIOD).await;
            WakeReason::PollSettings
        };
        match smol::block_on(signal.or(look)) {
            WakeReason::PollSettings => reload(ReloadCause::Look),
            WakeReason::Signal(Some(Ok(Signal::Hup))) => reload(ReloadCause::Signal),
            WakeReason::Signal(Some(Ok(signal))) => {
                log::info!("event=signal signal={signal:?}");
                node.drain();
                return Ok(());
            }
            WakeReason::Signal(Some(Err(error))) => {
                log::warn!("event=signal_failed error=\"{error}\"");
            }
            WakeReason::Signal(None) => return Ok(()),
        }
    }
}
