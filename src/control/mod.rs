//! The control thread: owns all control state and publishes immutable snapshots of it.
//!
//! Tasks on the same thread do the I/O and send the results as [`ControlEvent`]s. A single loop
//! applies the events, so no state is shared between tasks.

pub mod admin;
pub mod claims;
pub mod configuration;
pub mod configuration_read;
pub mod context;
pub mod event;
pub mod leases;
mod link_listener;
pub mod links;
pub mod log_status;
pub mod log_tail;
pub mod partners;
pub mod placement;
pub mod poison;
pub mod poll_tasks;
pub mod power;
pub mod republish;
pub mod server_polls;
pub mod snapshot;
pub mod state;

pub use claims::ClaimsMessage;
pub use context::ControlContext;
pub use event::{ControlEvent, TrafficReport};
pub use snapshot::{ApiKeyIndex, Snapshot};
pub use state::ControlState;

use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

/// Period of [`ControlEvent::Tick`].
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Applies events until their channel closes.
pub async fn run(mut state: ControlState, events: Receiver<ControlEvent>) {
    let mut next_tick_at = Instant::now() + TICK_PERIOD;
    loop {
        let received = async { events.recv().await.ok() };
        let tick = async {
            Timer::at(next_tick_at).await;
            Some(ControlEvent::Tick)
        };
        let Some(event) = received.or(tick).await else { return };
        if matches!(event, ControlEvent::Tick) {
            next_tick_at = Instant::now() + TICK_PERIOD;
        }
        state.handle(event, Instant::now());
    }
}
