//! Exchanges of requests for whole answers, and what callers are told in the end.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request};

use super::answer::{self, Answer};
use super::body::{self, HeldBody};
use super::channel::Fault;
use super::dialect::Marks;
use super::failure::Failure;
use super::headers;
use super::job::Job;
use super::policy::answer_end::{AnswerHead, Framing, Life};
use super::policy::answer_head::{self, SoundHead, Spoilt};
use super::policy::body_limit::MAX_ANSWER_BYTES;
use super::traffic::Traffic;
use super::worker::{Lease, Worker};

/// A whole answer of an upstream.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// What its head stated, as it was judged.
    pub head: SoundHead,
    /// Its body.
    pub body: HeldBody,
}

/// A whole answer with what its headers say, or why there is none.
pub type ExchangeResult = Result<(WholeAnswer, Marks), Fault>;

/// Sends a request to another instance and receives the whole answer.
pub async fn exchange_with_peer(
    traffic: &Traffic,
    job: &Job,
    lease: &mut Lease,
    request: Request<Full<Bytes>>,
) -> ExchangeResult {
    let response = lease.send(request).await?;
    let (head, body) = response.into_parts();
    let body = traffic.read_peer_body(body, MAX_ANSWER_BYTES, job.until_ms).await;
    whole(traffic, lease, head, body)
}

/// An answer whose body was read.
fn whole(
    traffic: &Traffic,
    lease: &mut Lease,
    head: Parts,
    body: Result<HeldBody, body::Fault>,
) -> ExchangeResult {
    let body = body.map_err(|fault| Fault::Broken { detail: fault.to_string() })?;
    let marks = traffic.dialect.marks(&head.headers);
    let status = head.status.as_u16();
    // A refusal that stays here says all in its head.
    let is_all_in_head = marks.not_run && status != 400;
    let judged =
        if is_all_in_head { lease.channel.judged_head()? } else { lease.channel.judge_end()? };
    Ok((WholeAnswer { status, headers: head.headers, head: judged, body }, marks))
}

/// Sends a request to an upstream and receives the whole answer. One that ends with its channel counts
/// as broken off unless its upstream lives on.
pub async fn exchange_proved(
    traffic: &Rc<Traffic>,
    job: &Job,
    worker: &Rc<Worker>,
    lease: &mut Lease,
    request: Request<Full<Bytes>>,
) -> ExchangeResult {
    let exchanged = exchange(traffic, job, worker, lease, request).await;
    if exchanged.is_err() {
        traffic.note_if_flooded(worker, lease);
        traffic.note_if_spoilt(worker, lease);
    }
    let (whole, marks) = exchanged?;
    let head = AnswerHead {
        framing: whole.head.framing,
        is_refusal: marks.not_run || whole.status == 421,
        is_passed_on: whole.status == 400,
    };
    if head.needs_proof() && traffic.check_life(worker).await != Life::LivesOn {
        let detail = "the channel ended, and nothing shows that the answer is whole".to_owned();
        return Err(Fault::Broken { detail });
    }
    Ok((whole, marks))
}

/// Sends a request to an upstream and reads the answer, which is judged as far as it shows by itself.
async fn exchange(
    traffic: &Traffic,
    job: &Job,
    worker: &Rc<Worker>,
    lease: &mut Lease,
    request: Request<Full<Bytes>>,
) -> ExchangeResult {
    let (head, body) = lease.send(request).await?.into_parts();
    let body = traffic.read_body(worker, body, MAX_ANSWER_BYTES, job.until_ms).await;
    let (whole, marks) = whole(traffic, lease, head, body)?;
    if whole.head.framing == Framing::Channel {
        let is_named = marks.id.is_some() || job.demand.id.is_none();
        let is_named = is_named || marks.not_run || !worker.names_requests();
        let named = if is_named { Ok(()) } else { Err(Spoilt::Unnamed) };
        let is_head_field = |name: &str| traffic.dialect.is_answer_field(name);
        let judged = named.and_then(|()| answer_head::judge_body(&whole.body.bytes, is_head_field));
        lease.channel.refuse_if(judged)?;
    }
    Ok((whole, marks))
}

/// Answers a request with an upstream's answer.
pub fn deliver(traffic: &Traffic, job: &Job, worker: &Worker, whole: WholeAnswer) -> Answer {
    let now_ms = traffic.now_ms();
    job.record(&traffic.metrics, now_ms - job.since_ms, None);
    if whole.status < 500 {
        traffic.note_served(job, None);
    }
    // A refusal doesn't tell that the upstream began to answer.
    if (200..300).contains(&whole.status) {
        traffic.note_parts_served(job);
    }
    slog::info!(traffic.log, "answered"; "request" => job.id(), "route" => &*job.route.name,
        "upstream" => &*worker.upstream.id, "status" => whole.status,
        "framing" => %whole.head.framing, "bytes" => whole.body.bytes.len(),
        "ms" => now_ms - job.since_ms);
    let headers = headers::of_answer(whole.headers, whole.head);
    answer::held(whole.status, headers, whole.body)
}

/// Refuses a request for the last failure, or with `Failure::Unknown` if an earlier attempt may have
/// run, since most failures promise that it has not.
pub fn finish(job: &Job, traffic: &Traffic, failure: Failure, may_have_run: bool) -> Answer {
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
