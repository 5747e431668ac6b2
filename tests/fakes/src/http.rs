//! Just enough HTTP/1.1 to answer requests byte by byte, also wrongly on purpose.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::links::{Cut, Link, Links};

/// A request or an answer that was read whole.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Method and target of a request, or the status of an answer.
    pub start: (String, String),
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body; of an answer only what came with a length.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.start.1.split('?').next().unwrap_or_default()
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.start.1.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.0.parse().unwrap_or(0)
    }
}

/// The process of a fake: what accepts its connections and serves them.
#[derive(Debug, Clone, Default)]
pub struct Process {
    task: Arc<Mutex<Option<AbortHandle>>>,
    links: Links,
}

impl Process {
    /// Cuts it off from these addresses; an empty list joins it to all.
    pub fn cut_from(&self, sources: &[Ipv4Addr], how: Cut) {
        self.links.cut(sources, how);
    }

    fn set(&self, process: Option<AbortHandle>) -> Option<AbortHandle> {
        std::mem::replace(&mut *self.task.lock().expect("no holder panics"), process)
    }

    /// Serves each connection to an address by `serve`, until it crashes; returns the address.
    pub async fn start<F, R>(&self, addr: &str, serve: F) -> SocketAddr
    where
        F: Fn(Connection) -> R + Send + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let (addr, task) = self.links.listen(addr, serve).await;
        self.set(Some(task.abort_handle()));
        addr
    }

    /// Ends it: every connection ends, and nothing listens any more.
    pub fn crash(&self) {
        if let Some(process) = self.set(None) {
            self.links.fall_silent();
            process.abort();
        }
    }

    /// Whether it has ended.
    pub fn has_crashed(&self) -> bool {
        self.task.lock().expect("no holder panics").is_none()
    }
}

/// A connection with what was read too far.
pub struct Connection {
    /// The link that it goes over, where it may be cut; it is left before the socket is closed.
    link: Option<Link>,
    /// The socket.
    pub stream: TcpStream,
    left: Vec<u8>,
}

impl Connection {
    /// Over a socket.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { link: None, stream, left: Vec::new() }
    }

    /// The address that it comes from.
    pub fn source(&self) -> Option<IpAddr> {
        self.stream.peer_addr().ok().map(|peer| peer.ip())
    }

    /// Over a socket of a link.
    pub(crate) fn over(stream: TcpStream, link: Link) -> Connection {
        Connection { link: Some(link), ..Connection::new(stream) }
    }

    /// Reads one request; `None` at the end.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut request = httparse::Request::new(&mut headers);
            let parsed = request.parse(&self.left).map_err(io::Error::other)?;
            if let httparse::Status::Complete(end) = parsed {
                let start = (
                    request.method.unwrap_or_default().to_owned(),
                    request.path.unwrap_or_default().to_owned(),
                );
                let headers = collect(request.headers);
                return self.read_body(start, headers, end).await.map(Some);
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the head of one request; `None` at the end.
    pub async fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut request = httparse::Request::new(&mut headers);
            let parsed = request.parse(&self.left).map_err(io::Error::other)?;
            if let httparse::Status::Complete(end) = parsed {
                let start = (
                    request.method.unwrap_or_default().to_owned(),
                    request.path.unwrap_or_default().to_owned(),
                );
                let headers = collect(request.headers);
                self.left.drain(..end);
                return Ok(Some(Message { start, headers, body: Vec::new() }));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the head of an answer and the body that has a length; leaves one that is chunked.
    pub async fn read_answer(&mut self) -> io::Result<Message> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut answer = httparse::Response::new(&mut headers);
            let parsed = answer.parse(&self.left).map_err(io::Error::other)?;
            if let httparse::Status::Complete(end) = parsed {
                let start = (answer.code.unwrap_or(0).to_string(), String::new());
                let headers = collect(answer.headers);
                return self.read_body(start, headers, end).await;
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn read_body(
        &mut self,
        start: (String, String),
        headers: BTreeMap<String, String>,
        end: usize,
    ) -> io::Result<Message> {
        let length = headers.get("content-length").and_then(|length| length.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.left.len() < end + length {
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let body = self.left[end..end + length].to_vec();
        self.left.drain(..end + length);
        Ok(Message { start, headers, body })
    }

    /// Reads one chunk; empty at the last one.
    pub async fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Ok(httparse::Status::Complete((start, length))) =
                httparse::parse_chunk_size(&self.left)
            {
                let end = start + length as usize + 2;
                if self.left.len() >= end {
                    let chunk = self.left[start..end - 2].to_vec();
                    self.left.drain(..end);
                    return Ok(chunk);
                }
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 8192];
        let read = self.stream.read(&mut buffer).await?;
        self.left.extend_from_slice(&buffer[..read]);
        Ok(read > 0)
    }

    /// Writes bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Some(link) = &self.link {
            link.wait_until_passing().await;
        }
        self.stream.write_all(bytes).await
    }

    /// Writes a whole answer.
    pub async fn answer(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.write(&encode(status, headers, body)).await
    }

    /// Resets the connection.
    pub fn reset(self) {
        #[allow(deprecated, reason = "the successor lives in a crate that isn't needed otherwise")]
        let _ = self.stream.set_linger(Some(std::time::Duration::ZERO));
    }
}

/// A whole answer as bytes.
pub fn encode(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

fn collect(headers: &[httparse::Header<'_>]) -> BTreeMap<String, String> {
    let pair = |header: &httparse::Header<'_>| {
        (header.name.to_lowercase(), String::from_utf8_lossy(header.value).into_owned())
    };
    headers.iter().map(pair).collect()
}

/// Serves each connection by `serve` until the handle is aborted.
pub async fn listen<F, R>(addr: &str, serve: F) -> (SocketAddr, tokio::task::JoinHandle<()>)
where
    F: Fn(Connection) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    Links::default().listen(addr, serve).await
}
