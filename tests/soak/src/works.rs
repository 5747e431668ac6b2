//! The promise that a request goes on at another engine only when the one before has ended its work.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::checks::Outcome;
use crate::history::{History, Span, Target};

/// What engines worked on, by request: each engine, and from the first event until the end.
pub type Works = BTreeMap<String, Vec<(usize, Span)>>;

/// How long two engines may work on one request.
const BOTH_AT_WORK: Duration = Duration::from_millis(400);
/// How long before that its gateway and both links must have been undisturbed: `contact-ms`.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The requests on which two engines worked for too long, though their gateway reached both.
pub fn check(outcomes: &[Outcome], works: Works, history: &History) -> Vec<String> {
    let sent: BTreeMap<&str, &Outcome> =
        outcomes.iter().map(|outcome| (&*outcome.id, outcome)).collect();
    let mut broken = Vec::new();
    for (id, mut spans) in works {
        let Some(outcome) = sent.get(&*id) else { continue };
        spans.sort_by_key(|(_, span)| span.from);
        for (number, &(after, second)) in spans.iter().enumerate() {
            for &(before, first) in &spans[..number] {
                let both = first.until.saturating_duration_since(second.from);
                let is_over = before == after || both <= BOTH_AT_WORK;
                if !is_over && !is_excused(outcome, &[before, after], first, history) {
                    let ms = both.as_millis();
                    broken.push(format!(
                        "{id} was worked on by engines {before} and {after} for {ms} ms"
                    ));
                }
            }
        }
    }
    broken
}

fn is_excused(outcome: &Outcome, engines: &[usize], span: Span, history: &History) -> bool {
    let from = span.from.checked_sub(CONTACT).unwrap_or(span.from);
    let in_touch = Span { from, ..span };
    history.is_harmed(Target::Gateway(outcome.gateway), in_touch)
        || history
            .stops_of(outcome.gateway)
            .any(|at| Span { from: at, until: at }.overlaps(in_touch))
        || engines.iter().any(|engine| history.is_unreached(*engine, in_touch))
}
