//! One attempt of a generation: attaches to a running stream, or starts one on an engine.

use std::sync::Arc;

use futures_util::StreamExt;
use tokio::sync::mpsc;

use crate::control::blackboard::InFlight;
use crate::control::health::Observation;
use crate::node::Node;
use crate::records::record::Stream;
use crate::request::engine::{self, Failure, Start};
use crate::request::generation::{Attempt, Event};

/// How many upstreams one attempt tries before it fails.
const UPSTREAMS_PER_ATTEMPT: usize = 3;

/// The task that carries out one attempt.
pub struct Job {
    /// The instance.
    pub node: Arc<Node>,
    /// The engine's request; its `stream_id` is set anew for each upstream.
    pub start: Start,
    /// The service that serves the model.
    pub service: Arc<str>,
    /// The run that the attempt belongs to.
    pub nonce: u64,
    /// The attempt as the decision describes it.
    pub attempt: Attempt,
    /// Receives the attempt's events.
    pub events: mpsc::Sender<Event>,
}

impl Job {
    /// Runs until the stream has ended or is lost.
    pub async fn run(mut self) {
        let was_placed = self.attach().await || self.place().await;
        let number = self.attempt.number;
        let _ = self.events.send(Event::Lost { attempt: number, was_placed }).await;
    }

    /// Attaches to a stream that may still run; `true` on success.
    async fn attach(&mut self) -> bool {
        let Some(stream) = self.attempt.attach.take() else { return false };
        self.send(Event::Placed { attempt: self.attempt.number, stream: stream.clone() }).await;
        let engine = Arc::clone(&self.node.engine);
        let from = self.attempt.from;
        match engine.attach(&stream.upstream, &stream.stream_id, from).await {
            Ok(events) => {
                self.pass_on(&stream.upstream, events).await;
                true
            }
            Err(_) => false,
        }
    }

    /// Tries upstreams until one accepts the work; `true` if one did.
    async fn place(&mut self) -> bool {
        let mut avoid = std::mem::take(&mut self.attempt.avoid);
        for again in 0..UPSTREAMS_PER_ATTEMPT {
            let Some(addr) = self.choose(&avoid) else { return false };
            let name =
                format!("{:x}-{}-{again}-{:x}", self.nonce, self.attempt.number, fastrand::u32(..));
            self.start.stream_id = Arc::from(name);
            let stream = Stream {
                upstream: Arc::clone(&addr),
                stream_id: Arc::clone(&self.start.stream_id),
                model: Arc::clone(&self.start.model),
            };
            self.send(Event::Placed { attempt: self.attempt.number, stream }).await;
            let engine = Arc::clone(&self.node.engine);
            match engine.start(&addr, &self.start).await {
                Ok(events) => {
                    self.pass_on(&addr, events).await;
                    return true;
                }
                Err(Failure::Leaving) => self.node.report_observation(&addr, Observation::Leaving),
                Err(Failure::BackOff { for_ms }) => {
                    self.node.report_observation(&addr, Observation::BackOff { for_ms });
                }
                Err(_) => self.node.report_observation(&addr, Observation::Refused),
            }
            avoid.push(addr);
        }
        false
    }

    fn choose(&self, avoid: &[Arc<str>]) -> Option<Arc<str>> {
        let Start { model, prompt, .. } = &self.start;
        self.node.snapshot().choose(&self.service, Some(model), prompt, avoid)
    }

    async fn pass_on(&self, upstream: &str, mut events: engine::Events) {
        let snapshot = self.node.snapshot();
        let _in_flight = snapshot.upstream(upstream).map(|entry| InFlight::new(&entry.counters));
        let attempt = self.attempt.number;
        while let Some(event) = events.next().await {
            let event = match event {
                engine::Event::Token { index, text } => Event::Token { attempt, index, text },
                engine::Event::End { tokens, reason } => {
                    Event::End { attempt, tokens, reason: Arc::from(reason) }
                }
            };
            self.send(event).await;
        }
    }

    async fn send(&self, event: Event) {
        // The receiver is dropped only after the generation has ended.
        let _ = self.events.send(event).await;
    }
}
