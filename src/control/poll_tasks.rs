//! Tasks that read the instance list, poll backend servers and query the KV store.

use super::{ControlContext, ControlEvent};
use crate::decision::routing::StoredPrefix;
use crate::metrics::PeerLabels;
use crate::types::ServerId;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Reads the instance list periodically, forever.
pub async fn poll_instance_list(context: ControlContext) {
    let period = Duration::from_millis(context.settings.control.instance_list_period_ms);
    loop {
        match context.instance_list.list().await {
            Ok(instances) => context.send(ControlEvent::InstanceListRead(instances)).await,
            Err(error) => {
                let labels = PeerLabels::new("instance_list", &error);
                context.metrics.peer_errors.get_or_create(&labels).inc();
                log::warn!("event=instance_list_failed {error}");
            }
        }
        Timer::after(period).await;
    }
}

/// Polls `server` once for its load report.
pub async fn poll_load(context: ControlContext, server: ServerId, address: SocketAddr) {
    let polled_at = Instant::now();
    let event = match context.engines.load(address).await {
        Ok(report) => ControlEvent::LoadReported { server, report, polled_at },
        Err(error) => ControlEvent::LoadReportFailed { server, error },
    };
    context.send(event).await;
}

/// Polls `server` once for its cache events from sequence number `from` on.
pub async fn poll_cache_events(
    context: ControlContext,
    server: ServerId,
    address: SocketAddr,
    from: u64,
) {
    let event = match context.engines.cache_events(address, from).await {
        Ok(page) => ControlEvent::CacheEvents { server, page },
        Err(error) => ControlEvent::CacheEventsFailed { server, error },
    };
    context.send(event).await;
}

/// Queries the KV store once for the tokens stored under each of `keys`.
pub async fn query_stored_prefixes(context: ControlContext, keys: Vec<u64>) {
    let Some(kv_store) = &context.kv_store else { return };
    match kv_store.stored_tokens(&keys).await {
        Ok(tokens) => {
            let pairs = keys.into_iter().zip(tokens);
            let prefixes = pairs.map(|(key, tokens)| StoredPrefix { key, tokens }).collect();
            context.send(ControlEvent::StoredPrefixes(prefixes)).await;
        }
        Err(error) => log::warn!("event=kv_store_failed {error}"),
    }
}
