//! A call whose answer comes whole: one attempt after the other, within its bounds.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request};

use super::ablation::Mechanism;
use super::answer::{self, Answer};
use super::channel::Fault;
use super::crash::Stage;
use super::dialect::{Dispatch, Marks};
use super::failure::Failure;
use super::job::Job;
use super::metrics::Time;
use super::policy::placement::Constraints;
use super::route::Repeat;
use super::traffic::Traffic;
use super::worker::{Lease, What, Worker};

/// The longest answer that is held in memory until it is whole.
const LONGEST_ANSWER_BYTES: usize = 8 << 20;
/// How often a call looks for another upstream when no byte could be sent: a whole failure domain
/// of a service may refuse.
const UNSENT_TRIES: u32 = 6;

/// How one attempt ended.
#[derive(Debug)]
enum Outcome {
    /// The upstream's whole answer.
    Answered(Whole),
    /// It certainly did not run.
    NotRun { answered: Option<Whole>, was_sent: bool },
    /// It was not sent, since the upstream limits what it gets.
    Throttled,
    /// Another upstream has the address, so it did not run; that says nothing of its service.
    Replaced,
    /// It may have run.
    Unknown { detail: String },
    /// The time was over.
    TimeOver,
    /// The budget of repeats of all instances is used up.
    OverBudget,
}

impl Outcome {
    /// Whether it is an answer that a caller can use.
    fn is_good(&self) -> bool {
        matches!(self, Outcome::Answered(whole) if whole.status < 500)
    }

    /// Which of two attempts speaks for their request: a good answer, then any, then one that may
    /// have run, since "not run" must hold for both.
    fn weight(&self) -> u8 {
        match self {
            Outcome::Answered(_) if self.is_good() => 3,
            Outcome::Answered(_) => 2,
            Outcome::Unknown { .. } | Outcome::TimeOver => 1,
            Outcome::NotRun { .. }
            | Outcome::Throttled
            | Outcome::Replaced
            | Outcome::OverBudget => 0,
        }
    }
}

