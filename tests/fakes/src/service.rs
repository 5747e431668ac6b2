//! A plain service: calls that run once each time they arrive, and its faults.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

use crate::endless::Endless;
use crate::engine::Seen;
use crate::http::{self, Connection, Message, Process};
use crate::loopback;
use crate::signals::Signals;
use crate::spoilt::Spoilt;

/// How a service misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It runs the call and resets the channel.
    LostAnswer,
    /// It answers, and answers once more a moment later.
    ExtraAnswer,
    /// It sends half of its body and closes.
    Truncated,
    /// It refuses without running.
    Full,
    /// It refuses without running, after the time that a call takes.
    LateFull,
    /// It runs the call and answers 500.
    Error,
    /// It runs the call and doesn't answer.
    Mute,
    /// It answers before it has read the body.
    Early,
    /// It answers for another request.
    Crossed,
    /// Its answers have no length: it writes them in pieces, and closes the channel at their end.
    Unframed,
    /// The bytes of its answers never end.
    Endless(Endless),
    /// It closes its channel after so many bytes of an answer's head.
    CutHead(usize),
    /// The heads of its answers are spoilt.
    Spoilt(Spoilt),
    /// It answers a call whose body it hasn't read, without a length, and closes the channel after a
    /// part of its own body.
    EarlyPart,
}

/// How its process ends while it writes an answer without a length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceCrash {
    /// Nothing listens there any more.
    Gone,
    /// Another process, with this id, is at its address at once.
    Replaced(&'static str),
    /// Its listener takes connections for a moment longer than its channels, and serves none.
    ListenerLingers,
}

/// What it does when it is asked for its health.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Health {
    /// It answers with its id.
    #[default]
    Well,
    /// It answers that it is full, without its id.
    Full,
    /// It does so once the question's time is over.
    FullLate,
    /// It resets the channel this often, and is well then.
    Resets(u32),
    /// It says nothing.
    Silent,
}

/// An answer that named the rate that the service takes.
#[derive(Debug, Clone, Copy)]
pub struct RateTold {
    /// The address that the request came from.
    pub source: IpAddr,
    /// When it was written.
    pub at: Instant,
}

/// What fells a service.
#[derive(Debug, Clone, Copy)]
pub struct Brittle {
    /// Requests turned away in a second that it bears.
    pub bound: u32,
    /// Requests that it runs at once.
    pub places: usize,
    /// Requests that it lets wait.
    pub waiting: usize,
}

/// A service that may fall over.
#[derive(Debug)]
struct Falling {
    brittle: Brittle,
    /// From when on it falls over.
    from: Instant,
    places: Arc<Semaphore>,
    /// Requests that run or wait.
    present: usize,
    rejected: VecDeque<Instant>,
    falls: usize,
}

impl Falling {
    /// Counts a request that is turned away. Returns whether that was one too many.
    fn reject(&mut self) -> bool {
        let now = Instant::now();
        self.rejected.push_back(now);
        self.rejected.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        let falls = now >= self.from && self.rejected.len() > self.brittle.bound as usize;
        self.falls += usize::from(falls);
        falls
    }
}

#[derive(Debug, Default)]
struct State {
    falling: Option<Falling>,
    fault: Fault,
    signals: Signals,
    seen: Vec<Seen>,
    rate_told: Vec<RateTold>,
    /// The load that its answers tell instead of the usual one.
    load: Option<String>,
    /// How long a call takes.
    work_ms: u64,
    /// How much longer its answers are.
    more_bytes: usize,
    /// A call with this body ends the process.
    crashes_on: Option<Vec<u8>>,
    /// How the process ends during the next answer without a length, and after how many pieces.
    piece_crash: Option<(usize, PieceCrash)>,
    /// The id of another process that has its address.
    reborn: Option<String>,
    /// Whether its listener takes connections and nobody serves them.
    is_lingering: bool,
    /// The status of answers without a length.
    unframed_status: u16,
    health: Health,
    /// The request after whose answer stray bytes follow, once the next request is read from its
    /// channel, and these bytes.
    stray: Option<(String, Vec<u8>)>,
    /// How often it was asked for its health.
    health_checks: usize,
}

