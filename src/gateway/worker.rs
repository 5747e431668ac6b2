//! One upstream as this instance's traffic sees it: its channels, what runs there, its failures.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::sync::watch;

use super::channel::{self, Channel};
use super::dialect::Load;
use super::fleet::{SoftwareVersion, Upstream};
use super::loads::Aged;
use super::policy::answer_end::Life;
use super::policy::answer_match::{AnswerMatch, ChannelHistory, Message};
use super::policy::identity::Identity;
use super::policy::speed::SpeedHistory;
use super::rate::Rate;
use super::shared_check::SharedCheck;
use crate::clock::Clock;

/// How long an upstream that broke off is kept out of placement, unless it answers: a check takes
/// a few milliseconds, and the next request makes one.
const BROKE_MS: u64 = 300;
/// How long an upstream that fell silent, or whose address another one has, is kept out unless it
/// answers: the list of upstreams drops those that are gone within this time.
const LOST_MS: u64 = 5_000;
/// The weight of the newest outcome in the part of failures.
const OUTCOME_WEIGHT: f64 = 0.1;
/// In what time the part of failures halves when nothing is sent.
const FORGIVE_MS: f64 = 2_000.0;
/// How old a load may be that the upstream itself told.
const LOAD_FRESH_MS: u64 = 400;
/// How long a channel is kept where the upstream says nothing: under the shortest usual timeout.
const KEEP_DEFAULT_MS: u64 = 1_500;
/// The part of the upstream's own timeout after which a channel isn't used any more, so that it is
/// not closed while a request is on its way.
const KEEP_PART: f64 = 0.6;
/// How long a connection may take: a round trip is a few milliseconds, and a lost first packet is
/// sent again only after a second.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// An upstream and what this instance has with it.
#[derive(Debug)]
pub struct Worker {
    /// What the list says of it.
    pub upstream: Upstream,
    /// The version of its software, which may be learnt later than its entry.
    version: RefCell<SoftwareVersion>,
    /// Requests of ours that run or wait there.
    pub runs: Cell<u32>,
    /// Copies of our runs that lie there.
    pub copies: Cell<u32>,
    /// Prompts of ours that it is reading.
    pub reading: Cell<u32>,
    /// Tokens of those prompts.
    pub pending_tokens: Cell<u64>,
    /// Part of the last seconds in which it read prompts of any instance, 0 to 1.
    pub reading_share: Cell<f64>,
    /// Tokens of memory that our runs and copies there take by their end.
    pub reserved_tokens: Cell<u64>,
    /// Grows each time it is found silent; those who wait for it then leave.
    pub silences: watch::Sender<u64>,
    /// Where connections to it come from.
    source: Option<IpAddr>,
    open: Cell<u32>,
    idle: RefCell<VecDeque<Idle>>,
    listed_ms: u64,
    leaving: Cell<bool>,
    replaced: Cell<bool>,
    superseded: Cell<bool>,
    nameless: Cell<bool>,
    proved: Cell<bool>,
    suspect_until_ms: Cell<u64>,
    lost_until_ms: Cell<u64>,
    has_exited: Cell<bool>,
    answered_ms: Cell<u64>,
    heard_ms: Cell<Option<u64>>,
    /// Whether an answer of it named the request that it belongs to.
    names_requests: Cell<bool>,
    failing: Cell<f64>,
    failing_ms: Cell<u64>,
    told: Cell<Option<Told>>,
    /// Whether an answer of it said that it is leaving.
    said_leaving: Cell<bool>,
    /// Whether it is checked again and again since it fell silent.
    is_checked: Cell<bool>,
    /// Until when it asked this instance to back off.
    backoff_until_ms: Cell<u64>,
    rate_limit: Cell<Option<Rate>>,
    /// When its last answer came, or a peer told a rate of it.
    rate_known_ms: Cell<u64>,
    throttled_until_ms: Cell<u64>,
    /// What this instance measured of its speed.
    pub speed: RefCell<SpeedHistory>,
    /// Its speed as last logged.
    pub logged_speed: Cell<LoggedSpeed>,
    /// Checks whether its process lives on after an answer.
    pub life_checks: SharedCheck<Life>,
    /// Checks who answers at its address.
    pub identity_checks: SharedCheck<Identity>,
}

/// The speed of an upstream that was logged, and when.
#[derive(Debug, Clone, Copy)]
pub struct LoggedSpeed {
    /// The speed; 1 is the median of its service.
    pub speed: f64,
    /// When it was logged.
    pub at_ms: u64,
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    history: ChannelHistory,
    until_ms: u64,
}

