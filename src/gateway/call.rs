//! Serves calls, whose answers are buffered whole and not streamed: attempts at one upstream after
//! another, with hedging, until the deadline and the limits on attempts.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::ablation::Mechanism;
use super::answer::Answer;
use super::channel::Fault;
use super::crash::Stage;
use super::dialect::Dispatch;
use super::failure::Failure;
use super::job::Job;
use super::metrics::Time;
use super::policy::outcomes;
use super::policy::placement::Constraints;
use super::route::Repeat;
use super::traffic::{Placed, Traffic};
use super::via_peer;
use super::whole_answer;
use super::worker::{Lease, What, Worker};

/// How many attempts may fail before a byte was sent: all upstreams of a service in one failure
/// domain may refuse connections, and entries may name addresses where nothing listens.
const MAX_UNSENT_ATTEMPTS: u32 = 16;

/// How one attempt ended.
#[derive(Debug)]
enum Outcome {
    /// The upstream's whole answer.
    Answered(whole_answer::WholeAnswer),
    /// The request has not run. `refusal` is why, if the upstream refused it.
    NotRun { answered: Option<whole_answer::WholeAnswer>, refusal: Option<Failure> },
    /// The request was not sent, because the upstream is throttled.
    Throttled,
    /// Another upstream answered at the address, so the request has not run, or a process that is none,
    /// and the request may be repeated. Unlike `NotRun`, this doesn't mean that the service is full.
    Replaced,
    /// The request may have run.
    Unknown { detail: String },
    /// The deadline passed.
    TimeOver,
    /// The retry budget of all instances together is used up.
    OverBudget,
}

impl Outcome {
    /// Whether it is an answer other than a server error.
    fn is_good(&self) -> bool {
        matches!(self, Outcome::Answered(whole) if whole.status < 500)
    }

