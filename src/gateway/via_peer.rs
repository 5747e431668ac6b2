//! Has another instance serve calls while this one is cut off from all upstreams.
//!
//! The other instance handles a relayed request like a caller's, but never relays it again. It marks
//! refusals that are due to its own state, after which the request is sent to a third one. See
//! [docs/DESIGN.md](../../docs/DESIGN.md).

use std::net::SocketAddr;
use std::rc::Rc;

use super::answer::Answer;
use super::channel::Fault;
use super::failure::Failure;
use super::headers;
use super::job::Job;
use super::policy::answer_end::Framing;
use super::route::Repeat;
use super::traffic::Traffic;
use super::whole_answer::{self, WholeAnswer};
use super::worker::Worker;

/// How a call at another instance ended.
enum Outcome {
    /// The other instance's answer, whoever made it.
    Answered(WholeAnswer),
    /// The call has not run there, and may be sent to another instance.
    NotTaken,
    /// The call may have run.
    Unknown,
    /// The deadline passed.
    TimeOver {
        /// Whether the call was sent.
        is_sent: bool,
    },
}

/// Serves a call through another instance.
pub async fn serve(traffic: &Rc<Traffic>, job: &Job) -> Answer {
    let mut tried: Vec<SocketAddr> = Vec::new();
    let mut may_have_run = false;
    while let Some(peer) = next_peer(traffic, job, &tried) {
        if !traffic.may_pass_on(job) {
            return traffic.refuse(job, &Failure::Stopping, None);
        }
        tried.push(peer.upstream.addr);
        match relay(traffic, job, &peer).await {
            Outcome::Answered(whole) => {
                traffic.metrics.count("requests_relayed");
                return whole_answer::deliver(traffic, job, &peer, whole);
            }
            Outcome::NotTaken => {}
            Outcome::Unknown => {
                may_have_run = true;
                let may_repeat = job.route.repeat == Repeat::Idempotent;
                if !may_repeat || !traffic.take_retry(&job.service) {
                    break;
                }
            }
            Outcome::TimeOver { is_sent } => {
                let failure = if is_sent { Failure::TimeOver } else { Failure::TimeOverUnsent };
                return whole_answer::finish(job, traffic, failure, may_have_run);
            }
        }
    }
    whole_answer::finish(job, traffic, Failure::CutOff, may_have_run)
}

/// The instance to try next. A relayed call stays here: the instance that sent it tries others.
fn next_peer(traffic: &Traffic, job: &Job, tried: &[SocketAddr]) -> Option<Rc<Worker>> {
    if job.is_relayed {
        return None;
    }
    traffic.choose_peer(tried)
}

async fn relay(traffic: &Rc<Traffic>, job: &Job, peer: &Rc<Worker>) -> Outcome {
    let mut lease = match traffic.lease_to_peer(peer).await {
        Ok(lease) => lease,
        Err(fault) => {
            log_not_taken(traffic, job, peer, &fault.to_string());
            return Outcome::NotTaken;
        }
    };
    let now_ms = traffic.now_ms();
    if now_ms >= job.until_ms {
        return Outcome::TimeOver { is_sent: false };
    }
    if !traffic.may_pass_on(job) {
        peer.give_back(lease, None, now_ms);
        return Outcome::NotTaken;
    }
    let request = job.relayed_request(&*traffic.dialect, job.demand.last_event, None, now_ms);
    traffic.note_passed_on(job, peer);
    let result = tokio::select! {
        result = whole_answer::exchange_with_peer(traffic, job, &mut lease, request) => result,
        () = traffic.clock.sleep_until(job.until_ms) => return Outcome::TimeOver { is_sent: true },
    };
    let (whole, marks) = match result {
        Ok(answered) => answered,
        Err(Fault::Broken { detail }) => {
            peer.broke(traffic.now_ms());
            slog::warn!(traffic.log, "outcome unknown"; "request" => job.id(),
                "upstream" => &*peer.upstream.id, "detail" => detail);
            return Outcome::Unknown;
        }
        Err(fault) => {
            job.note_not_run();
            peer.broke(traffic.now_ms());
            log_not_taken(traffic, job, peer, &fault.to_string());
            return Outcome::NotTaken;
        }
    };
    if headers::is_not_taken(&whole.headers) {
        job.note_not_run();
        peer.broke(traffic.now_ms());
        log_not_taken(traffic, job, peer, "it can't serve requests now");
        return Outcome::NotTaken;
    }
    // Instances state the length of all their answers, so another end is a break.
    if whole.head.framing == Framing::Channel {
        return Outcome::Unknown;
    }
    let is_success = (200..300).contains(&whole.status);
    let is_own = traffic.is_own_relayed_answer(&mut lease, job, &marks);
    if !is_own || (is_success && !marks.is_signed) {
        return Outcome::Unknown;
    }
    // After a refusal that came early, the instance may still expect the rest of the body.
    if is_success || job.body.is_empty() {
        peer.give_back(lease, None, traffic.now_ms());
    }
    Outcome::Answered(whole)
}

/// Logs that another instance did not take a request.
pub fn log_not_taken(traffic: &Traffic, job: &Job, peer: &Worker, why: &str) {
    slog::info!(traffic.log, "relayed request not taken"; "request" => job.id(),
        "by" => &*peer.upstream.id, "why" => why);
}