/// The load that an upstream last told.
#[derive(Debug, Clone, Copy)]
pub struct Told {
    /// The load.
    pub load: Load,
    /// When it was told.
    pub at_ms: u64,
    /// Requests of others in it.
    others: u32,
}

/// A channel in use; it is closed unless it is given back.
#[derive(Debug)]
pub struct Lease {
    /// The channel.
    pub channel: Channel,
    /// Whether it was opened for this lease.
    pub is_new: bool,
    message: Message,
    history: ChannelHistory,
    /// Whether a message was sent whose answer isn't known to be its own.
    awaits_answer: bool,
    _open: OpenGuard,
}

impl Lease {
    /// A channel that is to carry a message.
    fn new(channel: Channel, history: ChannelHistory, message: Message, open: OpenGuard) -> Lease {
        Lease { channel, is_new: false, message, history, awaits_answer: false, _open: open }
    }

    /// Sends the message and waits for the head of an answer.
    ///
    /// # Errors
    ///
    /// As [`Channel::send`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, channel::Fault> {
        self.history.note(self.message);
        self.awaits_answer = true;
        self.channel.send(request).await
    }

    /// Whether an answer belongs to the message that was sent. `sent` names the message, and
    /// `answered` the one that the answer names.
    pub fn judge(&mut self, sent: Option<&str>, answered: Option<&str>) -> AnswerMatch {
        let matched = self.history.judge(sent, answered);
        self.awaits_answer = !matched.proves_order(self.message);
        matched
    }
}

#[derive(Debug)]
struct OpenGuard(Rc<Worker>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Counts one more of something for as long as it lives.
#[derive(Debug)]
pub struct Count {
    worker: Rc<Worker>,
    what: What,
    tokens: u64,
}

/// What is counted at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// A request that runs or waits.
    Run,
    /// A copy of a run.
    Copy,
    /// A prompt that is being read.
    Reading,
}

impl Drop for Count {
    fn drop(&mut self) {
        let cell = self.worker.cell(self.what);
        cell.set(cell.get() - 1);
        let tokens = self.worker.tokens(self.what);
        tokens.set(tokens.get() - self.tokens);
    }
}

impl Worker {
    /// An upstream that nothing has been sent to.
    pub fn new(upstream: Upstream, now_ms: u64) -> Rc<Worker> {
        Worker::reached_from(None, upstream, now_ms)
    }

    /// The same, with connections from a local address.
    pub fn reached_from(source: Option<IpAddr>, upstream: Upstream, now_ms: u64) -> Rc<Worker> {
        Rc::new(Worker {
            source,
            runs: Cell::new(0),
            copies: Cell::new(0),
            reading: Cell::new(0),
            pending_tokens: Cell::new(0),
            reading_share: Cell::new(0.0),
            reserved_tokens: Cell::new(0),
            silences: watch::Sender::new(0),
            open: Cell::new(0),
            idle: RefCell::default(),
            listed_ms: now_ms,
            version: RefCell::new(upstream.version.clone()),
            leaving: Cell::new(upstream.is_leaving),
            replaced: Cell::new(false),
            superseded: Cell::new(false),
            nameless: Cell::new(false),
            proved: Cell::new(false),
            suspect_until_ms: Cell::new(0),
            lost_until_ms: Cell::new(0),
            has_exited: Cell::new(false),
            answered_ms: Cell::new(0),
            heard_ms: Cell::new(None),
            names_requests: Cell::new(false),
            failing: Cell::new(0.0),
            failing_ms: Cell::new(0),
            told: Cell::new(None),
            said_leaving: Cell::new(false),
            is_checked: Cell::new(false),
            backoff_until_ms: Cell::new(0),
            rate_limit: Cell::new(None),
            rate_known_ms: Cell::new(0),
            throttled_until_ms: Cell::new(0),
            speed: RefCell::default(),
            logged_speed: Cell::new(LoggedSpeed { speed: 1.0, at_ms: 0 }),
            life_checks: SharedCheck::default(),
            identity_checks: SharedCheck::default(),
            upstream,
        })
    }

    fn cell(&self, what: What) -> &Cell<u32> {
        match what {
            What::Run => &self.runs,
            What::Copy => &self.copies,
            What::Reading => &self.reading,
        }
    }

