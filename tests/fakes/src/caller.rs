//! A caller that sends requests as the platform's requesters do.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::http::{Connection, Message};

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its method.
    pub method: &'static str,
    /// Its path.
    pub path: String,
    /// The host that it names.
    pub host: String,
    /// Its name; empty if the caller gives it none.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that it takes up.
    pub resumes: Option<String>,
    /// Parts of its prompt, behind the first one, that it shares with other requests.
    pub shared_parts: Vec<String>,
    /// The request's own part of its prompt, where it is a stream.
    pub part: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Call {
    /// The request as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Deadline: {}\r\n",
            self.method, self.path, self.host, self.deadline_ms
        );
        if !self.id.is_empty() {
            head += &format!("X-Request-Id: {}\r\n", self.id);
        }
        if let Some(key) = &self.key {
            head += &format!("X-Key: {key}\r\n");
        }
        if let Some(last) = self.last_event {
            head += &format!("Last-Event-Id: {last}\r\n");
        }
        if let Some(first) = &self.resumes {
            head += &format!("Resumes: {first}\r\n");
        }
        if let Some(part) = &self.part {
            let shared: String =
                self.shared_parts.iter().map(|shared| format!("{shared}:10,")).collect();
            head += "X-Token-Usage: 100,40\r\n";
            head += &format!("X-Prompt-Prefix: aa:20,{shared}{part}:80\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// What became of a stream.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    /// The head of the answer.
    pub head: Message,
    /// The text that came.
    pub text: String,
    /// Whether its end came.
    pub is_complete: bool,
    /// The longest pause between two pieces.
    pub longest_pause: Duration,
}

/// Sends a call over a connection of its own and reads the whole answer.
pub async fn send(addr: SocketAddr, call: &Call) -> io::Result<Message> {
    let mut connection = open(addr, call).await?;
    connection.read_answer().await
}

/// Sends a call and leaves the answer to be read.
pub async fn open(addr: SocketAddr, call: &Call) -> io::Result<Connection> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(&call.encode()).await?;
    Ok(Connection::new(stream))
}

/// Sends a call and reads a stream to its end, whichever it is.
pub async fn stream(addr: SocketAddr, call: &Call) -> io::Result<Stream> {
    let mut connection = open(addr, call).await?;
    let head = connection.read_answer().await?;
    let mut stream = Stream { head, ..Stream::default() };
    if stream.head.status() != 200 {
        return Ok(stream);
    }
    let mut last = Instant::now();
    while let Ok(chunk) = connection.read_chunk().await {
        stream.longest_pause = stream.longest_pause.max(last.elapsed());
        last = Instant::now();
        if chunk.is_empty() {
            stream.is_complete = true;
            break;
        }
        stream.text.push_str(&String::from_utf8_lossy(&chunk));
    }
    Ok(stream)
}
