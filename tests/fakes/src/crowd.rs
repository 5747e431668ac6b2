//! A crowd of clients that send what ordinary callers don't, all at once, and stay connected.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::http::Connection;

/// How long a client goes on sending; one that isn't read waits for that long.
const SEND_TIME: Duration = Duration::from_secs(4);
/// How long clients stay whose chunks of one byte take a process that long to read.
const TINY_CHUNKS_TIME: Duration = Duration::from_secs(6);
/// The receive buffer of a client, so that what it doesn't read stays with the sender.
const RECEIVE_BYTES: u32 = 4 << 10;
/// A body in pieces, and chunks of ordinary size.
const PIECE_BYTES: usize = 16 << 10;
/// The pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// The size of large chunks.
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// What a client sends in chunks of one byte.
const TINY_CHUNKED_BYTES: usize = 64 << 10;
/// What a client announces that is far over the limit, and what it sends of that.
const FAR_OVER_BYTES: usize = 64 << 20;
const SENT_OVER_BYTES: usize = 7 << 20;
/// The part of a head that a client sends that never ends it.
const HALF_HEAD_BYTES: usize = 12 << 10;
/// An ordinary body.
const ORDINARY_BYTES: usize = 600;
/// Requests that are sent behind each other.
const PIPELINED: usize = 400;

/// What a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sends {
    /// Nothing; it connects.
    Nothing,
    /// A head that doesn't end.
    HalfHead,
    /// A body of the limit, at once.
    Whole,
    /// A body of the limit, piece by piece.
    Pieces,
    /// The same, one byte short.
    Short,
    /// A body of the limit in large chunks, without the last one.
    LargeChunks,
    /// A body in chunks of one byte, without the last one.
    TinyChunks,
    /// A body in chunks of all sizes with extensions, and trailers without their end.
    MixedChunks,
    /// A body far over the limit, announced, most of which isn't sent.
    AnnouncedOver,
    /// The same, with `Expect: 100-continue`.
    ExpectedOver,
    /// A body far over the limit in large chunks, unannounced.
    SentOver,
    /// A body of a few bytes.
    Ordinary,
    /// Many requests, one behind the other, without waiting for answers.
    Pipelined,
}

/// One request of a crowd.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method and target.
    pub line: String,
    /// Headers, each with its end of line, but for those that tell the body's end.
    pub headers: String,
    /// What is sent.
    pub sends: Sends,
    /// The limit on a body.
    pub limit_bytes: usize,
}

impl Request {
    /// The bytes to send, in parts with a pause between them.
    fn parts(&self) -> Vec<Vec<u8>> {
        let limit_bytes = self.limit_bytes;
        match self.sends {
            Sends::Nothing => Vec::new(),
            Sends::HalfHead => vec![self.half_head()],
            Sends::Whole => vec![self.announced(limit_bytes, limit_bytes, "")],
            Sends::Pieces => pieces(&self.announced(limit_bytes, limit_bytes, "")),
            Sends::Short => pieces(&self.announced(limit_bytes, limit_bytes - 1, "")),
            Sends::LargeChunks => pieces(&self.chunked(&large_chunks(limit_bytes))),
            Sends::TinyChunks => vec![self.chunked(&b"1\r\nx\r\n".repeat(TINY_CHUNKED_BYTES))],
            Sends::MixedChunks => pieces(&self.chunked(&mixed_chunks(limit_bytes))),
            Sends::AnnouncedOver => vec![self.announced(FAR_OVER_BYTES, SENT_OVER_BYTES, "")],
            Sends::ExpectedOver => {
                let expect = "Expect: 100-continue\r\n";
                vec![self.announced(FAR_OVER_BYTES, SENT_OVER_BYTES, expect)]
            }
            Sends::SentOver => vec![self.chunked(&large_chunks(SENT_OVER_BYTES))],
            Sends::Ordinary => vec![self.announced(ORDINARY_BYTES, ORDINARY_BYTES, "")],
            Sends::Pipelined => {
                vec![self.announced(PIECE_BYTES, PIECE_BYTES, "").repeat(PIPELINED)]
            }
        }
    }