    /// The tokens of what is counted: those to be read, or those held in memory.
    fn tokens(&self, what: What) -> &Cell<u64> {
        match what {
            What::Run | What::Copy => &self.reserved_tokens,
            What::Reading => &self.pending_tokens,
        }
    }

    /// Counts one more, with its tokens.
    pub fn count(self: &Rc<Worker>, what: What, tokens: u64) -> Count {
        let cell = self.cell(what);
        cell.set(cell.get() + 1);
        let sum = self.tokens(what);
        sum.set(sum.get() + tokens);
        Count { worker: Rc::clone(self), what, tokens }
    }

    /// A kept channel for a message, the one that was idle longest, so that stray bytes had time to
    /// show; or a new one, if fewer than `most` are open.
    ///
    /// # Errors
    ///
    /// `NotSent` if there is none to be had.
    pub async fn lease(
        self: &Rc<Worker>,
        message: Message,
        most: u32,
        now_ms: u64,
    ) -> Result<Lease, channel::Fault> {
        while let Some(idle) = self.take_idle(message) {
            if idle.until_ms > now_ms && idle.channel.is_usable() {
                return Ok(self.hold(idle, message));
            }
        }
        if self.open.get() >= most {
            return Err(channel::Fault::NotSent { detail: "all channels are in use".to_owned() });
        }
        self.lease_beyond_share(message, CONNECT_TIMEOUT_MS).await
    }

    /// A new channel for a message beyond those that this instance may keep.
    ///
    /// # Errors
    ///
    /// Any fault but `Broken`.
    pub async fn lease_beyond_share(
        self: &Rc<Worker>,
        message: Message,
        timeout_ms: u64,
    ) -> Result<Lease, channel::Fault> {
        self.open.set(self.open.get() + 1);
        let open = OpenGuard(Rc::clone(self));
        let channel = self.connect(timeout_ms).await?;
        let lease = Lease::new(channel, ChannelHistory::default(), message, open);
        Ok(Lease { is_new: true, ..lease })
    }

    /// Opens a connection that isn't counted.
    ///
    /// # Errors
    ///
    /// Any fault but `Broken`.
    pub async fn connect(&self, timeout_ms: u64) -> Result<Channel, channel::Fault> {
        Channel::open_from(self.source, self.upstream.addr, timeout_ms).await
    }

    /// Opens a channel and keeps it for a request, unless `most` are open already.
    ///
    /// # Errors
    ///
    /// Any fault but `Broken`.
    pub async fn open_idle(
        self: &Rc<Worker>,
        most: u32,
        timeout_ms: u64,
        clock: &Clock,
    ) -> Result<(), channel::Fault> {
        let channel = self.connect(timeout_ms).await?;
        if self.channels() < u64::from(most) {
            let until_ms = clock.now_ms() + KEEP_DEFAULT_MS;
            let history = ChannelHistory::default();
            self.idle.borrow_mut().push_back(Idle { channel, history, until_ms });
        }
        Ok(())
    }

    /// Closes the channels that carry no request.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// The channel that was idle longest among those that may carry a message.
    fn take_idle(&self, message: Message) -> Option<Idle> {
        let names_requests = self.names_requests.get();
        let mut idle = self.idle.borrow_mut();
        let at = idle.iter().position(|idle| idle.history.allows(message, names_requests))?;
        idle.remove(at)
    }

    fn hold(self: &Rc<Worker>, idle: Idle, message: Message) -> Lease {
        self.open.set(self.open.get() + 1);
        Lease::new(idle.channel, idle.history, message, OpenGuard(Rc::clone(self)))
    }

    /// Notes that an answer of it named the request that it belongs to, as all its answers do then.
    pub fn note_names_requests(&self) {
        self.names_requests.set(true);
    }

    /// Whether an answer of it named the request that it belongs to.
    pub fn names_requests(&self) -> bool {
        self.names_requests.get()
    }

    /// Keeps a channel for later messages, unless an answer on it may still be due; `keep_ms` is the
    /// upstream's own timeout for it.
    pub fn give_back(self: &Rc<Worker>, lease: Lease, keep_ms: Option<u64>, now_ms: u64) {
        let keep_ms = keep_ms.map_or(KEEP_DEFAULT_MS, |keep| (keep as f64 * KEEP_PART) as u64);
        if keep_ms == 0 || lease.awaits_answer || self.is_suspect(now_ms) {
            return;
        }
        let until_ms = now_ms + keep_ms;
        let idle = Idle { channel: lease.channel, history: lease.history, until_ms };
        self.idle.borrow_mut().push_back(idle);
    }

