//! Whose requests count against the rate that a service names.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::http::Message;
use siskinrock_fakes::service::RateTold;
use siskinrock_soak::history::Span;
use siskinrock_soak::signals::{self, Knowledge, Limit, Start};

const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 101, 0, 1));
/// The rate in the tests allows 11 requests in 4 s.
const TOO_MANY: u64 = 12;

/// Whether the rate, named for 12 s, counts as broken by requests that come at a time, from a process
/// that was told and started again at such times.
fn is_broken(at_ms: u64, told_ms: &[u64], started_ms: &[u64]) -> bool {
    let from = Instant::now();
    let after = |ms: u64| from + Duration::from_millis(ms);
    let limit =
        Limit { service: 0, per_s: 1.0, at: Duration::ZERO, lasts: Duration::from_secs(12) };
    let named = Span { from: from.into(), until: after(12_000).into() };
    let seen = (0..TOO_MANY).map(|number| Seen {
        request: Message::default(),
        source: Some(SOURCE),
        at: after(at_ms + number),
        ran: true,
        from_copy: false,
        version: String::new(),
        has_events: false,
    });
    let told = told_ms.iter().map(|ms| RateTold { source: SOURCE, at: after(*ms) });
    let starts = started_ms.iter().map(|ms| Start { source: SOURCE, at: after(*ms).into() });
    let knowledge = Knowledge { told: told.collect(), starts: starts.collect() };
    signals::check(&limit, named, &seen.collect::<Vec<_>>(), &knowledge).is_some()
}

/// Guards against a soak that says of a process that has just started, and that no answer has told, that
/// it doesn't keep to a rate.
#[test]
fn a_process_that_was_just_started_and_not_told_is_excused() {
    assert!(!is_broken(6_000, &[], &[5_500]));
    assert!(!is_broken(6_000, &[1_000], &[5_500]));
    assert!(!is_broken(6_000, &[5_800], &[5_500]));
}

/// Guards against excuses for all others.
#[test]
fn other_processes_are_held_to_the_rate() {
    assert!(is_broken(6_000, &[], &[]));
    assert!(is_broken(6_000, &[], &[2_000]));
    assert!(is_broken(6_000, &[5_500], &[5_000]));
    assert!(is_broken(6_000, &[], &[7_000]));
}
