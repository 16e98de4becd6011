//! Implementations of the ports over HTTP/1.1, and the HTTP client and server that they share.

pub mod caller_body;
pub mod caller_memory;
pub mod caller_stream;
pub mod connection_pool;
pub mod datagram_socket;
pub mod deadline;
pub mod framing;
pub mod guarded_stream;
pub mod http_client;
pub mod http_server;
pub mod instance_list;
pub mod kv_store;
pub mod log_service;
pub mod model_engine;
pub mod piecewise_body;
pub mod plain_service;

pub use instance_list::HttpInstanceList;
pub use kv_store::HttpKvStore;
pub use log_service::HttpLogService;
pub use model_engine::HttpModelEngine;
pub use plain_service::HttpPlainService;