    /// Ranks the outcomes of two attempts at one request; the higher one is its outcome. A good answer
    /// comes first, then any other answer, then an attempt that may have run, since a request has "not
    /// run" only if neither attempt ran.
    fn precedence(&self) -> u8 {
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

/// Serves a request whose answer isn't a stream.
pub async fn serve(traffic: &Rc<Traffic>, job: &Job) -> Answer {
    let mut constraints = Constraints {
        preferred_domain: Some(Arc::clone(&traffic.settings.domain)),
        ..Constraints::default()
    };
    // `sent` counts the attempts against the route's limit, `reached_upstream` all attempts that
    // reached an upstream, and `unsent_attempts` those of which no byte was sent.
    let mut sent = 0;
    let mut reached_upstream = 0;
    let mut unsent_attempts = 0;
    let mut last_failure = Failure::NoUpstream;
    let mut may_have_run = false;
    traffic.note_call(job);
    loop {
        if !traffic.may_pass_on(job) {
            return traffic.refuse(job, &Failure::Stopping, None);
        }
        if reached_upstream == 0 && traffic.is_cut_off() {
            return via_peer::serve(traffic, job).await;
        }
        if traffic.now_ms() >= job.until_ms {
            let failure =
                if reached_upstream == 0 { Failure::TimeOverUnsent } else { last_failure };
            return whole_answer::finish(job, traffic, failure, may_have_run);
        }
        constraints.can_repeat = job.route.repeat.is_safe() && sent + 1 < job.route.max_attempts;
        let worker = match traffic.place_call(job, &constraints).await {
            Placed::At(worker) => worker,
            Placed::Nowhere => {
                let is_unsent = reached_upstream == 0 && unsent_attempts > 0;
                if is_unsent && traffic.is_cut_off_for_certain().await {
                    return via_peer::serve(traffic, job).await;
                }
                if traffic.wait_for_more_upstreams(job).await {
                    continue;
                }
                return whole_answer::finish(job, traffic, last_failure, may_have_run);
            }
            Placed::Refused { retry_after_ms } => {
                return traffic.refuse(job, &Failure::Full, Some(retry_after_ms));
            }
        };
        constraints.excluded.push(Arc::clone(&worker.upstream.id));
        let can_hedge = Mechanism::Hedge.is_on()
            && job.route.repeat == Repeat::Idempotent
            && sent + 1 < job.route.max_attempts;
        let (worker, outcome) = if can_hedge {
            let (worker, outcome, extra_attempts) =
                hedged(traffic, job, &worker, reached_upstream == 0, &mut constraints).await;
            sent += extra_attempts;
            (worker, outcome)
        } else {
            let outcome = attempt(traffic, job, &worker, reached_upstream == 0).await;
            (worker, outcome)
        };
        match outcome {
            Outcome::OverBudget => {
                traffic.metrics.count("repeats_over_budget");
                return whole_answer::finish(job, traffic, last_failure, may_have_run);
            }
            Outcome::Answered(whole) => {
                sent += 1;
                let is_failure = whole.status >= 500;
                let may_repeat = is_failure
                    && Mechanism::SecondOpinion.is_on()
                    && job.route.repeat == Repeat::Idempotent;
                if may_repeat && sent < job.route.max_attempts {
                    log_failed_attempt(
                        traffic,
                        job,
                        &worker,
                        "answered with an error; trying another upstream",
                    );
                    if let Some((better_answer, answered_by)) =
                        second_opinion(traffic, job, &mut constraints).await
                    {
                        return whole_answer::deliver(traffic, job, &answered_by, better_answer);
                    }
                }
                return whole_answer::deliver(traffic, job, &worker, whole);
            }
            Outcome::NotRun { answered, refusal } => {
                if let Some(refusal) = refusal {
                    reached_upstream += 1;
                    sent += 1;
                    last_failure = refusal;
                } else {
                    unsent_attempts += 1;
                }
                log_failed_attempt(traffic, job, &worker, "did not run");
                // With status 400 every other upstream would refuse it too.
                if let Some(whole) = answered.filter(|whole| whole.status == 400) {
                    return whole_answer::deliver(traffic, job, &worker, whole);
                }
                if sent >= job.route.max_attempts || unsent_attempts >= MAX_UNSENT_ATTEMPTS {
                    return whole_answer::finish(job, traffic, last_failure, may_have_run);
                }
            }
            Outcome::Throttled => log_failed_attempt(traffic, job, &worker, "throttled"),
            Outcome::Replaced => {
                reached_upstream += 1;
                log_failed_attempt(
                    traffic,
                    job,
                    &worker,
                    "another upstream answered at its address",
                );
            }
            Outcome::Unknown { detail } => {
                reached_upstream += 1;
                sent += 1;
                slog::warn!(traffic.log, "outcome unknown"; "request" => job.id(),
                    "upstream" => &*worker.upstream.id, "detail" => detail,
                    "fingerprint" => %job.fingerprint());
                may_have_run = true;
                let may_repeat = job.route.repeat == Repeat::Idempotent;
                if !may_repeat || sent >= job.route.max_attempts {
                    return whole_answer::finish(job, traffic, last_failure, may_have_run);
                }
            }
            Outcome::TimeOver => {
                return whole_answer::finish(job, traffic, Failure::TimeOver, false);
            }
        }
    }
}

/// Makes an attempt, and hedges it with a second one, if possible in another failure domain, if it
/// takes longer than nearly all attempts at its route. The first good answer is used; the other
/// attempt is dropped, which closes its connection and so ends the upstream's work.
///
/// Returns the upstream and the outcome of the attempt that counts, and the number of further attempts.
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
        None => choose_hedge_upstream(traffic, job, worker, constraints),
    };
    let Some(other) = other else {
        let outcome = first.await;
        return (Rc::clone(worker), outcome, 0);
    };
    slog::info!(traffic.log, "no answer yet; sent to a second upstream"; "request" => job.id(),
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
    if second.precedence() > first.precedence() {
        (Rc::clone(&other), second, 1)
    } else {
        (Rc::clone(worker), first, 1)
    }
}

/// Chooses an upstream for a hedge, in another failure domain if possible. Returns none if the retry
/// budget is used up, no other upstream is left, or the best one is suspected to be down.
fn choose_hedge_upstream(
    traffic: &Rc<Traffic>,
    job: &Job,
    worker: &Worker,
    constraints: &mut Constraints,
) -> Option<Rc<Worker>> {
    if !traffic.has_retry(&job.service) || !traffic.accepts(job) {
        return None;
    }
    let other_domain = Constraints {
        avoided_domains: vec![Arc::clone(&worker.upstream.domain)],
        can_repeat: false,
        ..constraints.clone()
    };
    let other = traffic.choose_for_hedge(job, &other_domain)?;
    if traffic.is_suspected(&other, traffic.now_ms()) || traffic.is_ejected(&other) {
        return None;
    }
    constraints.excluded.push(Arc::clone(&other.upstream.id));
    Some(other)
}

/// Makes one more attempt after an upstream answered with a server error. Its answer is used only if
/// it isn't a server error too.
async fn second_opinion(
    traffic: &Rc<Traffic>,
    job: &Job,
    constraints: &mut Constraints,
) -> Option<(whole_answer::WholeAnswer, Rc<Worker>)> {
    constraints.can_repeat = false;
    loop {
        if !traffic.accepts(job) {
            return None;
        }
        let worker = traffic.choose_again(job, constraints)?;
        constraints.excluded.push(Arc::clone(&worker.upstream.id));
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
    let mut lease = match traffic.lease(worker, job.message()).await {
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
    if !traffic.may_pass_on(job) {
        worker.give_back(lease, None, now_ms);
        return unsent();
    }
    // The retry budget is charged only for requests that are really sent again.
    if !is_first && !traffic.take_retry(&job.service) {
        worker.give_back(lease, None, now_ms);
        return Outcome::OverBudget;
    }
    let answer_timer = traffic.time_answer(worker);
    let _run = worker.count(What::Run, 0);
    traffic.note_call_sent(worker);
    let dispatch = Dispatch {
        upstream: Arc::clone(&worker.upstream.id),
        deadline_ms: job.left_ms(now_ms),
        organisation: job.organisation.clone(),
        last_event: job.demand.last_event,
        ..Dispatch::default()
    };
    let request = job.request(&*traffic.dialect, &dispatch);
    traffic.note_passed_on(job, worker);
    let latency_recorder = LatencyRecorder { traffic, job, since_ms: now_ms };
    let mut pending = PendingAttempt { traffic, job, worker, since_ms: now_ms, is_over: false };
    let result = tokio::select! {
        result = whole_answer::exchange_proved(traffic, job, worker, &mut lease, request) => Some(result),
        () = traffic.clock.sleep_until(job.until_ms) => None,
    };
    let Some(result) = result else {
        worker.ended(true, traffic.now_ms());
        if lease.channel.bytes_written() == 0 {
            job.note_not_run();
            return unsent();
        }
        if let Some(timer) = &answer_timer {
            traffic.note_answer_timeout(job, worker, timer);
        }
        return Outcome::TimeOver;
    };
    drop(latency_recorder);
    pending.is_over = true;
    let may_have_run = match &result {
        Ok((whole, marks)) => !marks.not_run && whole.status != 421,
        Err(fault) => matches!(fault, Fault::Broken { .. }),
    };
    if may_have_run {
        traffic.note_run_start(job, now_ms);
    }
    let is_good = matches!(&result, Ok((whole, marks)) if whole.status < 300 && !marks.not_run);
    job.record_time(&traffic.metrics, Time::Upstream, traffic.now_ms() - now_ms);
    let is_of_another = match &result {
        Ok((whole, marks)) => traffic.is_of_another(worker, whole.status, marks).await,
        Err(_) => false,
    };
    if is_of_another {
        worker.ended(true, traffic.now_ms());
        return of_another(job);
    }
    let outcome = classify(traffic, job, worker, lease, now_ms, result);
    if matches!(outcome, Outcome::NotRun { .. } | Outcome::Replaced) {
        job.note_not_run();
    }
    if let Some(timer) = answer_timer.filter(|_| is_good) {
        traffic.note_answer(job, worker, &timer);
    }
    outcome
}

/// Records the duration of an attempt when it ends, also if it is dropped: otherwise attempts that
/// never get an answer would be missing, and the route's latency would be underestimated.
struct LatencyRecorder<'a> {
    traffic: &'a Traffic,
    job: &'a Job,
    since_ms: u64,
}

impl Drop for LatencyRecorder<'_> {
    fn drop(&mut self) {
        if self.job.route.repeat == Repeat::Idempotent {
            self.traffic.note_latency(self.job, self.traffic.now_ms() - self.since_ms);
        }
    }
}

/// An attempt that has not ended. If it is dropped before, the upstream has not answered.
struct PendingAttempt<'a> {
    traffic: &'a Traffic,
    job: &'a Job,
    worker: &'a Worker,
    since_ms: u64,
    is_over: bool,
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let waited_ms = self.traffic.now_ms() - self.since_ms;
            let objective_ms = self.job.route.target_latency_ms;
            self.traffic.note_unanswered(self.worker, waited_ms, objective_ms);
        }
    }
}