/// A whole answer of an upstream.
#[derive(Debug)]
struct Whole {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves a call that isn't a stream.
pub async fn serve(traffic: &Rc<Traffic>, job: &Job) -> Answer {
    let mut constraints =
        Constraints { near: Some(Arc::clone(&traffic.settings.domain)), ..Constraints::default() };
    // Attempts that count against the route's bound, and all that reached an upstream.
    let mut sent = 0;
    let mut arrived = 0;
    let mut unsent = 0;
    let mut last = Failure::NoUpstream;
    let mut may_have_run = false;
    loop {
        if traffic.now_ms() >= job.until_ms {
            let failure = if arrived == 0 { Failure::TimeOverUnsent } else { last };
            return finish(job, traffic, failure, may_have_run);
        }
        let Some(worker) = traffic.choose(&job.service, &constraints) else {
            return finish(job, traffic, last, may_have_run);
        };
        constraints.not.push(Arc::clone(&worker.upstream.id));
        let can_hedge = Mechanism::Hedge.is_on()
            && job.route.repeat == Repeat::Idempotent
            && sent + 1 < job.route.max_attempts;
        let (worker, outcome) = if can_hedge {
            let (worker, outcome, sent_besides) =
                hedged(traffic, job, &worker, arrived == 0, &mut constraints).await;
            sent += sent_besides;
            (worker, outcome)
        } else {
            let outcome = attempt(traffic, job, &worker, arrived == 0).await;
            (worker, outcome)
        };
        match outcome {
            Outcome::OverBudget => {
                traffic.metrics.count("repeats_over_budget");
                return finish(job, traffic, last, may_have_run);
            }
            Outcome::Answered(whole) => {
                sent += 1;
                let is_failure = whole.status >= 500;
                let may_repeat = is_failure
                    && Mechanism::SecondOpinion.is_on()
                    && job.route.repeat == Repeat::Idempotent;
                if may_repeat && sent < job.route.max_attempts {
                    log_attempt(traffic, job, &worker, "answered with an error; tried elsewhere");
                    if let Some((better, by)) = second_opinion(traffic, job, &mut constraints).await
                    {
                        return deliver(traffic, job, &by, better);
                    }
                }
                return deliver(traffic, job, &worker, whole);
            }
            Outcome::NotRun { answered, was_sent } => {
                if was_sent {
                    arrived += 1;
                    sent += 1;
                    last = Failure::Full;
                } else {
                    unsent += 1;
                }
                log_attempt(traffic, job, &worker, "did not run");
                // What was refused for good isn't worth another try.
                if let Some(whole) = answered.filter(|whole| whole.status == 400) {
                    return deliver(traffic, job, &worker, whole);
                }
                if sent >= job.route.max_attempts || unsent >= UNSENT_TRIES {
                    return finish(job, traffic, last, may_have_run);
                }
            }
            Outcome::Throttled => log_attempt(traffic, job, &worker, "throttled"),
            Outcome::Replaced => {
                arrived += 1;
                log_attempt(traffic, job, &worker, "another upstream has its address");
            }
            Outcome::Unknown { detail } => {
                arrived += 1;
                sent += 1;
                slog::warn!(traffic.log, "outcome unknown"; "request" => job.id(),
                    "upstream" => &*worker.upstream.id, "detail" => detail,
                    "fingerprint" => %job.fingerprint());
                may_have_run = true;
                let may_repeat = job.route.repeat == Repeat::Idempotent;
                if !may_repeat || sent >= job.route.max_attempts {
                    return finish(job, traffic, last, may_have_run);
                }
            }
            Outcome::TimeOver => return finish(job, traffic, Failure::TimeOver, false),
        }
    }
}

/// An attempt that gets a second one beside it, at another upstream and failure domain, if it is
/// silent for longer than nearly all are. The first good answer counts; the other attempt is
/// dropped, which ends its upstream's work.
///
/// Returns whose outcome it is, and how many attempts were made besides.
async fn hedged(
    traffic: &Rc<Traffic>,
    job: &Job,
    worker: &Rc<Worker>,
    is_first: bool,
    constraints: &mut Constraints,
) -> (Rc<Worker>, Outcome, u32) {
    let mut first = std::pin::pin!(attempt(traffic, job, worker, is_first));
    let Some(after_ms) = traffic.hedge_after_ms(job) else {
        let outcome = first.await;
        return (Rc::clone(worker), outcome, 0);
    };
    let outcome = tokio::select! {
        outcome = first.as_mut() => Some(outcome),
        () = tokio::time::sleep(Duration::from_millis(after_ms)) => None,
    };
    let other = match outcome {
        Some(outcome) => return (Rc::clone(worker), outcome, 0),
        None => second_upstream(traffic, job, worker, constraints),
    };
    let Some(other) = other else {
        let outcome = first.await;
        return (Rc::clone(worker), outcome, 0);
    };
    slog::info!(traffic.log, "silent; sent to a second upstream"; "request" => job.id(),
        "upstream" => &*worker.upstream.id, "second" => &*other.upstream.id,
        "after_ms" => after_ms, "objective_ms" => job.route.target_latency_ms);
    traffic.metrics.count("calls_hedged");
    let mut second = std::pin::pin!(attempt(traffic, job, &other, false));
    let (first, second) = tokio::select! {
        outcome = first.as_mut() => {
            if outcome.is_good() {
                return (Rc::clone(worker), outcome, 1);
            }
            (outcome, second.await)
        }
        outcome = second.as_mut() => {
            if outcome.is_good() {
                return (Rc::clone(&other), outcome, 1);
            }
            (first.await, outcome)
        }
    };
    if second.weight() > first.weight() {
        (Rc::clone(&other), second, 1)
    } else {
        (Rc::clone(worker), first, 1)
    }
}

/// Another upstream for a second attempt, rather in another failure domain; none if the budget of
/// repeats allows none, or only upstreams in doubt are left.
fn second_upstream(
    traffic: &Rc<Traffic>,
    job: &Job,
    worker: &Worker,
    constraints: &mut Constraints,
) -> Option<Rc<Worker>> {
    if !traffic.has_retry(&job.service) {
        return None;
    }
    let apart = Constraints {
        not_domains: vec![Arc::clone(&worker.upstream.domain)],
        ..constraints.clone()
    };
    let other = traffic.choose(&job.service, &apart)?;
    if traffic.is_suspected(&other, traffic.now_ms()) {
        return None;
    }
    constraints.not.push(Arc::clone(&other.upstream.id));
    Some(other)
}

/// One more attempt after an upstream's own error, whose answer counts only if it is better.
async fn second_opinion(
    traffic: &Rc<Traffic>,
    job: &Job,
    constraints: &mut Constraints,
) -> Option<(Whole, Rc<Worker>)> {
    loop {
        let worker = traffic.choose(&job.service, constraints)?;
        constraints.not.push(Arc::clone(&worker.upstream.id));
        match attempt(traffic, job, &worker, false).await {
            Outcome::Answered(whole) if whole.status < 500 => return Some((whole, worker)),
            Outcome::Throttled => {}
            _ => return None,
        }
    }
}

async fn attempt(traffic: &Rc<Traffic>, job: &Job, worker: &Rc<Worker>, is_first: bool) -> Outcome {
    if !is_first && !traffic.has_retry(&job.service) {
        return Outcome::OverBudget;
    }
    if !traffic.try_admit(worker).await {
        return Outcome::Throttled;
    }
    let most = traffic.channel_share(&job.service);
    let mut lease = match worker.lease(most, traffic.now_ms()).await {
        Ok(lease) => lease,
        Err(fault) => {
            worker.ended(true, traffic.now_ms());
            traffic.note_connect_failure(worker, &fault);
            slog::info!(traffic.log, "no channel"; "request" => job.id(),
                "upstream" => &*worker.upstream.id, "detail" => %fault);
            return unsent();
        }
    };
    let now_ms = traffic.now_ms();
    let left_ms = job.until_ms.saturating_sub(now_ms);
    if left_ms == 0 || !traffic.takes_work(&worker.upstream.id) {
        return unsent();
    }
    // Only what is really sent again draws on the budget.
    if !is_first && !traffic.take_retry(&job.service) {
        worker.give_back(lease, None, now_ms);
        return Outcome::OverBudget;
    }
    let _run = worker.count(What::Run, 0);
    let dispatch = Dispatch {
        upstream: Arc::clone(&worker.upstream.id),
        deadline_ms: job.left_ms(now_ms),
        organisation: job.organisation.clone(),
        last_event: job.demand.last_event,
        ..Dispatch::default()
    };
    let request = job.request(&*traffic.dialect, &dispatch);
    let timing = Timing { traffic, job, since_ms: now_ms };
    let result = tokio::select! {
        result = exchange(traffic, &mut lease, request) => Some(result),
        () = traffic.clock.sleep_until(job.until_ms) => None,
    };
    let Some(result) = result else {
        worker.ended(true, traffic.now_ms());
        return if lease.channel.written() == 0 { unsent() } else { Outcome::TimeOver };
    };
    drop(timing);
    let may_have_run = match &result {
        Ok((whole, marks)) => !marks.not_run && whole.status != 421,
        Err(fault) => matches!(fault, Fault::Broken { .. }),
    };
    if may_have_run {
        traffic.note_run_start(job, now_ms);
    }
    job.record_time(&traffic.metrics, Time::Upstream, traffic.now_ms() - now_ms);
    judge(traffic, job, worker, lease, result)
}

/// Notes how long an attempt took when it ends, also when it is dropped: what never answers must
/// not make its route look quick.
struct Timing<'a> {
    traffic: &'a Traffic,
    job: &'a Job,
    since_ms: u64,
}