    /// Channels that are open, in use or kept.
    pub fn channels(&self) -> u64 {
        u64::from(self.open.get()) + self.idle.borrow().len() as u64
    }

    /// Closes channels that were idle too long or broke.
    pub fn sweep(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|idle| idle.until_ms > now_ms && idle.channel.is_usable());
    }

    /// Whether it is leaving: by the list, or by its own answer, which a list that is older doesn't
    /// take back.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get() || self.has_said_leaving()
    }

    /// Whether it may get work at all.
    pub fn takes_work(&self) -> bool {
        !self.is_leaving() && !self.is_replaced() && !self.nameless.get()
    }

    /// Whether another life has its address, as an answer from there or a younger entry says.
    pub fn is_replaced(&self) -> bool {
        self.is_absent() || self.superseded.get()
    }

    /// Whether an answer from its address showed that it isn't there, so that it never comes back.
    pub fn is_absent(&self) -> bool {
        self.replaced.get()
    }

    /// Notes that an answer from its address showed that it isn't there.
    pub fn replace(&self) {
        self.replaced.set(true);
    }

    /// Keeps it out of placement, or no longer, since whoever is at its address doesn't say who it is.
    /// Returns whether that is new.
    pub fn set_nameless(&self, is_nameless: bool) -> bool {
        self.nameless.replace(is_nameless) != is_nameless
    }

    /// Notes that an answer proved that it is at its address.
    pub fn prove(&self) {
        self.proved.set(true);
    }

    /// Whether the process at its address has proved that it is the upstream, and wasn't lost since.
    pub fn is_proved(&self) -> bool {
        self.proved.get()
    }

    /// Takes in whether a younger entry names its address.
    pub fn supersede(&self, is_superseded: bool) {
        self.superseded.set(is_superseded);
    }

    /// Takes in what the list says now of the same life.
    pub fn relist(&self, upstream: &Upstream) {
        self.leaving.set(upstream.is_leaving);
        if let SoftwareVersion::Named(_) = upstream.version {
            self.version.replace(upstream.version.clone());
        }
    }

    /// The version of its software, as far as it is known by now.
    pub fn version(&self) -> SoftwareVersion {
        self.version.borrow().clone()
    }

    /// Notes that it broke off a connection.
    pub fn broke(&self, now_ms: u64) {
        self.suspect_until_ms.set(self.suspect_until_ms.get().max(now_ms + BROKE_MS));
        self.idle.borrow_mut().clear();
    }

    /// Notes that its process has exited.
    pub fn exited(&self) {
        self.has_exited.set(true);
        self.proved.set(false);
    }

    /// Whether its process was seen to have exited, and it has not answered since.
    pub fn has_exited(&self) -> bool {
        self.has_exited.get()
    }

    /// Notes that it is gone or silent; all who wait for it leave.
    pub fn lost(&self, now_ms: u64) {
        self.avoid(now_ms);
        self.proved.set(false);
        self.silences.send_modify(|count| *count += 1);
    }

    /// Keeps it out of placement for as long as one that is lost, though it is alive.
    pub fn avoid(&self, now_ms: u64) {
        self.suspect_until_ms.set(now_ms + LOST_MS);
        self.lost_until_ms.set(now_ms + LOST_MS);
        self.idle.borrow_mut().clear();
    }

    /// Notes that it answered.
    pub fn answered(&self, now_ms: u64) {
        self.answered_ms.set(now_ms);
        self.has_exited.set(false);
        self.suspect_until_ms.set(0);
        self.lost_until_ms.set(0);
    }

    /// Begins repeated checks. Returns whether there were none.
    pub fn begin_checks(&self) -> bool {
        !self.is_checked.replace(true)
    }

    /// Ends repeated checks.
    pub fn end_checks(&self) {
        self.is_checked.set(false);
    }

    /// Takes back all failures: this instance's own links caused them, or a silence that is over.
    pub fn absolve(&self) {
        self.suspect_until_ms.set(0);
        self.lost_until_ms.set(0);
        self.failing.set(0.0);
    }

    /// Notes that something of a run's answer came.
    pub fn hear(&self, now_ms: u64) {
        self.heard_ms.set(Some(now_ms));
    }

    /// Whether something of a run's answer came within the last `within_ms`.
    pub fn is_heard(&self, within_ms: u64, now_ms: u64) -> bool {
        self.heard_ms.get().is_some_and(|heard_ms| heard_ms + within_ms > now_ms)
    }

    /// When it last showed that it lives: by an answer, or by its listing.
    pub fn alive_ms(&self) -> u64 {
        self.answered_ms.get().max(self.listed_ms)
    }

    /// Whether it broke off or was lost a moment ago.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        self.suspect_until_ms.get() > now_ms
    }

    /// Whether it was lost a moment ago.
    pub fn is_lost(&self, now_ms: u64) -> bool {
        self.lost_until_ms.get() > now_ms
    }

    /// Notes how a request ended there.
    pub fn ended(&self, is_failure: bool, now_ms: u64) {
        let newest = if is_failure { OUTCOME_WEIGHT } else { 0.0 };
        self.failing.set(self.failing(now_ms) * (1.0 - OUTCOME_WEIGHT) + newest);
        self.failing_ms.set(now_ms);
    }

    /// The part of the last requests that failed.
    pub fn failing(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.failing_ms.get()) as f64;
        self.failing.get() * (-age_ms / FORGIVE_MS).exp2()
    }

    /// Takes in the load that it told with an answer.
    pub fn tell(&self, load: Load, now_ms: u64) {
        let others = load.running.saturating_add(load.waiting).saturating_sub(self.runs.get());
        self.told.set(Some(Told { load, at_ms: now_ms, others }));
        if let Some(percent) = load.slowness_percent {
            self.speed.borrow_mut().note_slowness(f64::from(percent) / 100.0, now_ms);
        }
    }

    /// The load that it last told, however long ago.
    pub fn told(&self) -> Option<Told> {
        self.told.get()
    }

    /// Notes that an answer of it says that it is leaving. Returns whether that is new.
    pub fn note_said_leaving(&self) -> bool {
        !self.said_leaving.replace(true)
    }

    /// Whether an answer of it said that it is leaving.
    pub fn has_said_leaving(&self) -> bool {
        self.said_leaving.get()
    }

    /// Notes until when it asked this instance to back off. Returns whether that is new.
    pub fn back_off(&self, until_ms: u64, now_ms: u64) -> bool {
        let is_new = !self.is_backing_off(now_ms);
        self.throttle(until_ms);
        self.backoff_until_ms.set(self.backoff_until_ms.get().max(until_ms));
        is_new
    }

    /// Whether this instance backs off now, as it asked.
    pub fn is_backing_off(&self, now_ms: u64) -> bool {
        self.backoff_until_ms.get() > now_ms
    }

    /// The rate that it takes from all instances together, as its last answer said, or a peer since.
    pub fn rate_limit(&self) -> Option<Rate> {
        self.rate_limit.get()
    }

    /// Takes in the rate of its newest answer, or what a peer told at that time; returns the one before.
    /// Something older changes nothing.
    pub fn set_rate_limit(&self, rate: Option<Rate>, at_ms: u64) -> Option<Rate> {
        if at_ms < self.rate_known_ms.get() {
            return self.rate_limit.get();
        }
        self.rate_known_ms.set(at_ms);
        self.rate_limit.replace(rate)
    }

    /// Has it get nothing until a time, which it asked for itself.
    pub fn throttle(&self, until_ms: u64) {
        self.throttled_until_ms.set(self.throttled_until_ms.get().max(until_ms));
    }

    /// Until when it gets nothing because it asked for that.
    pub fn throttled_until_ms(&self) -> u64 {
        self.throttled_until_ms.get()
    }

    /// Whether it gets nothing now because it asked for that.
    pub fn is_throttled(&self, now_ms: u64) -> bool {
        self.throttled_until_ms() > now_ms
    }

    /// The slowness that it told with its last answer, in percent.
    pub fn told_slowness_percent(&self, now_ms: u64) -> Option<Aged<u32>> {
        let told = self.told.get()?;
        let age_ms = now_ms.saturating_sub(told.at_ms);
        Some(Aged { value: told.load.slowness_percent?, age_ms })
    }

    /// How many requests it can run at once, as it told with its last answer.
    pub fn told_slots(&self) -> Option<u32> {
        Some(self.told.get()?.load.slots)
    }

    /// What others have running there, as it told itself a moment ago.
    pub fn told_others(&self, now_ms: u64) -> Option<u32> {
        let told = self.told.get()?;
        (told.at_ms + LOAD_FRESH_MS > now_ms).then_some(told.others)
    }
}
