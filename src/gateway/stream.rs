//! A stream of events that outlives its engine inside one answer.
//!
//! While an engine runs it, a copy of the run's memory grows at an engine of another failure
//! domain. When the first one breaks off or falls silent, the run goes on from that copy after the
//! last whole event that the caller has, and a new copy is started at once.

mod copy;
mod relay;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Request, Response};
use tokio::sync::{mpsc, oneshot, watch};
use xxhash_rust::xxh3::xxh3_64;

use self::copy::{CopyAt, Growing, NewCopy};
use super::answer::{self, Answer, Cut, Part};
use super::channel::Fault;
use super::dialect::{Copy, Dispatch, Marks};
use super::failure::Failure;
use super::front::{self, Job, OpenGuard};
use super::metrics::Time;
use super::placement::Wish;
use super::route::Repeat;
use super::traffic::Traffic;
use super::worker::{Lease, What, Worker};

/// Events that may wait for a slow caller before its engine is slowed.
const WAITING_EVENTS: usize = 16;
/// How long the first event may take before the engine is asked whether it lives.
const FIRST_QUIET_MS: u64 = 900;
/// The wait before another look when no engine takes work in the middle of an answer.
const LOOK_AGAIN_MS: u64 = 50;
/// How long a run keeps away from a failure domain in which it lost an engine: engines that crashed
/// are back after about 1.2 s, and with one domain of three left out for longer, the copies of the
/// next loss lie where their runs are.
const AVOID_MS: u64 = 1_500;
/// The priority of a run that goes on, before all new ones.
const RESUMED_PRIORITY: u8 = 0;
/// The lowest priority that engines know.
const LOWEST_PRIORITY: u8 = 9;

/// Serves a stream: returns the head of the answer, whose body then grows.
pub async fn serve(traffic: &Rc<Traffic>, job: Job) -> Answer {
    let (head, answered) = oneshot::channel();
    let traffic = Rc::clone(traffic);
    tokio::task::spawn_local(async move {
        let _open = OpenGuard::new(&traffic);
        Run::new(&traffic, job, head).drive().await;
    });
    // The run always answers, unless its caller has left.
    answered.await.unwrap_or_else(|_| answer::failed(&Failure::Unknown, None))
}

/// How an attempt ended.
#[derive(Debug)]
enum Outcome {
    /// The answer is complete, or was given otherwise.
    Done,
    /// The caller has left.
    CallerLeft,
    /// It certainly did not run there.
    NotRun { was_sent: bool, why: String },
    /// The engine broke off, or fell silent.
    Lost { why: String, engine_gone: bool },
    /// The engine lives but makes no events.
    Stuck,
    /// The time is over.
    TimeOver,
    /// The budget of repeats of all instances is used up.
    OverBudget,
}

struct Run {
    traffic: Rc<Traffic>,
    job: Job,
    head: Option<oneshot::Sender<Answer>>,
    body: Option<mpsc::Sender<Part>>,
    last_event: Option<u64>,
    last_event_ms: u64,
    first_ms: Option<u64>,
    longest_gap_ms: u64,
    lost_ms: Option<u64>,
    may_have_run: bool,
    sent: u32,
    stuck_moves: u32,
    left: Vec<Arc<str>>,
    lost_domains: Vec<(Arc<str>, u64)>,
    copy: Option<CopyAt>,
    copying: Option<oneshot::Receiver<Option<NewCopy>>>,
    copy_again_ms: u64,
}

impl Run {
    fn new(traffic: &Rc<Traffic>, job: Job, head: oneshot::Sender<Answer>) -> Run {
        Run {
            last_event: job.demand.last_event,
            last_event_ms: traffic.now_ms(),
            traffic: Rc::clone(traffic),
            job,
            head: Some(head),
            body: None,
            first_ms: None,
            longest_gap_ms: 0,
            lost_ms: None,
            may_have_run: false,
            sent: 0,
            stuck_moves: 0,
            left: Vec::new(),
            lost_domains: Vec::new(),
            copy: None,
            copying: None,
            copy_again_ms: 0,
        }
    }

    async fn drive(mut self) {
        if self.last_event.is_some()
            && self.part().is_some_and(|part| self.traffic.place_of(part).is_none())
        {
            self.traffic.recall(&self.job.service).await;
        }
        loop {
            if self.traffic.now_ms() >= self.job.until_ms {
                return self.give_up(Failure::TimeOver);
            }
            let Some((worker, copy)) = self.place() else {
                if self.sent == 0 || !self.wait(LOOK_AGAIN_MS).await {
                    return self.give_up(Failure::NoUpstream);
                }
                self.left.clear();
                continue;
            };
            let outcome = self.attempt(&worker, copy).await;
            if !self.goes_on(&worker, outcome).await {
                return;
            }
        }
    }

