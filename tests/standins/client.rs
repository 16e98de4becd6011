//! Minimal HTTP client that opens a connection for each request.

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use serde_json::Value;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;

pub struct Answer {
    pub head: http::response::Parts,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    /// Returns the frame numbers and chunks of a stream, and whether its end mark was received.
    pub fn frames(&self) -> (Vec<(u64, Value)>, bool) {
        let text = std::str::from_utf8(&self.body).expect("the stream is UTF-8");
        let mut frames = Vec::new();
        let mut number = 0;
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                number = id.parse().expect("the event ID is a frame number");
            }
            match line.strip_prefix("data: ") {
                Some("[DONE]") => return (frames, true),
                Some(chunk) => {
                    let chunk = serde_json::from_str(chunk).expect("the chunk is JSON");
                    frames.push((number, chunk));
                }
                None => {}
            }
        }
        (frames, false)
    }
}

pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> anyhow::Result<Answer> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    let driver = smol::spawn(connection);
    let response: Response<_> = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    driver.cancel().await;
    Ok(Answer { head, body })
}

pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> anyhow::Result<Answer> {
    let body = Full::new(Bytes::from(body.to_owned()));
    send(address, Request::builder().method(method).uri(path).body(body)?).await
}
