//! What callers saw, against what upstreams did.

use std::collections::BTreeMap;
use std::path::PathBuf;

use siskinrock_fakes::engine::{EVENTS, Seen, event};

/// What one caller's request came to.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Its name.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The status; 0 if the connection broke before an answer.
    pub status: u16,
    /// The body of a call, or the text of a stream.
    pub text: String,
    /// Whether the answer was complete.
    pub is_complete: bool,
    /// Whether it was sent after all faults had ended for a while.
    pub is_calm: bool,
}

/// The kinds of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A call that may not be repeated.
    Book,
    /// A call that may.
    Look,
    /// A stream with the request's own part of the prompt, after an event.
    Plan(String, u64),
}

/// What a seed showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests sent.
    pub sent: usize,
    /// Requests served.
    pub served: usize,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Where logs and the list of faults are.
    pub folder: PathBuf,
}

impl Report {
    /// One line.
    pub fn summary(&self) -> String {
        let Report { sent, served, broken, .. } = self;
        format!("{served} of {sent} requests served, {} promises broken", broken.len())
    }
}

/// Checks every outcome against what upstreams saw.
pub fn check(outcomes: &[Outcome], seen: &[Seen], report: &mut Report) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for seen in seen.iter().filter(|seen| seen.ran) {
        *runs.entry(seen.request.header("x-request-id").unwrap_or_default()).or_default() += 1;
    }
    for id in runs.keys() {
        if !outcomes.iter().any(|outcome| outcome.id == *id) {
            report.broken.push(format!("{id} ran and nobody sent it"));
        }
    }
    for outcome in outcomes {
        report.sent += 1;
        let ran = runs.get(&*outcome.id).copied().unwrap_or(0);
        let fault = match &outcome.kind {
            Kind::Plan(part, after) => check_stream(outcome, part, *after),
            Kind::Book | Kind::Look => check_call(outcome, ran),
        };
        let is_served = outcome.status == 200 && outcome.is_complete;
        report.served += usize::from(is_served);
        let fault = fault.or_else(|| check_promise(outcome, ran));
        let fault = fault
            .or_else(|| (outcome.is_calm && !is_served).then(|| "not served in calm".to_owned()));
        if let Some(fault) = fault {
            report.broken.push(format!(
                "{} {:?} status {} ran {ran}: {fault}",
                outcome.id, outcome.kind, outcome.status
            ));
        }
    }
}

fn check_call(outcome: &Outcome, ran: usize) -> Option<String> {
    if outcome.kind == Kind::Book && ran > 1 {
        return Some("ran more than once".to_owned());
    }
    let is_own = outcome.text.starts_with(&format!("answer to {} ", outcome.id));
    (outcome.status == 200 && !(is_own && outcome.is_complete))
        .then(|| format!("a wrong answer: {:?}", outcome.text))
}

fn check_stream(outcome: &Outcome, part: &str, after: u64) -> Option<String> {
    if outcome.status != 200 {
        return None;
    }
    let whole: String = (after + 1..=EVENTS).map(|id| event(part, id)).collect();
    if outcome.is_complete && outcome.text != whole {
        return Some(format!("complete, and not whole: {:?}", outcome.text));
    }
    (!whole.starts_with(&outcome.text)).then(|| format!("wrong events: {:?}", outcome.text))
}

/// These statuses promise that the request has not run and never will.
fn check_promise(outcome: &Outcome, ran: usize) -> Option<String> {
    let promises = matches!(outcome.status, 408 | 421 | 429 | 503);
    (promises && ran > 0).then(|| "refused as not run, and ran".to_owned())
}
