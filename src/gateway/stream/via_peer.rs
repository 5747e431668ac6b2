//! Has another instance serve a stream while this one is cut off from all upstreams.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::super::answer;
use super::super::channel::{self, Fault};
use super::super::events::EventSplitter;
use super::super::failure::Failure;
use super::super::headers;
use super::super::policy::answer_end::Framing;
use super::super::policy::body_limit::MAX_ANSWER_BYTES;
use super::super::via_peer;
use super::super::worker::{Lease, Worker};
use super::{
    LossCause, NotRunReason, Outcome, Progress, Run, caller_disconnected, lost_run, sleep_until,
};

/// How long another instance may send no events after the first one. It handles the silence of an
/// engine itself within that time.
const MAX_SILENCE_MS: u64 = 2_500;

impl Run {
    /// Has another instance make an attempt; returns whether to make another one.
    pub(super) async fn relay_once(&mut self) -> bool {
        if let Some(peer) = self.next_peer() {
            let outcome = self.attempt_via_peer(&peer).await;
            return self.handle_outcome(&peer, outcome).await;
        }
        if !self.may_have_run || self.job.is_relayed {
            self.give_up(Failure::CutOff);
            return false;
        }
        self.tried_peers.clear();
        self.wait_to_retry().await
    }

    /// The instance to try next. A relayed run stays here: the instance that sent it tries others.
    fn next_peer(&self) -> Option<Rc<Worker>> {
        if self.job.is_relayed {
            return None;
        }
        self.traffic.choose_peer(&self.tried_peers)
    }

    /// Has another instance make an attempt, and forwards its events.
    async fn attempt_via_peer(&mut self, peer: &Rc<Worker>) -> Outcome {
        self.tried_peers.push(peer.upstream.addr);
        self.progress = Progress::default();
        self.reservation = None;
        self.copy = None;
        let mut lease = match self.traffic.lease_to_peer(peer).await {
            Ok(lease) => lease,
            Err(fault) => return self.not_taken(peer, &fault.to_string()),
        };
        // Only a request that is really sent again takes a retry from the budget.
        if self.delivered > 0 && !self.take_retry() {
            return Outcome::RetryBudgetExhausted;
        }
        if !self.traffic.may_pass_on(&self.job) {
            return self.not_taken(peer, "this instance is stopping");
        }
        let now_ms = self.traffic.now_ms();
        let request = self.job.relayed_request(
            &*self.traffic.dialect,
            self.last_event,
            self.binding.version(),
            now_ms,
        );
        slog::info!(self.traffic.log, "sent to another instance"; "request" => self.job.id(),
            "instance" => &*peer.upstream.id, "after" => self.last_event);
        self.was_sent = true;
        self.traffic.note_passed_on(&self.job, peer);
        let response = match self.wait_for_relayed_head(peer, &mut lease, request).await {
            Ok(response) => response,
            Err(outcome) => {
                if matches!(outcome, Outcome::NotRun { .. }) {
                    self.job.note_not_run();
                }
                return outcome;
            }
        };
        if headers::is_not_taken(response.headers()) {
            self.job.note_not_run();
            peer.broke(self.traffic.now_ms());
            return self.not_taken(peer, "it can't serve requests now");
        }
        self.count_attempt();
        let marks = self.traffic.dialect.marks(response.headers());
        if !self.traffic.is_own_relayed_answer(&mut lease, &self.job, &marks) {
            return lost_run("the response belongs to another request", LossCause::EngineAlive);
        }
        let status = response.status().as_u16();
        if status != 200 {
            return self.forward_refusal(lease, response).await;
        }
        if !marks.is_signed {
            return lost_run("the response is not signed", LossCause::EngineAlive);
        }
        self.traffic.metrics.count("requests_relayed");
        self.bind_to_stated(&response);
        if lease.channel.framing() == Framing::Channel {
            return lost_run("the response states no end", LossCause::EngineAlive);
        }
        let body = self.start_body(response);
        self.forward_events(peer, lease, body).await
    }

