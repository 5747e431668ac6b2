//! A model engine: streams of events that can be resumed, copies of runs, and its faults.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::sync::watch;

use crate::endless::Endless;
use crate::http::{Connection, Message, Process};
use crate::loopback;
use crate::signals::Signals;
use crate::spoilt::Spoilt;

/// How an engine misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It says nothing more, on any channel.
    Dark,
    /// It answers its state, and makes no more events.
    Stuck,
    /// It has put all runs out of its memory: they wait, its state names none of them, and a call about
    /// one finds none.
    PutsOut,
    /// It makes events, and doesn't answer its state.
    Mute,
    /// It makes events, and answers its state late, as a full one does.
    Late,
    /// It makes events, and resets every connection that asks for its state, as one beyond its bound.
    Crowded,
    /// It closes every channel in the middle of an event.
    Torn,
    /// It refuses everything as full.
    Full,
    /// It ends streams early without their last chunk.
    Cut,
    /// Its answers have neither a length nor chunks, and end with their channel.
    Unframed,
    /// It lives, has lost the run, and leaves the connection open without a word.
    Forgets,
    /// It works on new requests, and nothing of their answers is sent.
    LosesAnswers,
    /// It resets the channel of a new request at once.
    TornAtOnce,
    /// The bytes of its answers to new requests never end.
    Endless(Endless),
    /// The bytes of its state never end.
    EndlessState(Endless),
    /// It closes its channel after so many bytes of an answer's head.
    CutHead(usize),
    /// The heads of its answers to new requests are spoilt.
    Spoilt(Spoilt),
}

/// What an engine does when it is told to stop a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StopFault {
    /// It stops it and answers.
    #[default]
    None,
    /// It answers with an error so often, and goes on with the run.
    Refuses(u32),
    /// It says nothing so often, and goes on with the run.
    Ignores(u32),
    /// It stops it, and answers late.
    AnswersLate,
}

/// Work on a request from its first event on.
#[derive(Debug, Clone)]
pub struct Work {
    /// The request.
    pub id: String,
    /// When it began.
    pub began: Instant,
    /// When it ended.
    pub ended: Option<Instant>,
}

/// What an engine was asked, for the checks of a test.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The request.
    pub request: Message,
    /// The address that it came from.
    pub source: Option<IpAddr>,
    /// When it came.
    pub at: Instant,
    /// Whether it ran.
    pub ran: bool,
    /// Whether it went on from a copy.
    pub from_copy: bool,
    /// The version of the software that it came to.
    pub version: String,
    /// Whether an event was made of it.
    pub has_events: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    signals: Signals,
    seen: Vec<Seen>,
    /// The version of its software.
    version: String,
    /// Runs of this engine and copies that lie here, by request, with the events made.
    runs: BTreeMap<String, u64>,
    copies: BTreeMap<String, u64>,
    /// How long a prompt takes that isn't in memory.
    read_ms: u64,
    /// The id of a later incarnation, if it has crashed and come back.
    reborn: Option<String>,
    /// Parts of prompts that lie in memory.
    kept: BTreeSet<String>,
    /// Requests that this incarnation works on.
    working: usize,
    /// How often it has come back: runs of earlier incarnations may end after that.
    incarnation: u64,
    /// A request with this body ends the process a moment after its run has begun.
    crashes_on: Option<Vec<u8>>,
    /// Requests with these parts end the process as they begin to be answered.
    bad_parts: Vec<(String, CrashPoint)>,
    /// The ends of the process by parts of prompts.
    crashes: Vec<PartCrash>,
    /// Whether it works on when the channel of a request has closed.
    works_on: bool,
    /// Whether its events name the version of its software, in a line of comment.
    names_version: bool,
    stop_fault: StopFault,
    /// Runs that it was told to stop.
    stopped: BTreeSet<String>,
    /// Runs about which a call is in progress.
    moving: BTreeSet<String>,
    /// What it worked on.
    works: Vec<Work>,
}

/// The end of an engine's process by a part of a prompt.
#[derive(Debug, Clone)]
pub struct PartCrash {
    /// The part.
    pub part: String,
    /// When it ended.
    pub at: Instant,
}

