//! An unexpected error in the handling of one request ends that request alone.

use arc_swap::ArcSwap;
use bytes::Bytes;
use coriandertide::adapters::caller_memory::{CallerMemory, CallerMemoryMetrics};
use coriandertide::adapters::http_client;
use coriandertide::adapters::http_server::{self, Handler, ListenerLimits};
use coriandertide::daemon::threads::{catch_panic, spawn_traffic};
use coriandertide::traffic::reply::text_reply;
use coriandertide::types::PeerResult;
use http::{Request, StatusCode};
use http_body_util::Full;
use smol::Executor;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LIMITS: ListenerLimits = ListenerLimits { head_bytes: 8 * 1024, head_timeout_ms: 5_000 };

fn call(address: SocketAddr, path: &str) -> PeerResult<StatusCode> {
    let request = Request::get(path).body(Full::<Bytes>::default()).unwrap();
    let deadline = Instant::now() + Duration::from_secs(2);
    smol::block_on(http_client::send(address, request, deadline)).map(|exchange| exchange.status)
}

/// Guards against a panic in one request that ends the thread which serves all of them.
#[test]
fn a_panic_in_one_request_ends_that_request_alone() {
    let executor: Arc<Executor<'static>> = Arc::default();
    let listener = http_server::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), "test").unwrap();
    let address = listener.local_addr().unwrap();
    let handler: Handler = Arc::new(|request| {
        Box::pin(async move {
            assert!(request.uri().path() != "/panic", "a request that panics");
            text_reply(StatusCode::OK, "")
        })
    });
    let (stop_sender, stop_signal) = async_channel::bounded(1);
    let limits = Arc::new(ArcSwap::from_pointee(LIMITS));
    let memory = CallerMemory::of_connections("test", 8, &CallerMemoryMetrics::default());
    let weak = Arc::downgrade(&executor);
    executor
        .spawn(http_server::serve(listener, weak, handler, limits, memory, stop_signal.clone()))
        .detach();
    let thread = spawn_traffic("traffic".into(), Arc::clone(&executor), stop_signal).unwrap();
    for _ in 0..3 {
        assert!(call(address, "/panic").is_err());
        assert_eq!(call(address, "/sound").unwrap(), StatusCode::OK);
    }
    stop_sender.close();
    assert!(thread.join().is_ok());
}

/// Guards against a panic in the handling of one message that ends the handling of all later ones.
#[test]
fn a_panic_in_one_handler_is_caught() {
    assert!(!catch_panic("message", || panic!("an unexpected error")));
    let mut has_run = false;
    assert!(catch_panic("message", || has_run = true));
    assert!(has_run);
}
