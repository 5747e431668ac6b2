//! A request that crashes whatever runs it is kept from all upstreams; those beside it are served.
//!
//! Engines of one service ended one after the other, most of them several times within two minutes.
//! Callers of long streams saw theirs pause over and over, and in the worst seconds more than half of
//! them failed. One stream was sent to an engine, the head of its answer came, and within 110 ms the
//! engine's process ended. Its instance went on with it at the next engine, 23 times until its caller
//! left, and the caller came again, under another id and to other instances.
//!
//! Two causes. An engine that ends by itself was taken out of the count of attempts, so that a stream
//! outlives any number of power losses; nothing asked who had ended it. And what an instance learned
//! of a request went with that request.
//!
//! Evidence: 23 lines `engine lost` of one request that never had an event, on a route that allows five
//! attempts; `nothing listens there` for each of these engines; and requests of one fingerprint under
//! different ids, each with such a series.

use std::time::{Duration, Instant};

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::site::Site;

use crate::support::{self, Running, plan, whole_text};

/// What a request says that ends each engine that runs it.
const POISON: &[u8] = b"a body that ends each engine that runs it";
/// Engines that a request may end until it is known: with fewer, others could be to blame.
const MOST_CRASHES: usize = 3;
/// How long a request that is known may wait for its answer: no attempt of it takes less.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Twelve engines that end when they run the poison, before so many gateways.
async fn start(gateways: u8) -> Running {
    let site = Site::start(4, 15).await;
    site.engines.iter().for_each(|engine| engine.crash_on(POISON));
    support::start_site(site, gateways).await
}

fn poison() -> Call {
    Call { body: POISON.to_vec(), deadline_ms: 10_000, ..plan() }
}

impl Running {
    fn crashed(&self) -> usize {
        self.site.engines.iter().filter(|engine| engine.has_crashed()).count()
    }
}

/// It comes to one instance, then again to each; streams of others run at the same engines.
#[tokio::test]
async fn a_request_that_crashes_engines_is_stopped_for_all_instances() {
    let running = start(3).await;
    let others: Vec<Call> = (0..6).map(|_| plan()).collect();
    let reading: Vec<_> = others.iter().map(|sent| running.read_stream(sent)).collect();
    let sent = poison();
    let _ = caller::stream(running.front(0), &sent).await;
    assert!(running.crashed() <= MOST_CRASHES, "{} engines ended", running.crashed());
    let crashed = running.crashed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for instance in 0..3 {
        let again = Call { id: support::new_id(), ..sent.clone() };
        let since = Instant::now();
        let answer = caller::send(running.front(instance), &again).await.unwrap();
        assert!(since.elapsed() < AT_ONCE, "refused after {:?}", since.elapsed());
        assert_eq!(answer.status(), 503, "it has not run this time");
        let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 60.0, "it is told to come back when it may be served: {after}");
        assert!(String::from_utf8_lossy(&answer.body).contains("quarantine"));
    }
    assert_eq!(running.crashed(), crashed, "no engine ended when it came again");
    for (sent, stream) in others.iter().zip(reading) {
        let stream = stream.await.unwrap().unwrap();
        assert!(stream.is_complete, "a stream that shared an engine with it is served");
        assert_eq!(stream.text, whole_text(sent, 0));
    }
}