impl Drop for Timing<'_> {
    fn drop(&mut self) {
        if self.job.route.repeat == Repeat::Idempotent {
            self.traffic.note_latency(self.job, self.traffic.now_ms() - self.since_ms);
        }
    }
}

fn unsent() -> Outcome {
    Outcome::NotRun { answered: None, was_sent: false }
}

type Exchanged = Result<(Whole, Marks), Fault>;

async fn exchange(
    traffic: &Traffic,
    lease: &mut Lease,
    request: Request<Full<Bytes>>,
) -> Exchanged {
    let response = lease.channel.send(request).await?;
    let (head, body) = response.into_parts();
    let marks = traffic.dialect.marks(&head.headers);
    let body = Limited::new(body, LONGEST_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| Fault::Broken { detail: error.to_string() })?.to_bytes();
    Ok((Whole { status: head.status.as_u16(), headers: head.headers, body }, marks))
}

/// Says what an exchange means, and keeps the channel if it is clean.
fn judge(
    traffic: &Rc<Traffic>,
    job: &Job,
    worker: &Rc<Worker>,
    lease: Lease,
    result: Exchanged,
) -> Outcome {
    let now_ms = traffic.now_ms();
    let (whole, marks) = match result {
        Ok(answered) => answered,
        Err(Fault::Broken { detail }) => {
            worker.ended(true, now_ms);
            traffic.note_crash(job, worker, Stage::Begun, 0);
            return Outcome::Unknown { detail };
        }
        Err(_) => return unsent(),
    };
    if marks.id.is_some() && marks.id != job.demand.id {
        worker.ended(true, now_ms);
        traffic.metrics.count("answers_of_other_requests");
        traffic.note_advertised_limits(worker, &marks);
        return Outcome::Unknown { detail: "the answer belongs to another request".to_owned() };
    }
    if whole.status == 421 {
        traffic.mark_replaced(worker);
    } else {
        worker.answered(now_ms);
    }
    traffic.note_response_metadata(worker, whole.status, &marks);
    let is_success = (200..300).contains(&whole.status);
    // After an early refusal the upstream may still expect the rest of the body.
    if is_success || job.body.is_empty() {
        worker.give_back(lease, marks.keep_ms, now_ms);
    }
    if whole.status == 421 {
        worker.ended(true, now_ms);
        return Outcome::Replaced;
    }
    if marks.not_run {
        worker.ended(true, now_ms);
        return Outcome::NotRun { answered: Some(whole), was_sent: true };
    }
    if is_success && !marks.is_signed {
        worker.ended(true, now_ms);
        return Outcome::Unknown { detail: "the answer is not signed".to_owned() };
    }
    worker.ended(whole.status >= 500, now_ms);
    // These statuses promise that nothing ran, which only the upstream's own mark can tell.
    if matches!(whole.status, 408 | 429 | 503) {
        return Outcome::Unknown { detail: format!("status {} without a mark", whole.status) };
    }
    Outcome::Answered(whole)
}

