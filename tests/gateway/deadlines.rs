//! The end of a caller's time, as it measures it.

use std::time::{Duration, Instant};

use siskinrock::gateway::policy::caller_time;
use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::site::Site;
use tokio::task::JoinSet;

use crate::support::{self, plan};

/// Guards against streams that are cut up to a millisecond before their caller's time is over.
#[tokio::test]
async fn a_stream_is_not_cut_before_its_callers_time_is_over() {
    const DEADLINE_MS: u64 = 300;
    const STREAMS: u32 = 60;
    /// So that streams begin in every part of a millisecond.
    const INTERVAL: Duration = Duration::from_micros(5_130);
    let running = support::start_site(Site::start(2, 200).await, 1).await;
    let front = running.gateways[0].front;
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        streams.spawn(async move {
            tokio::time::sleep(INTERVAL * number).await;
            let sent =
                Call { path: "/plan/once/voyage".to_owned(), deadline_ms: DEADLINE_MS, ..plan() };
            let begin = Instant::now();
            let stream = caller::stream(front, &sent).await;
            (begin.elapsed(), stream.map(|stream| stream.is_complete))
        });
    }
    let ends = streams.join_all().await;
    let is_early = |(took, is_complete): &&(Duration, std::io::Result<bool>)| {
        matches!(is_complete, Ok(false)) && *took < Duration::from_millis(DEADLINE_MS)
    };
    let early: Vec<_> = ends.iter().filter(is_early).collect();
    assert!(early.is_empty(), "{} of {}: {early:?}", early.len(), ends.len());
}

/// A request that comes at any moment of a millisecond, and a timer that goes off at any.
#[test]
fn a_callers_time_ends_no_earlier_and_no_upstream_gets_more_of_it() {
    const TIMEOUT_MS: u64 = 300;
    let now_ms = |at_us: u64| at_us / 1_000;
    for taken_us in 5_000..6_000 {
        let end_ms = caller_time::end_ms(now_ms(taken_us), TIMEOUT_MS);
        let callers_end_us = taken_us + 1_000 * TIMEOUT_MS;
        assert!(1_000 * end_ms >= callers_end_us, "taken at {taken_us} us, ended at {end_ms} ms");
        for passed_on_us in (taken_us..callers_end_us).step_by(997) {
            let left_ms = caller_time::left_ms(end_ms, now_ms(passed_on_us));
            assert!(left_ms <= 1 + (callers_end_us - passed_on_us) / 1_000);
        }
    }
    assert_eq!(caller_time::left_ms(caller_time::end_ms(5, TIMEOUT_MS), 5), TIMEOUT_MS);
    assert_eq!(caller_time::left_ms(caller_time::end_ms(5, u64::MAX), 5), u64::MAX - 6);
}