/// The outcome of an attempt that a process answered which isn't the upstream that was meant. What it did
/// with the request is not known, so only one that may be repeated goes on.
fn of_another(job: &Job) -> Outcome {
    if job.route.repeat == Repeat::Idempotent {
        return Outcome::Replaced;
    }
    Outcome::Unknown { detail: "a process that is no upstream answered".to_owned() }
}

fn unsent() -> Outcome {
    Outcome::NotRun { answered: None, refusal: None }
}

/// Derives the outcome of an attempt, and gives its channel back if the channel can be reused.
fn classify(
    traffic: &Rc<Traffic>,
    job: &Job,
    worker: &Rc<Worker>,
    lease: Lease,
    sent_ms: u64,
    result: whole_answer::ExchangeResult,
) -> Outcome {
    let now_ms = traffic.now_ms();
    let mut lease = lease;
    let (whole, marks) = match result {
        Ok(answered) => answered,
        Err(Fault::Broken { detail }) => {
            worker.ended(true, now_ms);
            traffic.note_outcome(worker, outcomes::Outcome::Broken);
            traffic.note_crash(job, worker, Stage::Begun, 0);
            return Outcome::Unknown { detail };
        }
        Err(_) => return unsent(),
    };
    if !traffic.is_own_answer(worker, &mut lease, job.demand.id.as_deref(), &marks) {
        worker.ended(true, now_ms);
        traffic.note_outcome(worker, outcomes::Outcome::Broken);
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
    // After a refusal that came early, the upstream may still expect the rest of the body.
    if is_success || job.body.is_empty() {
        worker.give_back(lease, marks.keep_ms, now_ms);
    }
    if whole.status == 421 {
        worker.ended(true, now_ms);
        return Outcome::Replaced;
    }
    if marks.not_run {
        worker.ended(true, now_ms);
        traffic.note_call_not_run(job, whole.status, &marks);
        let is_rejected = traffic.note_refusal(worker, whole.status, &marks);
        let refusal = if is_rejected { Failure::Rejected } else { Failure::Full };
        return Outcome::NotRun { answered: Some(whole), refusal: Some(refusal) };
    }
    if is_success && !marks.is_signed {
        worker.ended(true, now_ms);
        traffic.note_outcome(worker, outcomes::Outcome::Broken);
        return Outcome::Unknown { detail: "the answer is not signed".to_owned() };
    }
    worker.ended(whole.status >= 500, now_ms);
    traffic.note_call_answer(job, whole.status, &marks, sent_ms);
    if whole.status >= 500 || matches!(whole.status, 408 | 429) {
        traffic.note_outcome(worker, outcomes::Outcome::ServerError);
    } else {
        traffic.note_good_answer(worker, now_ms - sent_ms);
    }
    // These statuses promise a caller that nothing ran. Only the upstream's not-run header can say
    // that, and this answer lacks it.
    if matches!(whole.status, 408 | 429 | 503) {
        return Outcome::Unknown {
            detail: format!("status {} without the not-run header", whole.status),
        };
    }
    Outcome::Answered(whole)
}

fn log_failed_attempt(traffic: &Traffic, job: &Job, worker: &Worker, what: &'static str) {
    slog::info!(traffic.log, "attempt failed"; "request" => job.id(),
        "upstream" => &*worker.upstream.id, "what" => what);
}
