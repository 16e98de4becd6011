//! Runs a relay node until a signal stops it.

use super::RelayNode;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use smol::Timer;
use std::time::Duration;
use strum::Display;

/// Period at which the settings file is read, since it may change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(5);

/// Why the main thread wakes.
enum WakeReason {
    /// A signal, `None` if no more signals can arrive.
    Signal(Option<std::io::Result<Signal>>),
    /// Reading the settings file is due.
    PollSettings,
}

/// Why the settings are reloaded.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ReloadCause {
    /// A signal requested it.
    Signal,
    /// The file is read periodically.
    #[strum(serialize = "look")]
    Poll,
}

/// Runs `node` until a signal stops it; calls `reload` when the settings may have changed.
///
/// # Errors
///
/// Signal handlers that cannot be installed.
pub fn run(node: RelayNode, mut reload: impl FnMut(ReloadCause)) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    loop {
        let signal = async { WakeReason::Signal(signals.next().await) };
        let poll = async {
            Timer::after(SETTINGS_POLL_PERIOD).await;
            WakeReason::PollSettings
        };
        match smol::block_on(signal.or(poll)) {
            WakeReason::PollSettings => reload(ReloadCause::Poll),
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
