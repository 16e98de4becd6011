//! Runs a relay node until it is told to stop.

use super::RelayNode;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Runs `node` until a signal tells it to stop; `reload` is called when the settings may have
/// changed.
///
/// # Errors
///
/// Signals that cannot be received.
pub fn run(node: RelayNode, mut reload: impl FnMut(&str)) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    loop {
        match smol::block_on(signals.next()) {
            Some(Ok(Signal::Hup)) => reload("signal"),
            Some(Ok(signal)) => {
                log::info!("event=signal signal={signal:?}");
                node.drain();
                return Ok(());
            }
            Some(Err(error)) => log::warn!("event=signal_failed error=\"{error}\""),
            None => return Ok(()),
        }
    }
}
