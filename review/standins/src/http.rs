//! Minimal HTTP/1.1 for the stand-ins.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Request as a server reads it.
#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn query_value(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data).ok()?;
    data.truncate(size);
    Some(data)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((target.as_str(), ""));
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    } else if find(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    }
    Some(Request { path: path.to_owned(), query: query.to_owned(), headers, body })
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Event of a stream: its id and its data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    pub id: u64,
    pub data: String,
}

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without a head.
    pub status: u16,
    pub stamp: Option<String>,
    pub retry_after_s: Option<f64>,
    pub events: Vec<Event>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the answer until it ends or `deadline` passes.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    deadline: Instant,
) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return answer;
    }
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let mut reader = BufReader::new(stream);
    let _ = read_answer(&mut reader, &mut answer, deadline);
    answer
}

fn read_answer(
    reader: &mut BufReader<TcpStream>,
    answer: &mut Answer,
    deadline: Instant,
) -> Option<()> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    answer.status = status;
    answer.stamp = find(&headers, "coriandertide-server-stamp").map(str::to_owned);
    answer.retry_after_s = find(&headers, "retry-after").and_then(|text| text.parse().ok());
    if find(&headers, "transfer-encoding").is_some() {
        let mut text = Vec::new();
        while Instant::now() < deadline {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                answer.is_complete = text.is_empty();
                return Some(());
            }
            answer.body.extend_from_slice(&chunk);
            text.extend(chunk);
            while let Some(end) = text.windows(2).position(|window| window == b"\n\n") {
                let event: Vec<u8> = text.drain(..end + 2).collect();
                answer.events.extend(parse_event(&String::from_utf8_lossy(&event)));
            }
        }
        return None;
    }
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    answer.body = body;
    answer.is_complete = true;
    Some(())
}

fn parse_event(text: &str) -> Option<Event> {
    let mut id = None;
    let mut data = String::new();
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("id:") {
            id = value.trim().parse().ok();
        } else if let Some(value) = line.strip_prefix("data:") {
            data.push_str(value.trim());
        }
    }
    Some(Event { id: id?, data })
}