    /// What follows from an attempt; whether there is another one.
    async fn goes_on(&mut self, worker: &Rc<Worker>, outcome: Outcome) -> bool {
        let now_ms = self.traffic.now_ms();
        let id = &worker.upstream.id;
        match outcome {
            Outcome::Done | Outcome::CallerLeft => return false,
            Outcome::TimeOver => {
                self.give_up(Failure::TimeOver);
                return false;
            }
            Outcome::OverBudget => {
                slog::warn!(self.traffic.log, "no repeat left in the budget";
                    "request" => self.job.id(), "service" => &*self.job.service);
                self.traffic.metrics.count("repeats_over_budget");
                self.give_up(Failure::Full);
                return false;
            }
            Outcome::NotRun { was_sent, why } => {
                slog::info!(self.traffic.log, "engine did not run it"; "request" => self.job.id(),
                    "upstream" => &**id, "was_sent" => was_sent, "why" => why);
                self.left.push(Arc::clone(id));
                self.copy = None;
                if was_sent && self.sent >= self.job.route.max_attempts {
                    self.give_up(Failure::Full);
                    return false;
                }
                return true;
            }
            Outcome::Stuck => {
                slog::warn!(self.traffic.log, "engine makes no events; the run goes on elsewhere";
                    "request" => self.job.id(), "upstream" => &**id,
                    "quiet_ms" => now_ms - self.last_event_ms);
                self.stuck_moves += 1;
                self.may_have_run = true;
            }
            Outcome::Lost { why, engine_gone } => {
                slog::warn!(self.traffic.log, "engine lost"; "request" => self.job.id(),
                    "upstream" => &**id, "domain" => &*worker.upstream.domain, "why" => why,
                    "last_event" => self.last_event, "quiet_ms" => now_ms - self.last_event_ms);
                self.may_have_run = true;
                if engine_gone {
                    self.lost_domains.push((Arc::clone(&worker.upstream.domain), now_ms));
                    // What ended by itself doesn't count among the attempts.
                    self.sent = self.sent.saturating_sub(1).max(1);
                }
            }
        }
        self.left.push(Arc::clone(id));
        self.lost_ms.get_or_insert(now_ms);
        self.traffic.metrics.count("engines_lost");
        let is_over = self.sent >= self.job.route.max_attempts;
        if is_over || self.job.route.repeat != Repeat::Resumable {
            self.give_up(Failure::Unknown);
            return false;
        }
        true
    }

    /// The engine for the next attempt: the one with the copy, or the best one.
    fn place(&mut self) -> Option<(Rc<Worker>, Option<Copy>)> {
        self.take_finished_copy(self.traffic.now_ms());
        if let Some(copy) = self.copy.take()
            && self.keeps_copy(&copy.worker)
        {
            return Some((copy.worker, Some(copy.name)));
        }
        if let Some(worker) = self.part().and_then(|part| self.traffic.place_of(part))
            && !self.left.contains(&worker.upstream.id)
            && self.is_fit(&worker)
        {
            return Some((worker, None));
        }
        let wish = Wish {
            not: self.left.clone(),
            not_domains: self.lost_domains(),
            apart_from: None,
            near: Some(Arc::clone(&self.traffic.settings.domain)),
        };
        self.traffic.choose(&self.job.service, &wish).map(|worker| (worker, None))
    }

    /// Failure domains in which the run lost an engine a moment ago.
    fn lost_domains(&self) -> Vec<Arc<str>> {
        let now_ms = self.traffic.now_ms();
        let recent = self.lost_domains.iter().filter(|(_, at_ms)| at_ms + AVOID_MS > now_ms);
        recent.map(|(domain, _)| Arc::clone(domain)).collect()
    }

    /// The prompt's last part, which is the request's own, as a number.
    fn part(&self) -> Option<u64> {
        self.job.demand.prompt_part.as_ref().map(|part| xxh3_64(part.as_bytes()))
    }