    fn not_taken(&self, peer: &Worker, why: &str) -> Outcome {
        via_peer::log_not_taken(&self.traffic, &self.job, peer, why);
        Outcome::NotRun { why: NotRunReason::NotSent(why.to_owned()) }
    }

    async fn wait_for_relayed_head(
        &mut self,
        peer: &Rc<Worker>,
        lease: &mut Lease,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Outcome> {
        let traffic = Rc::clone(&self.traffic);
        let response = tokio::select! {
            response = lease.send(request) => response,
            () = caller_disconnected(&mut self.response_tx, &self.body_tx) =>
                return Err(Outcome::CallerDisconnected),
            () = sleep_until(&traffic, self.job.until_ms) => {
                self.count_attempt();
                return Err(Outcome::DeadlinePassed);
            }
        };
        match response {
            Ok(response) => Ok(response),
            Err(Fault::Broken { detail }) => {
                peer.broke(traffic.now_ms());
                self.count_attempt();
                Err(lost_run(detail, LossCause::ConnectionClosed))
            }
            Err(fault) => {
                peer.broke(traffic.now_ms());
                Err(self.not_taken(peer, &fault.to_string()))
            }
        }
    }

    /// Handles a response without events: it goes to the caller, unless events went there already.
    async fn forward_refusal(&mut self, mut lease: Lease, response: Response<Incoming>) -> Outcome {
        let status = response.status().as_u16();
        if self.body_tx.is_some() {
            return match status {
                503 => Outcome::NotRun { why: NotRunReason::Status(status) },
                _ => lost_run(format!("status {status}"), LossCause::EngineAlive),
            };
        }
        let headers = response.headers().clone();
        let (body, until_ms) = (response.into_body(), self.job.until_ms);
        let body = self.traffic.read_peer_body(body, MAX_ANSWER_BYTES, until_ms).await;
        // Instances state the length of all their answers.
        let head = lease.channel.judge_end().ok();
        let head = head.filter(|head| head.framing == Framing::Stated);
        let (Ok(body), Some(head)) = (body, head) else {
            return lost_run("an incomplete response", LossCause::EngineAlive);
        };
        self.respond(answer::held(status, headers::of_answer(headers, head), body));
        Outcome::Done
    }

    async fn forward_events(
        &mut self,
        peer: &Rc<Worker>,
        lease: Lease,
        mut body: Incoming,
    ) -> Outcome {
        let traffic = Rc::clone(&self.traffic);
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        loop {
            let silent_ms = traffic.now_ms() + MAX_SILENCE_MS;
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller_disconnected(&mut self.response_tx, &self.body_tx) =>
                    return Outcome::CallerDisconnected,
                () = sleep_until(&traffic, silent_ms.min(self.job.until_ms)) => {
                    if traffic.now_ms() >= self.job.until_ms {
                        return Outcome::DeadlinePassed;
                    }
                    if !self.can_leave_silent_instance() {
                        continue;
                    }
                    peer.broke(traffic.now_ms());
                    return lost_run("the other instance is silent", LossCause::Silent);
                }
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    let detail = channel::error_with_cause(&error);
                    return lost_run(detail, LossCause::ConnectionClosed);
                }
                None if splitter.is_empty() => {
                    peer.give_back(lease, None, traffic.now_ms());
                    self.finish(peer);
                    return Outcome::Done;
                }
                None => {
                    return lost_run(
                        "the response ended in the middle of an event",
                        LossCause::EngineAlive,
                    );
                }
            };
            if !splitter.push(&data, &mut events) {
                return lost_run("an event exceeds the maximum length", LossCause::EngineAlive);
            }
            if let Some(outcome) = self.hold_events(&splitter, &events) {
                return outcome;
            }
            for event in events.drain(..) {
                if let Some(outcome) = self.forward_event(event).await {
                    return outcome;
                }
            }
        }
    }
}
