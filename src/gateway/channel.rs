//! One HTTP connection to an upstream, the directory or a peer, over hyper's connection interface.
//!
//! Pooled HTTP clients hide two things that are needed here: whether any byte of a request was
//! written, and whether unexpected bytes arrived, after which a connection must not be reused.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use super::headers;
use super::message_bytes::{AnswerBytes, RequestBytes};
use super::policy::answer_end::Framing;
use super::policy::answer_head::{SoundHead, Spoilt};
use super::policy::caller_limits::CHANNEL_BUFFER_BYTES;

/// How long sent bytes may stay unacknowledged: enough for four retransmissions on a link that loses
/// packets, and well under the shortest deadline of a call.
const TCP_USER_TIMEOUT_MS: u64 = 800;
/// The interval of keepalive probes on an idle connection, the shortest that the kernel accepts.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Why a channel could not be opened, or a request on it got no answer.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// No byte of the request was written.
    #[display("no byte of the request was sent ({detail}); it may be sent to another upstream")]
    NotSent {
        /// The underlying error.
        detail: String,
    },
    /// The connection was refused: nothing listens at the address any more.
    #[display("connection refused; the request may be sent to another upstream")]
    Refused,
    /// No connection was established within the timeout.
    #[display("no connection within {timeout_ms} ms; the request may be sent to another upstream")]
    Unreachable {
        /// The timeout.
        timeout_ms: u64,
    },
    /// The connection failed after part of the request was written, so the request may run.
    #[display(
        "the connection broke after the request was sent ({detail}); whether it ran is unknown"
    )]
    Broken {
        /// The underlying error.
        detail: String,
    },
}

/// A socket that the channel and the task of its connection share, until the channel closes it.
type SharedSocket = Rc<RefCell<Option<TcpStream>>>;

/// A connection that carries one request at a time; dropping it closes it at once.
#[derive(Debug)]
pub struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    socket: SharedSocket,
    bytes_written: Rc<Cell<u64>>,
    answer: Rc<RefCell<AnswerBytes>>,
    request: Rc<RefCell<RequestBytes>>,
    is_flooded: bool,
    /// What the head of the last answer states.
    head: Option<SoundHead>,
    /// Why the last answer was not believed.
    spoilt: Option<Spoilt>,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
        // The task ends when the runtime comes to it. Whoever opens the next channel meanwhile has to
        // find the descriptor free.
        self.socket.take();
    }
}

impl Channel {
    /// Opens a connection within `timeout_ms`.
    ///
    /// # Errors
    ///
    /// Any fault but [`Fault::Broken`].
    pub async fn open(addr: SocketAddr, timeout_ms: u64) -> Result<Channel, Fault> {
        Channel::open_from(None, addr, timeout_ms).await
    }

    /// Opens a connection from a local address within `timeout_ms`; the system chooses the address
    /// if there is none.
    ///
    /// # Errors
    ///
    /// Any fault but [`Fault::Broken`].
    pub async fn open_from(
        source: Option<IpAddr>,
        addr: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Channel, Fault> {
        let not_sent = |detail: String| Fault::NotSent { detail };
        let timeout = Duration::from_millis(timeout_ms);
        let stream = match tokio::time::timeout(timeout, connect(source, addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(Fault::Refused);
            }
            Ok(Err(error)) => return Err(not_sent(error.to_string())),
            Err(_) => return Err(Fault::Unreachable { timeout_ms }),
        };
        configure_socket(&stream).map_err(|error| not_sent(error.to_string()))?;
        let socket: SharedSocket = Rc::new(RefCell::new(Some(stream)));
        let bytes_written = Rc::new(Cell::new(0));
        let answer = Rc::new(RefCell::default());
        let request = Rc::new(RefCell::default());
        let io = TokioIo::new(CountingStream {
            socket: Rc::clone(&socket),
            bytes_written: Rc::clone(&bytes_written),
            answer: Rc::clone(&answer),
            request: Rc::clone(&request),
        });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(CHANNEL_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // The request on the connection gets its error; that of an idle connection is ignored.
            let _ = connection.await;
        });
        Ok(Channel {
            sender,
            task,
            socket,
            bytes_written,
            answer,
            request,
            is_flooded: false,
            head: None,
            spoilt: None,
        })
    }