    async fn attempt(&mut self, worker: &Rc<Worker>, from: Option<Copy>) -> Outcome {
        let traffic = Rc::clone(&self.traffic);
        let mut silences = worker.silences.subscribe();
        silences.mark_unchanged();
        let most = traffic.channel_share(&self.job.service);
        let mut lease = match worker.lease(most, traffic.now_ms()).await {
            Ok(lease) => lease,
            Err(fault) => {
                traffic.no_channel(worker, &fault);
                slog::info!(traffic.log, "no channel"; "request" => self.job.id(),
                    "upstream" => &*worker.upstream.id, "detail" => %fault);
                return Outcome::NotRun { was_sent: false, why: fault.to_string() };
            }
        };
        // Only what is really sent again draws on the budget.
        if self.sent > 0 && !traffic.may_repeat(&self.job.service) {
            worker.give_back(lease, None, traffic.now_ms());
            return Outcome::OverBudget;
        }
        if !traffic.takes_work(&worker.upstream.id) {
            return Outcome::NotRun { was_sent: false, why: "it is leaving".to_owned() };
        }
        let copy = self.place_copy(worker);
        let _run = worker.count(What::Run);
        let reading = from.is_none().then(|| worker.count(What::Reading));
        let request =
            self.job.request(&traffic, &self.dispatch(worker, copy.as_ref(), from.as_ref()));
        let seen = traffic.standing(worker);
        slog::info!(traffic.log, "sent"; "request" => self.job.id(),
            "upstream" => &*worker.upstream.id, "domain" => &*worker.upstream.domain,
            "copy" => copy.as_ref().map(|copy| copy.upstream.id.to_string()),
            "from_copy" => from.is_some(), "after" => self.last_event,
            "runs" => seen.runs, "copies" => seen.copies, "reading" => seen.reading,
            "list_revision" => traffic.shared.view.load().fleet.revision);
        if let Some(part) = self.part() {
            traffic.note_place(part, worker);
        }
        traffic.tell_peers();
        let sent_ms = traffic.now_ms();
        let copy = copy.map(|worker| Growing { _count: worker.count(What::Copy), worker });
        let response = match self.wait_for_head(worker, &mut lease, request, &mut silences).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        self.sent += 1;
        self.job.record_time(&traffic, Time::Upstream, traffic.now_ms() - sent_ms);
        let marks = traffic.dialect.marks(response.headers());
        if let Some(outcome) = self.check_head(worker, &response, &marks) {
            return outcome;
        }
        let status = response.status().as_u16();
        if status != 200 {
            return self.pass_on_failure(worker, lease, response, &marks).await;
        }
        self.note_copy(copy);
        let body = self.open_body(response);
        self.relay(worker, lease, body, marks, silences, reading).await
    }

    /// Sends the request and waits until the engine answers, which it does with the first event.
    async fn wait_for_head(
        &mut self,
        worker: &Rc<Worker>,
        lease: &mut Lease,
        request: Request<Full<Bytes>>,
        silences: &mut watch::Receiver<u64>,
    ) -> Result<Response<Incoming>, Outcome> {
        let traffic = Rc::clone(&self.traffic);
        let mut sending = std::pin::pin!(lease.channel.send(request));
        let response = loop {
            let wake_ms = (traffic.now_ms() + FIRST_QUIET_MS).min(self.job.until_ms);
            tokio::select! {
                response = sending.as_mut() => break response,
                () = caller_left(&mut self.head, &self.body) => return Err(Outcome::CallerLeft),
                _ = silences.changed() => {
                    self.sent += 1;
                    return Err(lost("silent before its answer", true));
                }
                () = until(&traffic, wake_ms) => {}
            }
            if traffic.now_ms() >= self.job.until_ms {
                self.sent += 1;
                return Err(Outcome::TimeOver);
            }
            // An answer to the question, or none, is noticed above.
            traffic.ask_whether_lives(worker);
        };
        match response {
            Ok(response) => Ok(response),
            Err(Fault::Broken { detail }) => {
                self.sent += 1;
                worker.broke(traffic.now_ms());
                worker.ended(true, traffic.now_ms());
                Err(lost(detail, true))
            }
            Err(fault) => Err(Outcome::NotRun { was_sent: false, why: fault.to_string() }),
        }
    }

    fn dispatch(
        &self,
        worker: &Worker,
        copy: Option<&Rc<Worker>>,
        from: Option<&Copy>,
    ) -> Dispatch {
        let is_resumed = self.may_have_run || self.job.demand.last_event.is_some();
        let new = (self.job.priority + 1).min(LOWEST_PRIORITY);
        Dispatch {
            upstream: Arc::clone(&worker.upstream.id),
            deadline_ms: self.job.left_ms(self.traffic.now_ms()),
            organisation: self.job.organisation.clone(),
            priority: Some(if is_resumed { RESUMED_PRIORITY } else { new }),
            last_event: self.last_event,
            copy_to: copy.map(|copy| copy.upstream.addr),
            go_on_from: from.cloned(),
        }
    }

