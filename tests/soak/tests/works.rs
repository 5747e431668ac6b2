//! What counts as two engines that work on one request, and what names the versions of a stream.

use std::collections::BTreeSet;
use std::time::Duration;

use siskinrock_soak::checks::{self, Kind, Outcome};
use siskinrock_soak::history::{History, Span, Target};
use siskinrock_soak::works::{self, Works};
use tokio::time::Instant;

/// Where the request of these tests was sent.
const GATEWAY: usize = 2;

/// Whether a request breaks the promise that one engine worked on from 10 s after the beginning until
/// then, and another from 11 s to 13 s, after such a history.
fn is_broken(
    engines: [usize; 2],
    until_ms: u64,
    history: impl FnOnce(Instant, &mut History),
) -> bool {
    let spans = [(engines[0], 10_000, until_ms), (engines[1], 11_000, 13_000)];
    !broken(&spans, history).is_empty()
}

/// What is broken of the promise by these engines, each with when it began and ended to work on a request.
fn broken(spans: &[(usize, u64, u64)], history: impl FnOnce(Instant, &mut History)) -> Vec<String> {
    let start = Instant::now();
    let span = |from_ms: u64, until_ms: u64| Span {
        from: start + Duration::from_millis(from_ms),
        until: start + Duration::from_millis(until_ms),
    };
    let outcome = Outcome {
        id: "1".to_owned(),
        kind: Kind::Plan("a".to_owned(), 0),
        status: 200,
        text: String::new(),
        versions: BTreeSet::new(),
        is_complete: true,
        is_calm: false,
        gateway: GATEWAY,
        span: span(9_000, 14_000),
    };
    let spans = spans.iter().map(|(engine, from, until)| (*engine, span(*from, *until))).collect();
    let mut noted = History::default();
    history(start, &mut noted);
    works::check(&[outcome], Works::from([("1".to_owned(), spans)]), &noted)
}

#[test]
fn every_two_engines_are_compared() {
    let spans = [(0, 10_000, 13_000), (1, 10_100, 10_200), (2, 10_300, 12_000)];
    let told = broken(&spans, |_, _| {});
    let pairs = ["0 and 1 for 2900 ms", "0 and 2 for 2700 ms"];
    assert_eq!(told, pairs.map(|pair| format!("1 was worked on by engines {pair}")));
}

#[test]
fn two_engines_may_work_on_a_request_for_400_ms() {
    assert!(is_broken([0, 1], 12_000, |_, _| {}));
    assert!(is_broken([0, 1], 11_401, |_, _| {}));
    assert!(!is_broken([0, 1], 11_400, |_, _| {}));
    assert!(!is_broken([1, 1], 12_000, |_, _| {}), "the same engine works on it again");
}

#[test]
fn a_gateway_or_an_engine_out_of_touch_excuses_it() {
    let moment = |start: Instant, at_ms: u64| {
        let at = start + Duration::from_millis(at_ms);
        Span { from: at, until: at }
    };
    assert!(!is_broken([0, 1], 12_000, |start, history| {
        history.harm(Target::Gateway(GATEWAY), moment(start, 8_000));
    }));
    assert!(!is_broken([0, 1], 12_000, |start, history| {
        history.lose_reach(0, moment(start, 8_000));
    }));
    assert!(is_broken([0, 1], 12_000, |start, history| {
        history.harm(Target::Engine(0), moment(start, 10_500));
        history.harm(Target::Gateway(GATEWAY), moment(start, 6_000));
        history.lose_reach(3, moment(start, 10_500));
    }));
}

#[test]
fn the_versions_of_a_stream_are_taken_out_of_its_text() {
    let text = ": version v1\nid: 1\ndata: a.1\n\n: version v1.1\nid: 2\ndata: a.2\n\n";
    let (events, versions) = checks::take_versions(text);
    assert_eq!(events, "id: 1\ndata: a.1\n\nid: 2\ndata: a.2\n\n");
    assert_eq!(versions, BTreeSet::from(["v1".to_owned(), "v1.1".to_owned()]));
}
