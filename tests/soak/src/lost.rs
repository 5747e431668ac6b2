//! The promise that planned work loses nothing: a request that was passed on is answered whole,
//! unless something unplanned befell its gateway or its upstream.

use std::time::Duration;

use siskinrock_fakes::process::GRACE;
use tokio::time::Instant;

use crate::checks::{Kind, Outcome};
use crate::history::{History, Span, Target};

/// How long before a request its gateway must have been undisturbed: `contact-ms` of the platform.
const CONTACT: Duration = Duration::from_millis(3_000);
/// A request that was sent later than this after the signal to stop is never cut for the grace.
const LATE: Duration = Duration::from_secs(3);
/// How long after the grace the end of a stop may be its doing.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// The timeout of the routes for calls in the fakes' configuration.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The time that callers of streams give.
pub const STREAM_TIMEOUT: Duration = Duration::from_millis(15_000);

/// What is wrong if a request that ran on these upstreams was lost without a reason.
pub fn check(outcome: &Outcome, ran_on: &[Target], history: &History) -> Option<String> {
    let is_cut = outcome.status == 200 && !outcome.is_complete;
    let is_lost = (outcome.status == 0 || is_cut) && !ran_on.is_empty();
    if !is_lost || is_excused(outcome, ran_on, history) {
        return None;
    }
    let stopped = stopped_before(outcome, history)
        .map_or("not being stopped".to_owned(), |ms| format!("told to stop {ms} ms before"));
    Some(format!(
        "passed on and not answered whole, after {} ms, by gateway {}, {stopped}",
        (outcome.span.until - outcome.span.from).as_millis(),
        outcome.gateway,
    ))
}

/// How long before the end of a request the stop of its gateway began, if it was under way.
fn stopped_before(outcome: &Outcome, history: &History) -> Option<u128> {
    let until = outcome.span.until;
    let before =
        history.stops_of(outcome.gateway).filter_map(|at| until.checked_duration_since(at));
    before.filter(|before| *before <= GRACE + AFTER_GRACE).max().map(|before| before.as_millis())
}

fn is_excused(outcome: &Outcome, ran_on: &[Target], history: &History) -> bool {
    let span = outcome.span;
    let timeout = match outcome.kind {
        Kind::Book | Kind::Look => CALL_TIMEOUT,
        Kind::Plan(..) => STREAM_TIMEOUT,
    };
    let in_touch = Span { from: span.from.checked_sub(CONTACT).unwrap_or(span.from), ..span };
    span.until - span.from >= timeout
        || history.is_harmed(Target::Gateway(outcome.gateway), in_touch)
        || ran_on.iter().any(|upstream| history.is_harmed(*upstream, span))
        || history.stops_of(outcome.gateway).any(|at| is_cut_by_grace(span, at))
}

/// Whether a request had the time that a stop leaves, and still ran in the last sixth of the grace.
fn is_cut_by_grace(span: Span, stopped_at: Instant) -> bool {
    let last_part =
        Span { from: stopped_at + GRACE * 5 / 6, until: stopped_at + GRACE + AFTER_GRACE };
    let ends = Span { from: span.until, until: span.until };
    span.from <= stopped_at + LATE && ends.overlaps(last_part)
}