/// How far an answer has come when a part of its prompt ends the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// Its head was not sent.
    BeforeHead,
    /// Its head was sent.
    AfterHead,
    /// A piece of its first event was sent, without length or chunks.
    InFirstEvent,
    /// Whole events were sent, without length or chunks.
    BetweenEvents,
}

impl State {
    /// Counts a run; returns the incarnation that it belongs to.
    fn begin(&mut self) -> u64 {
        self.working += 1;
        self.incarnation
    }

    /// Forgets a run, and counts it no more unless its incarnation's count has ended already.
    fn end(&mut self, id: &str, incarnation: u64) {
        self.runs.remove(id);
        let is_open = |work: &&mut Work| work.id == id && work.ended.is_none();
        if let Some(work) = self.works.iter_mut().find(is_open) {
            work.ended = Some(Instant::now());
        }
        if self.incarnation == incarnation {
            self.working -= 1;
        }
    }
}

/// A running engine; cloning shares it.
#[derive(Clone)]
pub struct EngineFake {
    /// Its id in the list of servers.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its process.
    pub process: Process,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    peers: Arc<Mutex<Vec<EngineFake>>>,
    /// The time between two events.
    pub step_ms: u64,
}

/// The version of engines that are told none.
const VERSION: &str = "v1";
/// How many events a stream has.
pub const EVENTS: u64 = 20;
/// How many events a stream without length or chunks has when its engine crashes between two.
const UNFRAMED_EVENTS: u64 = 3;
/// How late the answer of a call that stops a run may be.
const LATE_STOP: Duration = Duration::from_millis(600);
/// How late a state may be.
const LATE_STATE: Duration = Duration::from_millis(250);
/// How long a run that ends its engine's process has been under way by then.
const CRASH_AFTER: Duration = Duration::from_millis(60);
/// How long a prompt takes at first.
const READ_MS: u64 = 60;

/// What a line of comment that names a version begins with.
pub const VERSION_COMMENT: &str = ": version ";

/// The text of one event of a request: whoever mixes requests up is found out.
pub fn event(prompt_part: &str, id: u64) -> String {
    format!("id: {id}\ndata: {prompt_part}.{id}\n\n")
}

