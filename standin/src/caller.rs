//! A caller as the users write them: it keeps its key, connects again where it can, and trusts
//! only an explicit end.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde::Deserialize;

use crate::chain;

/// How long a caller waits for anything on a stream, keep-alives included.
const SILENCE_MS: u64 = 3_000;
/// The wait before a caller connects again.
const RECONNECT_MS: u64 = 50;

/// What a caller wants generated.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The instances it may use, best first.
    pub addresses: Vec<String>,
    /// The organisation's key.
    pub organisation_key: String,
    /// Its idempotency key.
    pub idempotency_key: String,
    pub model: String,
    pub prompt: String,
    pub max_tokens: usize,
    /// How long it keeps trying.
    pub patience_ms: u64,
}

/// A whole answer and how it came.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub tokens: Vec<String>,
    pub connections: usize,
    pub first_ms: u64,
    pub longest_gap_ms: u64,
    /// The times between tokens, in microseconds.
    pub gaps_us: Vec<u64>,
}

#[derive(Deserialize)]
struct Chunk {
    token_index: Option<usize>,
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: usize,
}

/// What one connection came to.
enum Ended {
    Whole,
    Broken,
}

/// The state of a caller over all its connections.
struct Reading<'a> {
    answer: Answer,
    last_event_id: Option<String>,
    last: Instant,
    started: Instant,
    on_token: &'a mut (dyn FnMut(usize) + Send),
}

/// Asks for a generation until it is whole, and checks every token on the way.
///
/// # Errors
///
/// A sentence that says which promise broke, or what the system refused.
pub async fn generate(plan: &Plan) -> Result<Answer, String> {
    generate_watched(plan, &mut |_| {}).await
}

/// Like [`generate`], with a call for each token.
///
/// # Errors
///
/// A sentence that says which promise broke, or what the system refused.
pub async fn generate_watched(
    plan: &Plan,
    on_token: &mut (dyn FnMut(usize) + Send),
) -> Result<Answer, String> {
    let client = client();
    let started = Instant::now();
    let answer = Answer::default();
    let mut reading = Reading { answer, last_event_id: None, last: started, started, on_token };
    while started.elapsed() < Duration::from_millis(plan.patience_ms) {
        let at = reading.answer.connections % plan.addresses.len();
        reading.answer.connections += 1;
        if let Ended::Whole = connect(&client, plan, &plan.addresses[at], &mut reading).await? {
            let tokens = &reading.answer.tokens;
            let broken = |error| format!("the answer is not one chain: {error:?}");
            chain::verify(&plan.prompt, tokens).map_err(broken)?;
            return Ok(reading.answer);
        }
        tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
    }
    Err(format!("not whole in time: {} tokens", reading.answer.tokens.len()))
}

/// A client that a caller would use.
pub fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy();
    builder.connect_timeout(Duration::from_secs(1)).build().expect("a client can be built")
}

async fn connect(
    client: &reqwest::Client,
    plan: &Plan,
    address: &str,
    reading: &mut Reading<'_>,
) -> Result<Ended, String> {
    let body = serde_json::json!({
        "model": plan.model, "prompt": plan.prompt, "max_tokens": plan.max_tokens, "stream": true
    });
    let request = client.post(format!("http://{address}/v1/completions"));
    let mut request = request.bearer_auth(&plan.organisation_key).json(&body);
    request = request.header("idempotency-key", &plan.idempotency_key);
    if let Some(id) = &reading.last_event_id {
        request = request.header("last-event-id", id);
    }
    let patience = Duration::from_millis(SILENCE_MS);
    let Ok(Ok(response)) = tokio::time::timeout(patience, request.send()).await else {
        return Ok(Ended::Broken);
    };
    match response.status().as_u16() {
        200 => read(response, reading).await,
        409 | 429 | 503 => Ok(Ended::Broken),
        status => {
            Err(format!("refused with {status}: {}", response.text().await.unwrap_or_default()))
        }
    }
}

async fn read(response: reqwest::Response, reading: &mut Reading<'_>) -> Result<Ended, String> {
    // Keep-alives arrive as bytes, so silence is measured below the events.
    let patience = Duration::from_millis(SILENCE_MS);
    let bytes = response.bytes_stream();
    let patient = futures_util::stream::unfold(Box::pin(bytes), move |mut bytes| async move {
        let next = tokio::time::timeout(patience, bytes.next()).await.ok()??;
        Some((next, bytes))
    });
    let mut events = Box::pin(patient.eventsource());
    while let Some(Ok(event)) = events.next().await {
        match event.event.as_str() {
            "end" => return reading.take_end(&event.data),
            "error" => return reading.take_error(&event.data),
            _ => reading.take_token(&event.id, &event.data)?,
        }
    }
    Ok(Ended::Broken)
}

impl Reading<'_> {
    fn take_token(&mut self, id: &str, data: &str) -> Result<(), String> {
        let chunk: Chunk = serde_json::from_str(data).map_err(|error| error.to_string())?;
        let expected = self.answer.tokens.len();
        if chunk.token_index != Some(expected) {
            return Err(format!("token {expected} expected, got {:?}", chunk.token_index));
        }
        let now = Instant::now();
        let gap = now.duration_since(self.last);
        if expected == 0 {
            self.answer.first_ms = now.duration_since(self.started).as_millis() as u64;
        } else {
            self.answer.gaps_us.push(gap.as_micros() as u64);
            let gap_ms = gap.as_millis() as u64;
            self.answer.longest_gap_ms = self.answer.longest_gap_ms.max(gap_ms);
        }
        self.last = now;
        self.last_event_id = Some(id.to_owned());
        self.answer.tokens.extend(chunk.choices.into_iter().map(|choice| choice.text));
        (self.on_token)(expected);
        Ok(())
    }

    fn take_end(&mut self, data: &str) -> Result<Ended, String> {
        let chunk: Chunk = serde_json::from_str(data).map_err(|error| error.to_string())?;
        let count = chunk.usage.map(|usage| usage.completion_tokens);
        let seen = self.answer.tokens.len();
        if count != Some(seen) {
            return Err(format!("the end counts {count:?} tokens, {seen} were seen"));
        }
        Ok(Ended::Whole)
    }

    fn take_error(&mut self, data: &str) -> Result<Ended, String> {
        if data.contains("\"moved\"") || data.contains("\"claim_unavailable\"") {
            return Ok(Ended::Broken);
        }
        Err(format!("failed: {data}"))
    }
}
