//! `siskinrock router` before clients that don't behave.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use siskinrock_fakes::crowd::{Crowd, Sends};
use siskinrock_fakes::footprint::Watch;
use siskinrock_fakes::process;
use yare::parameterized;

use crate::limits::{self, DESCRIPTORS, crowd};
use crate::support::{Cluster, HARBOUR_KEY, Shape};

/// How long an ordinary caller goes on sending its request again.
const PATIENCE: Duration = Duration::from_secs(20);
const ENVIRONMENT: [(&str, &str); 2] =
    [("SISKINROCK_MEMORY_MB", "64"), ("SISKINROCK_MAX_FDS", "500")];
/// A service's path, one that no service has, and the completions.
const CHECK: &str = "POST /v1/services/booking/check/K3-07";
const NO_SERVICE: &str = "POST /v1/services/none/check/K3-07";
const COMPLETION: &str = "POST /v1/completions";
const OPERATOR: &str = "POST /v1/operator";

async fn start() -> Cluster {
    let shape = Shape { routers: 1, environment: ENVIRONMENT.to_vec(), ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    process::limit_descriptors(cluster.routers[0].pid(), DESCRIPTORS);
    cluster
}

fn addr(cluster: &Cluster) -> SocketAddr {
    cluster.routers[0].addr.parse().unwrap()
}

async fn is_served(cluster: &Cluster) -> bool {
    let url = format!("http://{}/v1/services/booking/check/K3-07", cluster.routers[0].addr);
    let since = Instant::now();
    while since.elapsed() < PATIENCE {
        let request = cluster.http.get(&url).bearer_auth(HARBOUR_KEY);
        let answer = request.timeout(PATIENCE.saturating_sub(since.elapsed())).send().await;
        match answer.map(|answer| answer.status().as_u16()) {
            Ok(200) => return true,
            Ok(status) if status != 503 => return false,
            _ => tokio::time::sleep(Duration::from_millis(300)).await,
        }
    }
    false
}

/// Fails the test unless the router lives, stayed within its machine, and serves a request beside a
/// crowd.
async fn judge(line: &str, key: &str, sends: Sends) {
    let _alone = limits::alone().await;
    let cluster = start().await;
    let addr = addr(&cluster);
    let watch = Watch::start(cluster.routers[0].pid(), vec![addr]);
    let headers = format!("Host: router\r\nAuthorization: Bearer {key}\r\n");
    let beside = Crowd::send(addr, crowd(line, &headers, sends)).await;
    let is_served = is_served(&cluster).await;
    let whole = beside.sent_all();
    drop(beside);
    let peak = watch.peak();
    println!("{} KB, {} sockets, {whole} clients sent all", peak.memory_kb, peak.sockets);
    limits::assert_within(peak);
    assert!(is_served, "an ordinary request isn't served");
}

/// Guards against a process that ends, or takes more than its machine has, by what callers send.
#[parameterized(
    whole = { CHECK, Sends::Whole },
    short = { CHECK, Sends::Short },
    tiny_chunks = { CHECK, Sends::TinyChunks },
    announced_over = { CHECK, Sends::AnnouncedOver },
    sent_over = { CHECK, Sends::SentOver },
    half_heads = { CHECK, Sends::HalfHead },
    pipelined = { CHECK, Sends::Pipelined },
    connections = { CHECK, Sends::Nothing },
    completions_short = { COMPLETION, Sends::Short },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_of_known_callers_is_borne(line: &str, sends: Sends) {
    judge(line, HARBOUR_KEY, sends).await;
}

/// Guards against the same by callers who are refused whatever they send.
#[parameterized(
    no_service_short = { NO_SERVICE, HARBOUR_KEY, Sends::Short },
    no_key_sent_over = { CHECK, "nobody's", Sends::SentOver },
    operator_short = { OPERATOR, "nobody's", Sends::Short },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_of_refused_callers_is_borne(line: &str, key: &str, sends: Sends) {
    judge(line, key, sends).await;
}