impl EngineFake {
    /// Starts one.
    pub async fn start(id: &str, step_ms: u64) -> EngineFake {
        let version = VERSION.to_owned();
        let state = State { read_ms: READ_MS, version, ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let changed = Arc::new(watch::Sender::new(0));
        let peers: Arc<Mutex<Vec<EngineFake>>> = Arc::default();
        let mut fake = EngineFake {
            id: id.to_owned(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            process: Process::default(),
            state,
            changed,
            peers,
            step_ms,
        };
        fake.addr = fake.listen(&loopback::own_addr()).await;
        fake
    }

    /// Starts the process that serves its connections; returns its address.
    async fn listen(&self, addr: &str) -> SocketAddr {
        let served = self.clone();
        let serve = move |connection| served.clone().serve(connection);
        self.process.start(addr, serve).await
    }

    /// Has requests with this body end its process a moment after their run has begun.
    pub fn crash_on(&self, body: &[u8]) {
        self.lock().crashes_on = Some(body.to_vec());
    }

    /// Has requests with a part, other than the last, end its process as they begin to be answered.
    pub fn crash_on_part(&self, part: &str, point: CrashPoint) {
        self.lock().bad_parts.push((part.to_owned(), point));
    }

    /// The ends of its process by parts of prompts.
    pub fn crashes(&self) -> Vec<PartCrash> {
        self.lock().crashes.clone()
    }

    /// Starts again after a crash, at its address.
    pub async fn restart(&self, id: &str) {
        self.come_back(id);
        self.listen(&self.addr.to_string()).await;
    }

    /// The part of a request's prompt that ends the process, and the point, if one does.
    fn bad_part(&self, request: &Message) -> Option<(String, CrashPoint)> {
        let parts = shared_parts_of(request);
        let state = self.lock();
        state.bad_parts.iter().find(|(part, _)| parts.contains(part)).cloned()
    }

    fn crash(&self, part: &str) {
        self.lock().crashes.push(PartCrash { part: part.to_owned(), at: Instant::now() });
        self.process.crash();
    }

    /// The same engine as it is known by another address.
    pub fn at(&self, addr: SocketAddr) -> EngineFake {
        EngineFake { addr, ..self.clone() }
    }

    /// Makes the others known, for copies.
    pub fn meet(&self, others: &[EngineFake]) {
        *self.peers.lock().expect("no holder panics") = others.to_vec();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Misbehaves from now on.
    pub fn fail(&self, fault: Fault) {
        self.lock().fault = fault;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Says so in all answers from now on.
    pub fn signal(&self, signals: Signals) {
        self.lock().signals = signals;
    }

    /// Takes so long for each prompt from now on.
    pub fn read_for(&self, read_ms: u64) {
        self.lock().read_ms = read_ms;
    }

    /// Comes back from a crash as another incarnation with empty memory.
    pub fn come_back(&self, id: &str) {
        let mut state = self.lock();
        let now = Instant::now();
        state.works.iter_mut().for_each(|work| work.ended = work.ended.or(Some(now)));
        *state = State {
            works_on: state.works_on,
            names_version: state.names_version,
            read_ms: state.read_ms,
            seen: std::mem::take(&mut state.seen),
            version: std::mem::take(&mut state.version),
            reborn: Some(id.to_owned()),
            incarnation: state.incarnation + 1,
            crashes_on: state.crashes_on.take(),
            bad_parts: std::mem::take(&mut state.bad_parts),
            crashes: std::mem::take(&mut state.crashes),
            works: std::mem::take(&mut state.works),
            ..State::default()
        };
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// The id of its present incarnation.
    pub fn current_id(&self) -> String {
        self.lock().reborn.clone().unwrap_or_else(|| self.id.clone())
    }

    /// The version of its software.
    pub fn version(&self) -> String {
        self.lock().version.clone()
    }

    /// Runs another version of its software from now on.
    pub fn set_version(&self, version: &str) {
        self.lock().version = version.to_owned();
    }

    /// What it was asked.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// What it was asked since the last time that this was asked.
    pub fn take_seen(&self) -> Vec<Seen> {
        std::mem::take(&mut self.lock().seen)
    }

    /// Requests that it works on.
    pub fn working(&self) -> usize {
        self.lock().working
    }

    /// Names the version of its software in its events from now on, each in a line of comment.
    pub fn name_versions(&self) {
        self.lock().names_version = true;
    }

    /// Works on from now on when the channel of a request has closed.
    pub fn work_on(&self) {
        self.lock().works_on = true;
    }

    /// Does so from now on when it is told to stop a run.
    pub fn stop_so(&self, fault: StopFault) {
        self.lock().stop_fault = fault;
    }

    /// What it has worked on.
    pub fn works(&self) -> Vec<Work> {
        self.lock().works.clone()
    }

    /// What it has worked on; forgets what has ended.
    pub fn take_works(&self) -> Vec<Work> {
        let mut state = self.lock();
        let works = state.works.clone();
        state.works.retain(|work| work.ended.is_none());
        works
    }

    /// The most events that a run here has made.
    pub fn made(&self) -> u64 {
        self.lock().runs.values().copied().max().unwrap_or(0)
    }

    async fn serve(self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request().await {
            let fault = self.lock().fault;
            let served = match (fault, request.path()) {
                (Fault::Dark, _) => return std::future::pending().await,
                (Fault::Mute, "/siskinrock/report") => return std::future::pending().await,
                (Fault::EndlessState(endless), "/siskinrock/report") => {
                    endless.write(&mut connection, "").await
                }
                (Fault::Crowded, "/siskinrock/report") => return connection.reset(),
                (Fault::Late, "/siskinrock/report") => {
                    tokio::time::sleep(LATE_STATE).await;
                    let body = self.report();
                    connection.answer(200, &[], body.to_string().as_bytes()).await
                }
                (_, "/siskinrock/report") => {
                    let body = self.report();
                    connection.answer(200, &[], body.to_string().as_bytes()).await
                }
                (_, "/healthz") => {
                    let id = self.current_id();
                    connection.answer(200, &[("X-Instance-Id", &*id)], b"").await
                }
                (_, "/siskinrock/kv-list") => {
                    let held: Vec<_> =
                        self.lock().kept.iter().map(|part| json!(["", part, 80, "m"])).collect();
                    let body = json!({"epoch": 1, "next": 1, "held": held}).to_string();
                    connection.answer(200, &[], body.as_bytes()).await
                }
                (_, "/siskinrock/kv-move") => self.copy(&mut connection, &request).await,
                (_, path) if path.starts_with("/siskinrock/kv-handle/") => {
                    self.release(path);
                    connection.answer(200, &[], b"").await
                }
                _ => self.stream(&mut connection, &request).await,
            };
            match served {
                Ok(()) => {}
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionAborted => {
                    return connection.reset();
                }
                Err(_) => return,
            }
        }
    }

    /// What it says of itself: runs are named from their first event on.
    fn report(&self) -> serde_json::Value {
        let state = self.lock();
        let is_named = state.fault != Fault::PutsOut;
        let runs = state.runs.iter().filter(|_| is_named);
        let runs: Vec<_> = runs.map(|(id, made)| json!([id, 80, made, 5])).collect();
        json!({"stage": "both", "models": [{"name": "m"}], "queued": 0,
            "active": state.working, "runs": runs})
    }

    async fn copy(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let target = body["target"].as_str().unwrap_or_default().to_owned();
        let is_final = body["final"].as_bool().unwrap_or_default();
        if self.lock().moving.contains(&id) {
            return connection.answer(409, &[], b"{}").await;
        }
        if is_final && let Some(answered) = self.fail_to_stop(connection).await {
            return answered;
        }
        let is_out = self.lock().fault == Fault::PutsOut;
        let made = self.lock().runs.get(&id).copied().filter(|_| !is_out);
        let Some(made) = made else { return connection.answer(404, &[], b"{}").await };
        if is_final {
            self.note_stop(&id);
            if self.lock().stop_fault == StopFault::AnswersLate {
                self.lock().moving.insert(id.clone());
                tokio::time::sleep(LATE_STOP).await;
                self.lock().moving.remove(&id);
            }
        }
        for peer in self.peers.lock().expect("no holder panics").iter() {
            if peer.addr.to_string() == target {
                peer.lock().copies.insert(id.clone(), made);
            }
        }
        let body = json!({"handle": id, "created": made}).to_string();
        connection.answer(200, &[], body.as_bytes()).await
    }

    /// Frees a copy here and where it lies.
    fn release(&self, path: &str) {
        let id = path.rsplit('/').next().unwrap_or_default();
        self.lock().copies.remove(id);
        let others = self.peers.lock().expect("no holder panics").clone();
        others.iter().filter(|peer| !Arc::ptr_eq(&peer.state, &self.state)).for_each(|peer| {
            peer.lock().copies.remove(id);
        });
    }

    fn note_stop(&self, id: &str) {
        let mut state = self.lock();
        state.runs.remove(id);
        state.stopped.insert(id.to_owned());
    }

    /// Misbehaves when it is told to stop a run, if it is to.
    async fn fail_to_stop(&self, connection: &mut Connection) -> Option<std::io::Result<()>> {
        let fault = {
            let mut state = self.lock();
            let fault = state.stop_fault;
            if let StopFault::Refuses(times) | StopFault::Ignores(times) = &mut state.stop_fault {
                *times = times.saturating_sub(1);
            }
            fault
        };
        match fault {
            StopFault::Refuses(1..) => Some(connection.answer(500, &[], b"{}").await),
            StopFault::Ignores(1..) => std::future::pending().await,
            _ => None,
        }
    }

    async fn stream(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let expected = request.header("x-expect-instance").map(str::to_owned);
        let copy = request.header("kv-from").map(str::to_owned);
        let has_copy = copy.as_ref().is_some_and(|name| self.takes_copy(name));
        let fault = self.lock().fault;
        let refused = match (&expected, &copy) {
            (Some(expected), _) if *expected != self.current_id() => Some(421),
            (_, Some(_)) if !has_copy => Some(503),
            _ => (fault == Fault::Full).then_some(503),
        };
        let seen = Seen {
            request: request.clone(),
            source: connection.source(),
            at: Instant::now(),
            ran: refused.is_none(),
            from_copy: has_copy,
            version: self.version(),
            has_events: false,
        };
        self.lock().seen.push(seen);
        if let Some(status) = refused {
            let said = self.lock().signals.refusing();
            let mut headers = vec![("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
            headers.extend(said.iter().map(|(name, value)| (*name, value.as_str())));
            return connection.answer(status, &headers, b"").await;
        }
        let incarnation = self.lock().begin();
        // An earlier run of the request may have been stopped here.
        self.lock().stopped.remove(&id);
        let ended = self.run(connection, request, &id, has_copy).await;
        if ended.is_err() && self.lock().works_on && self.is_alive(&id, incarnation) {
            let (engine, request) = (self.clone(), request.clone());
            tokio::spawn(async move { engine.finish_alone(&request, &id, incarnation).await });
            return ended;
        }
        self.lock().end(&id, incarnation);
        if self.lock().fault == Fault::Forgets {
            return std::future::pending().await;
        }
        ended
    }

    fn comment(&self) -> String {
        let state = self.lock();
        if state.names_version {
            format!("{VERSION_COMMENT}{}\n", state.version)
        } else {
            String::new()
        }
    }

    /// Whether a run has neither been stopped nor ended with its process.
    fn is_alive(&self, id: &str, incarnation: u64) -> bool {
        let state = self.lock();
        state.incarnation == incarnation
            && !state.stopped.contains(id)
            && !self.process.has_crashed()
    }

    /// Works on a request whose channel has closed.
    async fn finish_alone(&self, request: &Message, id: &str, incarnation: u64) {
        let made = self.lock().runs.get(id).copied();
        if made.is_none() {
            let read_ms = self.lock().read_ms;
            tokio::time::sleep(Duration::from_millis(read_ms)).await;
        }
        let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        for number in made.or(last).unwrap_or(0) + 1..=EVENTS {
            tokio::time::sleep(Duration::from_millis(self.step_ms)).await;
            if !self.is_alive(id, incarnation) {
                break;
            }
            self.note_progress(request, id, number);
        }
        self.lock().end(id, incarnation);
    }

    fn takes_copy(&self, name: &str) -> bool {
        let id = name.rsplit('/').next().unwrap_or_default();
        self.lock().copies.remove(id).is_some()
    }

    async fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        has_copy: bool,
    ) -> std::io::Result<()> {
        let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        let part = part_of(request);
        self.lock().kept.insert(part.clone());
        if self.lock().fault == Fault::TornAtOnce {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let is_lost = self.lock().fault == Fault::LosesAnswers;
        if !has_copy {
            let read_ms = self.lock().read_ms;
            self.pause(read_ms, connection).await?;
        }
        match self.lock().fault {
            Fault::Torn => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            Fault::Forgets => return Ok(()),
            _ => {}
        }
        let bad_part = self.bad_part(request);
        let crash_point = bad_part.as_ref().map(|(_, point)| *point);
        let bad_part = bad_part.map(|(part, _)| part).unwrap_or_default();
        if crash_point == Some(CrashPoint::BeforeHead) {
            self.crash(&bad_part);
            return std::future::pending().await;
        }
        let fault = self.lock().fault;
        let named = if id.is_empty() { String::new() } else { format!("X-Request-Id: {id}\r\n") };
        let framing = match crash_point {
            Some(CrashPoint::InFirstEvent | CrashPoint::BetweenEvents) => "Connection: close",
            _ if fault == Fault::Unframed => "Connection: close",
            _ => "Transfer-Encoding: chunked",
        };
        let said = self.lock().signals.headers();
        let said: String =
            said.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{named}\
             X-Response-Signature: {}\r\n{said}{framing}\r\n\r\n",
            self.id
        );
        if let Fault::Endless(endless) = fault {
            return endless.write(connection, id).await;
        }
        if let Fault::CutHead(bytes) = fault {
            connection.write(&head.as_bytes()[..bytes.min(head.len())]).await?;
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        if let Fault::Spoilt(spoilt) = fault {
            return self.run_spoilt(connection, request, spoilt).await;
        }
        if !is_lost {
            connection.write(head.as_bytes()).await?;
        }
        if self.lock().crashes_on.as_ref() == Some(&request.body) {
            tokio::time::sleep(CRASH_AFTER).await;
            self.process.crash();
            return std::future::pending().await;
        }
        if crash_point.is_some() {
            tokio::time::sleep(CRASH_AFTER).await;
            if crash_point == Some(CrashPoint::InFirstEvent) {
                connection.write(b"id: 1\ndata: ").await?;
            }
            if crash_point == Some(CrashPoint::BetweenEvents) {
                for number in 1..=UNFRAMED_EVENTS {
                    connection.write(event(&part, number).as_bytes()).await?;
                    self.note_progress(request, id, number);
                }
                tokio::time::sleep(CRASH_AFTER).await;
            }
            self.crash(&bad_part);
            return std::future::pending().await;
        }
        for number in last.unwrap_or(0).saturating_add(1)..=EVENTS {
            self.pause(self.step_ms, connection).await?;
            if self.lock().stopped.contains(id) {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let text = self.comment() + &event(&part, number);
            let fault = self.lock().fault;
            if fault == Fault::Torn {
                connection.write(&chunk(&text[..text.len() / 2])).await?;
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            if fault == Fault::Forgets {
                return Ok(());
            }
            if fault == Fault::Cut {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let framed = if fault == Fault::Unframed { text.into_bytes() } else { chunk(&text) };
            if !is_lost {
                connection.write(&framed).await?;
            }
            self.note_progress(request, id, number);
        }
        if is_lost {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        if self.lock().fault == Fault::Unframed {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        connection.write(b"0\r\n\r\n").await
    }

    /// Writes a whole stream at once behind a spoilt head.
    async fn run_spoilt(
        &self,
        connection: &mut Connection,
        request: &Message,
        spoilt: Spoilt,
    ) -> std::io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default();
        let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        let part = part_of(request);
        let text: String = (last.unwrap_or(0) + 1..=EVENTS).map(|id| event(&part, id)).collect();
        let fields = format!(
            "Content-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Response-Signature: {}\r\n",
            self.id
        );
        let mut bytes = spoilt.head(&fields, text.len());
        bytes.extend_from_slice(&spoilt.body(text.as_bytes()));
        connection.write(&bytes).await?;
        for number in last.unwrap_or(0) + 1..=EVENTS {
            self.note_progress(request, id, number);
        }
        if spoilt.is_last() { Err(std::io::ErrorKind::BrokenPipe.into()) } else { Ok(()) }
    }

    /// Notes an event, here and where the copy grows.
    fn note_progress(&self, request: &Message, id: &str, number: u64) {
        let mut state = self.lock();
        let is_first = state.runs.insert(id.to_owned(), number).is_none();
        if is_first {
            state.works.push(Work { id: id.to_owned(), began: Instant::now(), ended: None });
        }
        let is_same = |seen: &&mut Seen| seen.request.header("x-request-id") == Some(id);
        if let Some(seen) = state.seen.iter_mut().rev().find(is_same) {
            seen.has_events = true;
        }
        drop(state);
        let Some(target) = request.header("x-kv-backup") else { return };
        for peer in self.peers.lock().expect("no holder panics").iter() {
            if peer.addr.to_string() == target {
                peer.lock().copies.insert(id.to_owned(), number);
            }
        }
    }

    /// Waits, for as long as it is dark or stuck; fails if the caller has left meanwhile.
    async fn pause(&self, wait_ms: u64, connection: &Connection) -> std::io::Result<()> {
        let mut changed = self.changed.subscribe();
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        while matches!(self.lock().fault, Fault::Dark | Fault::Stuck | Fault::PutsOut) {
            tokio::select! {
                _ = changed.changed() => {}
                // Nothing more is sent by the caller: what becomes readable is its end.
                _ = connection.stream.readable() => {
                    return Err(std::io::ErrorKind::BrokenPipe.into());
                }
            }
        }
        let mut probe = [0; 1];
        match connection.stream.try_read(&mut probe) {
            Ok(0) => Err(std::io::ErrorKind::BrokenPipe.into()),
            _ => Ok(()),
        }
    }
}

/// The parts of a request's prompt but for the last, which is its own.
pub fn shared_parts_of(request: &Message) -> Vec<String> {
    let parts = request.header("x-prompt-prefix").unwrap_or_default().split(',');
    let names = parts.filter_map(|part| part.split(':').next()).map(str::to_owned);
    let mut names: Vec<String> = names.collect();
    names.pop();
    names
}

/// The request's own part of its prompt.
pub fn part_of(request: &Message) -> String {
    let parts = request.header("x-prompt-prefix").unwrap_or_default();
    parts.rsplit(',').next().and_then(|part| part.split(':').next()).unwrap_or_default().to_owned()
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
