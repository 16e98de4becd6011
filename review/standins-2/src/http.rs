//! Minimal HTTP/1.1 for clients and servers, over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Request as a server receives it.
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk, empty at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok(data)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut request = Request { target, headers, body: Vec::new() };
    if request.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            request.body.extend(chunk);
        }
    } else if let Some(length) = request.header("content-length").and_then(|v| v.parse().ok()) {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Answers a request on its connection; returns whether the connection is kept.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Listener with its connections, which end together like those of a process.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves on a free port of the loopback interface until it is ended.
    pub fn start(handler: Arc<Handler>) -> Self {
        Self::serve(TcpListener::bind("127.0.0.1:0").expect("a free port"), handler)
    }

    /// Serves at the address of a server that has ended.
    pub fn restart(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        Ok(Self::serve(TcpListener::bind(address)?, handler))
    }

    fn serve(listener: TcpListener, handler: Arc<Handler>) -> Self {
        let address = listener.local_addr().expect("an address");
        let (is_stopped, connections) = <(Arc<AtomicBool>, Arc<Mutex<Vec<TcpStream>>>)>::default();
        let server = Self { address, is_stopped, connections };
        let own = server.clone();
        thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                if own.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = connection.try_clone() {
                    own.connections.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    // The peer may leave at any time.
                    let _left = serve_connection(&connection, &*handler);
                    drop(connection.shutdown(Shutdown::Both));
                });
            }
        });
        server
    }

    /// Refuses new connections and ends the open ones.
    pub fn end(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the listener, which ends.
        drop(TcpStream::connect(self.address));
        for connection in self.connections.lock().unwrap().drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
    }
}

fn serve_connection(connection: &TcpStream, handler: &Handler) -> io::Result<()> {
    connection.set_nodelay(true)?;
    let mut connection = connection.try_clone()?;
    let mut reader = BufReader::new(connection.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut connection)? {
            break;
        }
    }
    Ok(())
}

/// Writes a whole answer.
pub fn reply(
    connection: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    connection.write_all(&bytes)?;
    Ok(true)
}

/// Answer whose body is read by the caller.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    reader: BufReader<TcpStream>,
    left: Option<usize>,
}

/// Opens a channel within a second, sends a request and reads the head of its answer.
pub fn send(
    address: SocketAddr,
    request: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut bytes = request.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let is_chunked = header(&headers, "transfer-encoding").is_some();
    let length = header(&headers, "content-length").and_then(|value| value.parse().ok());
    let left = if is_chunked { None } else { Some(length.unwrap_or(0)) };
    Ok(Answer { status, headers, reader, left })
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns the next data, empty at the end of the body.
    pub fn next_data(&mut self) -> io::Result<Vec<u8>> {
        let Some(left) = &mut self.left else { return read_chunk(&mut self.reader) };
        let mut data = vec![0; *left];
        *left = 0;
        self.reader.read_exact(&mut data)?;
        Ok(data)
    }
}