    /// Looks at the head of an answer; an outcome if it can't be used.
    fn check_head(
        &mut self,
        worker: &Rc<Worker>,
        response: &Response<Incoming>,
        marks: &Marks,
    ) -> Option<Outcome> {
        let now_ms = self.traffic.now_ms();
        if marks.id.is_some() && marks.id != self.job.demand.id {
            self.traffic.metrics.count("answers_of_other_requests");
            return Some(lost("the answer belongs to another request", false));
        }
        if response.status().as_u16() == 421 {
            self.traffic.replaced(worker);
        } else {
            worker.answered(now_ms);
        }
        if let Some(load) = marks.load {
            worker.tell(load, now_ms);
        }
        let status = response.status().as_u16();
        if marks.not_run || status == 421 {
            return Some(Outcome::NotRun { was_sent: true, why: format!("status {status}") });
        }
        if status == 200 && !marks.is_signed {
            return Some(lost("the answer is not signed", false));
        }
        None
    }

    /// An upstream's own error: it goes to the caller, unless the run may go on elsewhere.
    async fn pass_on_failure(
        &mut self,
        worker: &Rc<Worker>,
        lease: Lease,
        response: Response<Incoming>,
        marks: &Marks,
    ) -> Outcome {
        let status = response.status().as_u16();
        worker.ended(true, self.traffic.now_ms());
        let can_repeat = status >= 500 && self.job.route.repeat == Repeat::Resumable;
        let is_last = self.sent >= self.job.route.max_attempts;
        if self.body.is_some() || (can_repeat && !is_last) || matches!(status, 408 | 429 | 503) {
            return lost(format!("status {status}"), false);
        }
        self.copy = None;
        let headers = front::end_to_end(response.headers().clone());
        let Ok(body) = response.into_body().collect().await else {
            return lost(format!("status {status} with a broken body"), false);
        };
        if self.job.body.is_empty() {
            worker.give_back(lease, marks.keep_ms, self.traffic.now_ms());
        }
        self.answer(answer::whole(status, headers, body.to_bytes()));
        Outcome::Done
    }

    /// Gives the caller the head of the first answer; later ones only bring events.
    fn open_body(&mut self, response: Response<Incoming>) -> Incoming {
        let (head, body) = response.into_parts();
        if self.body.is_none() {
            let (parts, growing) = mpsc::channel(WAITING_EVENTS);
            let mut headers: HeaderMap = front::end_to_end(head.headers);
            headers.remove(CONTENT_LENGTH);
            self.body = Some(parts);
            self.answer(answer::growing(head.status.as_u16(), headers, growing));
        }
        body
    }

    /// Ends the run without a complete answer.
    fn give_up(&mut self, failure: Failure) {
        let failure = match failure {
            Failure::Full | Failure::NoUpstream if self.may_have_run => Failure::Unknown,
            Failure::TimeOver if self.sent == 0 => Failure::TimeOverUnsent,
            failure => failure,
        };
        let answer = self.job.refuse(&self.traffic, &failure, None);
        if let Some(body) = self.body.take() {
            // Without its last chunk, the answer can't be taken for a complete one.
            tokio::task::spawn_local(async move {
                let _ = body.send(Err(Cut)).await;
            });
        }
        self.answer(answer);
    }

    fn answer(&mut self, answer: Answer) {
        if let Some(head) = self.head.take() {
            // A caller that has left needs no answer.
            let _ = head.send(answer);
        }
    }

    /// Waits a moment; false if the caller has left or the time is over.
    async fn wait(&mut self, wait_ms: u64) -> bool {
        let now_ms = self.traffic.now_ms();
        if now_ms + wait_ms >= self.job.until_ms {
            return false;
        }
        tokio::select! {
            () = caller_left(&mut self.head, &self.body) => false,
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => true,
        }
    }
}

fn lost(why: impl Into<String>, engine_gone: bool) -> Outcome {
    Outcome::Lost { why: why.into(), engine_gone }
}

/// Ends when the caller has closed its connection.
async fn caller_left(
    head: &mut Option<oneshot::Sender<Answer>>,
    body: &Option<mpsc::Sender<Part>>,
) {
    match (head, body) {
        (Some(head), _) => head.closed().await,
        (None, Some(body)) => body.closed().await,
        (None, None) => std::future::pending().await,
    }
}

async fn until(traffic: &Traffic, at_ms: u64) {
    let left_ms = at_ms.saturating_sub(traffic.now_ms());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
}
