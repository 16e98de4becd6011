//! Periodic exchanges with the instance list and the backend servers.

use super::{ControlContext, ControlEvent};
use crate::types::ServerId;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Reads the instance list periodically, without end.
pub async fn poll_instance_list(context: ControlContext) {
    let period = Duration::from_millis(context.settings.control.instance_list_period_ms);
    loop {
        match context.instance_list.list().await {
            Ok(instances) => context.send(ControlEvent::Instances(instances)).await,
            Err(error) => log::warn!("event=instance_list_failed {error}"),
        }
        Timer::after(period).await;
    }
}

/// Asks `server` once for its load.
pub async fn poll_load(context: ControlContext, server: ServerId, address: SocketAddr) {
    let asked_at = Instant::now();
    let event = match context.engines.load(address).await {
        Ok(report) => ControlEvent::Load { server, report, asked_at },
        Err(error) => ControlEvent::LoadFailed { server, error },
    };
    context.send(event).await;
}
