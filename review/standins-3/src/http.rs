//! Minimal HTTP/1.1 for stand-ins: one thread a connection, no dependencies.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(percent_decode(pair))
    }
}

/// Head and body of a response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a line without its end; values may hold any bytes, as Latin-1.
fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while line.last().is_some_and(|byte| matches!(byte, b'\r' | b'\n')) {
        line.pop();
    }
    Ok(String::from_utf8(line)
        .unwrap_or_else(|error| error.into_bytes().into_iter().map(char::from).collect()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunked(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(body);
        }
        let begin = body.len();
        body.resize(begin + size, 0);
        reader.read_exact(&mut body[begin..])?;
        read_line(reader)?;
    }
}

/// Reads a whole request.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let mut request = Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers: read_headers(reader)?,
        body: Vec::new(),
    };
    if request.header("transfer-encoding").is_some() {
        request.body = read_chunked(reader)?;
    } else if let Some(length) = request.header("content-length").and_then(|v| v.parse().ok()) {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(request)
}

/// Reads the head of a response.
pub fn read_response_head(reader: &mut impl BufRead) -> io::Result<Response> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
    Ok(Response { status, headers: read_headers(reader)?, body: Vec::new() })
}

/// Reads a whole response.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let mut response = read_response_head(reader)?;
    if response.header("transfer-encoding").is_some() {
        response.body = read_chunked(reader)?;
    } else if let Some(length) = response.header("content-length").and_then(|v| v.parse().ok()) {
        response.body = vec![0; length];
        reader.read_exact(&mut response.body)?;
    } else {
        reader.read_to_end(&mut response.body)?;
    }
    Ok(response)
}

/// Encodes a response with a length.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a request with a length.
pub fn encode_request(request: &Request) -> Vec<u8> {
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !request.body.is_empty() || request.method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Connects with the second that clients allow for that.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the whole response within `timeout`.
pub fn exchange(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let mut stream = connect(address, timeout)?;
    stream.write_all(&encode_request(request))?;
    read_response(&mut BufReader::new(stream))
}