fn deliver(traffic: &Traffic, job: &Job, worker: &Worker, whole: Whole) -> Answer {
    let now_ms = traffic.now_ms();
    job.record(&traffic.metrics, now_ms - job.since_ms, None);
    if whole.status < 500 {
        traffic.note_served(job, None);
    }
    slog::info!(traffic.log, "answered"; "request" => job.id(), "route" => &*job.route.name,
        "upstream" => &*worker.upstream.id, "status" => whole.status,
        "ms" => now_ms - job.since_ms);
    let headers = super::headers::end_to_end(whole.headers);
    answer::whole(whole.status, headers, whole.body)
}

/// A refusal that promises 'not run' is kept from a request that may have run earlier.
fn finish(job: &Job, traffic: &Traffic, failure: Failure, may_have_run: bool) -> Answer {
    let failure = match failure {
        _ if may_have_run => Failure::Unknown,
        Failure::NoUpstream if traffic.throttled_for_ms(&job.service).is_some() => {
            Failure::Throttled
        }
        failure => failure,
    };
    let retry_after_ms = traffic.retry_after_ms(job, &failure);
    traffic.refuse(job, &failure, retry_after_ms)
}

fn log_attempt(traffic: &Traffic, job: &Job, worker: &Worker, what: &'static str) {
    slog::info!(traffic.log, "attempt failed"; "request" => job.id(),
        "upstream" => &*worker.upstream.id, "what" => what);
}