    /// Sends a request and waits for the head of its answer, which is judged.
    ///
    /// # Errors
    ///
    /// [`Fault::NotSent`] if no byte was written, else [`Fault::Broken`], also for a head that is
    /// spoilt.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Fault> {
        let written_before = self.bytes_written.get();
        if let Err(error) = self.sender.ready().await {
            return Err(Fault::NotSent { detail: error.to_string() });
        }
        let body_bytes = request.body().size_hint().exact().unwrap_or(0);
        let method = request.method().clone();
        (self.head, self.spoilt) = (None, None);
        self.request.replace(RequestBytes::new(body_bytes));
        self.answer.borrow_mut().await_head();
        let answered = self.sender.send_request(request).await;
        match answered {
            Ok(response) => {
                let judged = headers::judge(&method, &response, self.answer.borrow().line_ends());
                let head = judged.map_err(|spoilt| self.refuse(spoilt))?;
                self.answer.borrow_mut().expect(head);
                self.head = Some(head);
                Ok(response)
            }
            Err(error) => {
                let is_too_long = self.answer.borrow().is_too_long();
                self.answer.borrow_mut().end_wait();
                self.is_flooded = error.is_parse_too_large() || is_too_long;
                let detail = error_with_cause(&error);
                if self.bytes_written.get() == written_before {
                    return Err(Fault::NotSent { detail });
                }
                if error.is_parse() && !self.is_flooded {
                    self.spoilt = Some(Spoilt::Unreadable);
                }
                Err(Fault::Broken { detail })
            }
        }
    }

    fn refuse(&mut self, spoilt: Spoilt) -> Fault {
        self.spoilt = Some(spoilt);
        let detail = format!("the answer is spoilt ({spoilt}), and whether it ran is unknown");
        Fault::Broken { detail }
    }

    /// How the last answer tells its end.
    pub fn framing(&self) -> Framing {
        self.head.map_or(Framing::Channel, |head| head.framing)
    }

    /// Why the last answer was not believed.
    pub fn spoilt(&self) -> Option<Spoilt> {
        self.spoilt
    }

    /// What the head of the last answer states, which was judged when it came.
    ///
    /// # Errors
    ///
    /// [`Fault::Broken`] if none came.
    pub fn judged_head(&self) -> Result<SoundHead, Fault> {
        self.head.ok_or_else(|| Fault::Broken { detail: "no answer came".to_owned() })
    }

    /// Judges the last answer once all of its body was read: by what came behind it, and by whether the
    /// request was written whole where only the channel marks the end.
    ///
    /// # Errors
    ///
    /// [`Fault::Broken`].
    pub fn judge_end(&mut self) -> Result<SoundHead, Fault> {
        let head = self.judged_head()?;
        let behind = self.answer.borrow().judge_behind(head);
        behind.map_err(|spoilt| self.refuse(spoilt))?;
        let is_written = self.request.borrow().is_whole() && !self.answer.borrow().has_failed();
        if head.framing == Framing::Channel && !is_written {
            return Err(self.refuse(Spoilt::RequestUnwritten));
        }
        Ok(head)
    }

    /// Refuses the last answer if its body was judged so.
    ///
    /// # Errors
    ///
    /// [`Fault::Broken`].
    pub fn refuse_if(&mut self, judged: Result<(), Spoilt>) -> Result<(), Fault> {
        judged.map_err(|spoilt| self.refuse(spoilt))
    }

    /// Whether the last request failed because the head of its answer didn't end, or interim answers
    /// didn't.
    pub fn is_flooded(&self) -> bool {
        self.is_flooded
    }

    /// The number of bytes written since the connection was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Whether the channel can carry another request.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.task.is_finished() && self.sender.is_ready()
    }
}

async fn connect(source: Option<IpAddr>, addr: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(addr).await };
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(addr).await
}

/// The text of a hyper error and its cause, which names the error of the socket.
pub fn error_with_cause(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Disables Nagle's algorithm, and sets TCP timeouts so that the kernel closes the connection to a
/// peer that stops responding.
fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = Duration::from_secs(KEEPALIVE_INTERVAL_S);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(interval).with_interval(interval))?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)))
}

/// Whether the chunks of a body hold something that is too long, such as an extension without end.
pub fn is_flooded_body(error: &hyper::Error) -> bool {
    let cause =
        std::error::Error::source(error).and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::InvalidData)
}

/// A socket that notes the bytes of requests and answers.
struct CountingStream {
    socket: SharedSocket,
    bytes_written: Rc<Cell<u64>>,
    answer: Rc<RefCell<AnswerBytes>>,
    request: Rc<RefCell<RequestBytes>>,
}

impl CountingStream {
    /// Polls the socket. Fails once the channel has closed it.
    fn poll_socket<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.socket.borrow_mut().as_mut() {
            Some(stream) => poll(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    fn count_written<'a>(
        &self,
        result: &Poll<io::Result<usize>>,
        parts: impl Iterator<Item = &'a [u8]>,
    ) {
        let mut left = match result {
            Poll::Ready(Ok(bytes)) => *bytes,
            Poll::Ready(Err(_)) => return self.request.borrow_mut().note_failure(),
            Poll::Pending => return,
        };
        self.bytes_written.set(self.bytes_written.get() + left as u64);
        for part in parts {
            let written = left.min(part.len());
            self.request.borrow_mut().note(&part[..written]);
            left -= written;
        }
    }

    /// Notes an end of the channel behind which the socket has an error: the other side has reset it.
    fn note_end(&self) {
        let socket = self.socket.borrow();
        let error = socket.as_ref().map(TcpStream::take_error);
        if !matches!(error, Some(Ok(None))) {
            self.answer.borrow_mut().note_failure();
        }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = self.poll_socket(|stream| stream.poll_read(context, buffer));
        let came = &buffer.filled()[filled..];
        if came.is_empty() {
            if matches!(read, Poll::Ready(Ok(()))) {
                self.note_end();
            }
            return read;
        }
        self.answer.borrow_mut().note(came);
        if self.answer.borrow().is_too_long() {
            let why = "the head of the answer does not end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
        }
        read
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.poll_socket(|stream| stream.poll_write(context, bytes));
        self.count_written(&result, std::iter::once(bytes));
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = self.poll_socket(|stream| stream.poll_write_vectored(context, parts));
        self.count_written(&result, parts.iter().map(|part| &**part));
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(TcpStream::is_write_vectored)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_socket(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_socket(|stream| stream.poll_shutdown(context))
    }
}