/// A running service; cloning shares it.
#[derive(Clone)]
pub struct ServiceFake {
    /// Its id in the list of servers.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its process.
    pub process: Process,
    state: Arc<Mutex<State>>,
}

/// What a service says of its state, to whoever asks whether it lives: no call runs for that.
const REPORT: &str = r#"{"stage": "both", "models": [], "queued": 0, "active": 0}"#;
/// How long it is away after it fell over.
const FALLEN: Duration = Duration::from_secs(2);
/// How long a call takes at first.
const WORK_MS: u64 = 5;
/// How many pieces an answer without a length has, and the time before each.
pub const PIECES: usize = 4;
const PIECE_MS: u64 = 10;
/// How much longer than its channels a listener may take connections.
const LINGER: Duration = Duration::from_millis(200);
/// How long a question may wait for a slot.
const QUESTION_TIME: Duration = Duration::from_millis(600);
/// How long after the end of an early answer its channel is reset.
const EARLY_PAUSE: Duration = Duration::from_millis(20);
/// How long after an answer the extra one comes.
const EXTRA_MS: u64 = 2;

impl ServiceFake {
    /// Starts one.
    pub async fn start(id: &str) -> ServiceFake {
        let state = State { work_ms: WORK_MS, unframed_status: 200, ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let mut fake = ServiceFake {
            id: id.to_owned(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            process: Process::default(),
            state,
        };
        fake.addr = fake.listen(&loopback::own_addr()).await;
        fake
    }

    async fn listen(&self, addr: &str) -> SocketAddr {
        let served = self.clone();
        let serve = move |connection| served.clone().serve(connection);
        self.process.start(addr, serve).await
    }

    /// Starts its process again, as another incarnation under a new id.
    pub async fn restart(&mut self, id: &str) {
        self.id = id.to_owned();
        self.listen(&self.addr.to_string()).await;
    }

    /// Starts its process again after a crash, at its address under a new id.
    pub async fn come_back(&self, id: &str) {
        self.lock().reborn = Some(id.to_owned());
        self.listen(&self.addr.to_string()).await;
    }

    /// Whether its process has ended.
    pub fn has_crashed(&self) -> bool {
        self.process.has_crashed()
    }

    /// Has limited room from now on, and falls over from a time on.
    pub fn be_brittle(&self, brittle: Brittle, from: Instant) {
        let places = Arc::new(Semaphore::new(brittle.places));
        let (present, rejected, falls) = (0, VecDeque::new(), 0);
        self.lock().falling = Some(Falling { brittle, from, places, present, rejected, falls });
    }

    /// How often it fell over.
    pub fn falls(&self) -> usize {
        self.lock().falling.as_ref().map_or(0, |falling| falling.falls)
    }

    /// Comes back some time after it fell over.
    fn fall(&self) {
        let fallen = self.clone();
        tokio::spawn(async move {
            fallen.process.crash();
            if let Some(falling) = &mut fallen.lock().falling {
                falling.present = 0;
                falling.places = Arc::new(Semaphore::new(falling.brittle.places));
                falling.rejected.clear();
            }
            tokio::time::sleep(FALLEN).await;
            fallen.listen(&fallen.addr.to_string()).await;
        });
    }

    /// Whether there is room for one more request, which then counts as present.
    fn enter(&self) -> Option<Arc<Semaphore>> {
        let mut state = self.lock();
        let Some(falling) = &mut state.falling else { return Some(Arc::new(Semaphore::new(1))) };
        if falling.present >= falling.brittle.places + falling.brittle.waiting {
            return None;
        }
        falling.present += 1;
        Some(Arc::clone(&falling.places))
    }

    fn leave(&self) {
        if let Some(falling) = &mut self.lock().falling {
            falling.present = falling.present.saturating_sub(1);
        }
    }

    /// Has calls with this body end its process.
    pub fn crash_on(&self, body: &[u8]) {
        self.lock().crashes_on = Some(body.to_vec());
    }

    /// The id of its present process.
    pub fn current_id(&self) -> String {
        self.lock().reborn.clone().unwrap_or_else(|| self.id.clone())
    }

    /// Has its process end during the next answer without a length, after so many pieces.
    pub fn crash_after_pieces(&self, pieces: usize, how: PieceCrash) {
        self.lock().piece_crash = Some((pieces, how));
    }

    /// Whether that has happened.
    pub fn has_crashed_in_an_answer(&self) -> bool {
        self.lock().piece_crash.is_none()
    }

    /// Answers without a length with this status from now on.
    pub fn answer_unframed_with(&self, status: u16) {
        self.lock().unframed_status = status;
    }

    /// Writes stray bytes where the next answer is due on the channel of a request.
    pub fn follow_answer_of(&self, id: &str, stray: Vec<u8>) {
        self.lock().stray = Some((id.to_owned(), stray));
    }

    /// Is so when it is asked for its health, from now on.
    pub fn be(&self, health: Health) {
        self.lock().health = health;
    }

    /// How often it was asked for its health.
    pub fn health_checks(&self) -> usize {
        self.lock().health_checks
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Misbehaves from now on.
    pub fn fail(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Says so in all answers from now on.
    pub fn signal(&self, signals: Signals) {
        self.lock().signals = signals;
    }

    /// Tells this load from now on.
    pub fn tell_load(&self, load: &str) {
        self.lock().load = Some(load.to_owned());
    }

    /// Takes so long for each call from now on.
    pub fn work_for(&self, work_ms: u64) {
        self.lock().work_ms = work_ms;
    }

    /// Reports this slowness with its load from now on.
    pub fn report_slowness(&self, percent: u32) {
        self.lock().signals.slowness_percent = Some(percent);
    }

    /// Makes answers so much longer from now on.
    pub fn answer_more(&self, more_bytes: usize) {
        self.lock().more_bytes = more_bytes;
    }

    /// Whom it has told its rate, and when.
    pub fn rate_told(&self) -> Vec<RateTold> {
        self.lock().rate_told.clone()
    }

    fn note_rate_told(&self, connection: &Connection) {
        let mut state = self.lock();
        if let (Some(_), Some(source)) = (state.signals.limit_per_s, connection.source()) {
            state.rate_told.push(RateTold { source, at: Instant::now() });
        }
    }

    /// What it was asked.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// What it was asked since the last time that this was asked.
    pub fn take_seen(&self) -> Vec<Seen> {
        std::mem::take(&mut self.lock().seen)
    }

    async fn serve(self, mut connection: Connection) {
        let mut stray: Option<Vec<u8>> = None;
        if self.lock().fault == Fault::EarlyPart {
            return self.answer_early(connection).await;
        }
        while let Ok(Some(request)) = connection.read_request().await {
            if let Some(bytes) = stray.take()
                && connection.write(&bytes).await.is_err()
            {
                return;
            }
            let id = request.header("x-request-id").unwrap_or_default();
            let follows = self.lock().stray.take_if(|(after, _)| *after == id);
            stray = follows.map(|(_, bytes)| bytes);
            let fault = self.lock().fault;
            if self.lock().is_lingering {
                return std::future::pending().await;
            }
            if request.path() == "/siskinrock/report" {
                let answered = match fault {
                    Fault::Mute => return std::future::pending().await,
                    _ => connection.answer(200, &[], REPORT.as_bytes()).await,
                };
                if answered.is_err() {
                    return;
                }
                continue;
            }
            let expected = request.header("x-expect-instance");
            if request.path() == "/healthz" {
                let is_meant = expected.is_none_or(|expected| expected == self.current_id());
                let Some(back) = self.tell_health(connection, is_meant).await else { return };
                connection = back;
                continue;
            }
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            let refused = match expected {
                Some(expected) if expected != self.current_id() => Some(421),
                _ => (fault == Fault::Full).then_some(503),
            };
            let places = self.enter();
            let refused = refused.or(places.is_none().then_some(503));
            if places.is_none() && self.lock().falling.as_mut().is_some_and(Falling::reject) {
                self.fall();
            }
            let is_late = fault == Fault::LateFull;
            self.note(&request, connection.source(), refused.is_none() && !is_late);
            if let Some(status) = refused {
                if places.is_some() {
                    self.leave();
                }
                if self.refuse(&mut connection, &id, status).await.is_err() {
                    return;
                }
                self.note_rate_told(&connection);
                continue;
            }
            if self.lock().crashes_on.as_ref() == Some(&request.body) {
                self.process.crash();
                return std::future::pending().await;
            }
            let work_ms = self.lock().work_ms;
            if let Some(places) = places {
                let place = places.acquire().await;
                tokio::time::sleep(Duration::from_millis(work_ms)).await;
                drop(place);
                self.leave();
            }
            let answered = match fault {
                Fault::LateFull => self.refuse(&mut connection, &id, 503).await,
                Fault::LostAnswer => return connection.reset(),
                Fault::Endless(endless) => endless.write(&mut connection, &id).await,
                Fault::Mute => return std::future::pending().await,
                fault => self.reply(&mut connection, &id, fault).await,
            };
            if answered.is_err() {
                return;
            }
            self.note_rate_told(&connection);
        }
    }

    /// Answers the first request of a connection once its head was read, with a part of a body.
    async fn answer_early(&self, mut connection: Connection) {
        let Ok(Some(request)) = connection.read_head().await else { return };
        if request.path() == "/healthz" {
            let id = self.current_id();
            let _ = connection.answer(200, &[("X-Instance-Id", id.as_str())], b"").await;
            return;
        }
        self.note(&request, connection.source(), true);
        let id = request.header("x-request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 X\r\nConnection: close\r\nX-Request-Id: {id}\r\n\
             X-Response-Signature: {}\r\n\r\na part of the body",
            self.id
        );
        if connection.write(head.as_bytes()).await.is_ok() {
            let _ = connection.stream.shutdown().await;
            tokio::time::sleep(EARLY_PAUSE).await;
            connection.reset();
        }
    }

    /// Answers a health check; returns the connection, if it may carry another request.
    async fn tell_health(&self, mut connection: Connection, is_meant: bool) -> Option<Connection> {
        let health = {
            let mut state = self.lock();
            state.health_checks += 1;
            let health = state.health;
            if let Health::Resets(times) = &mut state.health {
                *times = times.saturating_sub(1);
            }
            health
        };
        let id = self.current_id();
        let id = [("X-Instance-Id", id.as_str())];
        let answered = match health {
            Health::Silent => std::future::pending().await,
            Health::Resets(1..) => {
                connection.reset();
                return None;
            }
            Health::Full => connection.answer(503, &[("X-Not-Executed", "1")], b"").await,
            Health::FullLate => {
                tokio::time::sleep(QUESTION_TIME).await;
                connection.answer(503, &[("X-Not-Executed", "1")], b"").await
            }
            Health::Well | Health::Resets(0) => {
                connection.answer(if is_meant { 200 } else { 421 }, &id, b"").await
            }
        };
        answered.is_ok().then_some(connection)
    }

    /// Writes an answer without a length, and ends its process meanwhile if it is told to.
    async fn write_pieces(
        &self,
        connection: &mut Connection,
        head: &[(&str, &str)],
        status: u16,
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut bytes = format!("HTTP/1.1 {status} X\r\nConnection: close\r\n").into_bytes();
        for (name, value) in head {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        connection.write(&bytes).await?;
        let size = body.len().div_ceil(PIECES).max(1);
        for (written, piece) in body.chunks(size).enumerate() {
            tokio::time::sleep(Duration::from_millis(PIECE_MS)).await;
            self.crash_if_due(written).await?;
            connection.write(piece).await?;
        }
        self.crash_if_due(PIECES).await?;
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    /// Ends its process if that is due after so many pieces of an answer.
    async fn crash_if_due(&self, pieces: usize) -> std::io::Result<()> {
        let due = self.lock().piece_crash.take_if(|(after, _)| *after == pieces);
        let Some((_, how)) = due else { return Ok(()) };
        match how {
            PieceCrash::Gone => {
                self.process.crash();
                return std::future::pending().await;
            }
            PieceCrash::Replaced(id) => self.lock().reborn = Some(id.to_owned()),
            PieceCrash::ListenerLingers => {
                self.lock().is_lingering = true;
                let process = self.process.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(LINGER).await;
                    process.crash();
                });
            }
        }
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn note(&self, request: &Message, source: Option<IpAddr>, ran: bool) {
        let seen = Seen {
            request: request.clone(),
            source,
            at: Instant::now(),
            ran,
            from_copy: false,
            version: String::new(),
            has_events: false,
        };
        self.lock().seen.push(seen);
    }

    async fn refuse(
        &self,
        connection: &mut Connection,
        id: &str,
        status: u16,
    ) -> std::io::Result<()> {
        let said = self.lock().signals.refusing();
        let mut headers = vec![("X-Not-Executed", "1"), ("X-Request-Id", id)];
        headers.extend(said.iter().map(|(name, value)| (*name, value.as_str())));
        connection.answer(status, &headers, b"").await
    }

    async fn reply(
        &self,
        connection: &mut Connection,
        id: &str,
        fault: Fault,
    ) -> std::io::Result<()> {
        let of = if fault == Fault::Crossed { "another" } else { id };
        let more = " ".repeat(self.lock().more_bytes);
        let body = format!("answer to {of} from {}{more}", self.id);
        let signature = self.id.clone();
        let signals = self.lock().signals;
        let told = self.lock().load.clone();
        let (said, load) = (signals.headers(), told.unwrap_or_else(|| signals.load()));
        let mut headers = vec![
            ("X-Request-Id", of),
            ("X-Response-Signature", signature.as_str()),
            ("X-Server-Load", load.as_str()),
            ("Keep-Alive", "timeout=4"),
        ];
        headers.extend(said.iter().map(|(name, value)| (*name, value.as_str())));
        let status = if fault == Fault::Error { 500 } else { 200 };
        if fault == Fault::Unframed {
            let status = self.lock().unframed_status;
            return self.write_pieces(connection, &headers, status, body.as_bytes()).await;
        }
        if let Fault::Spoilt(spoilt) = fault {
            let fields = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
            let mut bytes = spoilt.head(&fields.collect::<String>(), body.len());
            bytes.extend_from_slice(&spoilt.body(body.as_bytes()));
            connection.write(&bytes).await?;
            let is_last = spoilt.is_last();
            return if is_last { Err(std::io::ErrorKind::BrokenPipe.into()) } else { Ok(()) };
        }
        let bytes = http::encode(status, &headers, body.as_bytes());
        match fault {
            Fault::CutHead(bytes_sent) => {
                connection.write(&bytes[..bytes_sent.min(bytes.len())]).await?;
                Err(std::io::ErrorKind::BrokenPipe.into())
            }
            Fault::Truncated => {
                connection.write(&bytes[..bytes.len() - body.len() / 2]).await?;
                Err(std::io::ErrorKind::BrokenPipe.into())
            }
            Fault::ExtraAnswer => {
                connection.write(&bytes).await?;
                tokio::time::sleep(Duration::from_millis(EXTRA_MS)).await;
                connection.write(&bytes).await
            }
            _ => connection.write(&bytes).await,
        }
    }
}