    fn head(&self, end: &str) -> Vec<u8> {
        format!("{} HTTP/1.1\r\n{}{end}\r\n", self.line, self.headers).into_bytes()
    }

    fn announced(&self, bytes: usize, sent_bytes: usize, more: &str) -> Vec<u8> {
        let mut request = self.head(&format!("{more}Content-Length: {bytes}\r\n"));
        request.resize(request.len() + sent_bytes, b'x');
        request
    }

    fn chunked(&self, chunks: &[u8]) -> Vec<u8> {
        [&self.head("Transfer-Encoding: chunked\r\n"), chunks].concat()
    }

    fn half_head(&self) -> Vec<u8> {
        let mut head = self.head("X-Long: ");
        head.truncate(head.len() - 2);
        head.resize(HALF_HEAD_BYTES, b'x');
        head
    }

    /// Sends it over a connection of its own.
    pub async fn connect(&self, addr: SocketAddr) -> Option<Connection> {
        self.send(addr).await.map(Connection::new)
    }

    async fn send(&self, addr: SocketAddr) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(RECEIVE_BYTES).ok()?;
        let mut stream = socket.connect(addr).await.ok()?;
        for (number, part) in self.parts().iter().enumerate() {
            if number > 0 {
                tokio::time::sleep(PIECE_PAUSE).await;
            }
            // It may be refused and cut off at any byte.
            stream.write_all(part).await.ok()?;
        }
        Some(stream)
    }
}

fn pieces(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect()
}

fn chunk(bytes: usize, extension: &str) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}{extension}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn large_chunks(bytes: usize) -> Vec<u8> {
    chunk(LARGE_CHUNK_BYTES, "").repeat(bytes / LARGE_CHUNK_BYTES)
}

/// Chunks of one byte to some KB, of the limit in all but a little, then trailers.
fn mixed_chunks(limit_bytes: usize) -> Vec<u8> {
    let sizes = [1, 7, 300, 1, 4 << 10, 2, 50 << 10].iter().cycle();
    let mut chunks = Vec::new();
    let mut left_bytes = limit_bytes;
    for (number, &bytes) in sizes.enumerate() {
        if bytes > left_bytes {
            break;
        }
        left_bytes -= bytes;
        // The HTTP library takes 16 KB of extensions in a body.
        chunks.extend(chunk(bytes, if number < 100 { ";name=value" } else { "" }));
    }
    chunks.extend_from_slice(b"0\r\nX-Trailer: x\r\n");
    chunks
}

/// A crowd whose clients have sent what they want to, and stay connected until it is dropped.
pub struct Crowd {
    sent: JoinSet<Option<TcpStream>>,
    connected: Vec<TcpStream>,
}

impl Crowd {
    /// Has a client send each request, all at once, and waits until each has sent it, was cut off, or
    /// waits in vain to be read.
    pub async fn send(addr: SocketAddr, requests: Vec<Request>) -> Crowd {
        let has_tiny_chunks = requests.iter().any(|request| request.sends == Sends::TinyChunks);
        let stay = if has_tiny_chunks { TINY_CHUNKS_TIME } else { Duration::ZERO };
        let stay = tokio::time::sleep(stay);
        let mut crowd = Crowd { sent: JoinSet::new(), connected: Vec::new() };
        for request in requests {
            crowd.sent.spawn(async move { request.send(addr).await });
        }
        let _ = tokio::time::timeout(SEND_TIME, crowd.wait()).await;
        stay.await;
        crowd
    }

    async fn wait(&mut self) {
        while let Some(sent) = self.sent.join_next().await {
            self.connected.extend(sent.ok().flatten());
        }
    }

    /// How many sent all that they wanted to.
    pub fn sent_all(&self) -> usize {
        self.connected.len()
    }
}
