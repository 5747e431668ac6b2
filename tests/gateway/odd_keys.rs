//! Odd keys, and pages and watches that lead no further, cost nobody the upstreams that can be read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use siskinrock::gateway::control::fetch::{self, ListContent, ListResponse};
use siskinrock::gateway::fleet::Page;
use siskinrock::gateway::loads::UpstreamSubset;
use siskinrock::gateway::policy::subset::Share;
use siskinrock::gateway::route::Config;
use siskinrock::platform::document;
use siskinrock_fakes::caller;
use siskinrock_fakes::footprint::Watch;
use siskinrock_fakes::http;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{KEY, Site, config};
use siskinrock_fakes::store::{Astray, Fault};
use yare::parameterized;

use crate::support::{self, Running, call};

/// How long after a start requests are served again (`recovery-s`).
const RECOVERY: Duration = Duration::from_secs(12);
/// How long a new upstream may take to be used.
const JOIN: Duration = Duration::from_secs(4);
/// The memory of a small machine.
const MEMORY_KB: u64 = 256 << 10;
const ODD: [&str; 7] =
    ["lab+", "lab%20", "lab#", "lab&after=op", "lab bench", "läb-実験", "lab?a=b"];

impl Running {
    /// Starts all instances, which have ended, and waits until they are ready; watches what they hold.
    async fn start_again(&mut self) -> Vec<Watch> {
        let begun = Instant::now();
        let addrs = vec![self.site.store.addr];
        let mut watches = Vec::new();
        for gateway in &mut self.gateways {
            gateway.kill();
            gateway.restart();
            watches.push(Watch::start(gateway.pid().unwrap(), addrs.clone()));
        }
        for gateway in &self.gateways {
            wait_for("an instance is ready", async || gateway.is_ready().await).await;
        }
        assert!(begun.elapsed() <= RECOVERY, "ready after {:?}", begun.elapsed());
        watches
    }

    /// Asserts that look-ups at all instances are served.
    async fn assert_served(&self) {
        for index in 0..20 {
            let front = self.front(index % self.gateways.len());
            let answer = caller::send(front, &call("GET", "/look/a")).await.unwrap();
            assert_eq!(answer.status(), 200, "look-up {index}");
        }
    }

    /// Waits until a service of the site is used, which wasn't listed.
    async fn assert_joins(&self, service: usize, within: Duration) {
        self.site.list_service(service, "ready");
        self.assert_used(service, within).await;
    }

    async fn assert_used(&self, service: usize, within: Duration) {
        let begun = Instant::now();
        let service = &self.site.services[service];
        wait_for("the service is used", async || {
            for index in 0..self.gateways.len() {
                let _ = caller::send(self.front(index), &call("GET", "/look/a")).await;
            }
            service.seen().iter().any(|seen| seen.ran)
        })
        .await;
        assert!(begun.elapsed() <= within, "used after {:?}", begun.elapsed());
    }

    /// How many calls for pages the store gets in this time.
    async fn page_calls(&self, within: Duration) -> usize {
        let count = || {
            let targets = self.site.store.targets();
            targets.iter().filter(|target| target.contains("kv-range")).count()
        };
        let before = count();
        tokio::time::sleep(within).await;
        count() - before
    }
}

fn assert_within_memory(watches: Vec<Watch>) {
    for watch in watches {
        let peak = watch.peak();
        assert!(peak.memory_kb < MEMORY_KB, "{} KB", peak.memory_kb);
    }
}

/// Takes a service out of the list, for it to join later.
fn unlist(site: &Site, service: usize) {
    site.store.remove(&format!("servers/{}", site.services[service].current_id()));
}

/// Guards against instances that are never ready, and fill their machine, since other writers' keys don't
/// come back as they were sent.
#[tokio::test]
async fn instances_start_beside_odd_keys_and_find_new_upstreams() {
    let mut running = support::start(2).await;
    running.site.store.set_page(50);
    for odd in ODD {
        for number in 0..60 {
            running.site.store.put(&format!("servers/{odd}{number:02}"), &json!({"owner": "lab"}));
            running.site.store.put(&format!("{odd}{number:02}"), &json!([number]));
            running.site.store.put(&format!("siskinrock/z/{odd}{number:02}"), &json!(null));
        }
        running.site.store.put(&format!("servers/{odd:a<190}"), &json!({}));
    }
    unlist(&running.site, 1);
    unlist(&running.site, 2);
    let watches = running.start_again().await;
    running.assert_served().await;
    running.assert_joins(1, JOIN).await;
    running.site.store.forget_history();
    running.site.store.put("servers/lab+", &json!({}));
    tokio::time::sleep(Duration::from_secs(1)).await;
    running.assert_joins(2, JOIN).await;
    running.assert_served().await;
    assert_within_memory(watches);
}

/// Guards against one odd key that ends a page, with nothing odd beside it.
#[parameterized(
    plus = { "servers/zz+" },
    fragment = { "servers/zz#" },
    blank = { "servers/zz z" },
    longest = { LONGEST },
)]
#[test_macro(tokio::test)]
async fn an_instance_starts_beside_one_odd_key_that_ends_a_page(key: &str) {
    let mut running = support::start(1).await;
    let store = &running.site.store;
    store.put(key, &json!({"owner": "lab"}));
    store.set_page(1);
    let watches = running.start_again().await;
    running.assert_served().await;
    assert_within_memory(watches);
}

/// As long as the store allows.
const LONGEST: &str = concat!(
    "servers/zz++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++",
    "++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++++"
);

/// Guards against starts that wait for the end of a list that has none, and against what they hold and ask
/// for meanwhile.
#[parameterized(
    same_page = { Astray::SamePage },
    back = { Astray::BackInPages },
    empty = { Astray::EmptyPages },
    endless = { Astray::EndlessPages },
)]
#[test_macro(tokio::test)]
async fn a_start_serves_from_a_list_that_leads_no_further(astray: Astray) {
    let mut running = support::start(2).await;
    let upstreams = running.site.engines.len() + 1;
    // The configuration, the engines and the first service.
    running.site.store.set_page(1 + upstreams);
    running.site.store.fail(Fault::Astray(astray));
    let watches = running.start_again().await;
    running.assert_served().await;
    if astray != Astray::EndlessPages {
        // Tries after 250, 500, 1,000 and 2,000 ms, two pages each.
        let calls = running.page_calls(Duration::from_secs(4)).await;
        assert!(calls <= 2 * 5 * 2, "{calls} calls");
    }
    running.site.store.fail(Fault::None);
    running.assert_used(1, RECOVERY).await;
    running.assert_used(2, RECOVERY).await;
    assert_within_memory(watches);
}

/// Guards against running instances that lose what they have, or fill their machine, when they have to read
/// such a list again.
#[parameterized(
    same_page = { Astray::SamePage },
    back = { Astray::BackInPages },
    empty = { Astray::EmptyPages },
    endless = { Astray::EndlessPages },
)]
#[test_macro(tokio::test)]
async fn a_running_instance_keeps_its_list_when_a_new_one_leads_no_further(astray: Astray) {
    let running = support::start(2).await;
    running.site.store.set_page(8);
    let watch = |gateway: &siskinrock_fakes::process::Process| {
        Watch::start(gateway.pid().unwrap(), vec![running.site.store.addr])
    };
    let watches: Vec<Watch> = running.gateways.iter().map(watch).collect();
    running.site.store.fail(Fault::Astray(astray));
    running.site.store.put("servers/other", &json!({}));
    running.site.store.forget_history();
    running.site.store.put("op/config", &config(9, &[KEY], &[]));
    tokio::time::sleep(Duration::from_secs(4)).await;
    running.assert_served().await;
    for service in 0..running.site.services.len() {
        running.assert_used(service, JOIN).await;
    }
    for gateway in &running.gateways {
        let metrics = gateway.metrics().await;
        assert!(metrics.contains("siskinrock_config_version 9\n"), "{metrics}");
    }
    assert_within_memory(watches);
}

/// Guards against calls without a pause where a watch brings the same again and again.
#[parameterized(
    same_position = { Astray::SamePosition },
    back = { Astray::BackInPositions },
    unwaiting = { Astray::Unwaiting },
)]
#[test_macro(tokio::test)]
async fn a_watch_that_leads_no_further_is_called_at_a_bounded_rate(astray: Astray) {
    let running = support::start(2).await;
    running.site.store.fail(Fault::Astray(astray));
    running.site.store.put("op/config", &config(9, &[KEY], &[]));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let targets = || running.site.store.targets();
    let count = || targets().iter().filter(|target| target.contains("kv-watch")).count();
    let before = count();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = count() - before;
    // One a second of each once pauses have grown, and one more that was under way.
    assert!(calls <= 2 * (4 + 1), "{calls} calls in 4 s");
    unlist(&running.site, 1);
    running.assert_joins(1, JOIN).await;
    running.assert_served().await;
}

/// Guards against a sound list that counts as too large since what its records drop counts as well.
#[tokio::test]
async fn a_list_takes_no_room_for_what_its_records_drop() {
    let mut running = support::start(1).await;
    running.site.store.set_page(2);
    for number in 0..40 {
        let entry = json!({"id": format!("odd{number:02}"), "incarnation": 1,
            "peer_addr": "127.0.0.1:9", "front_addr": "127.0.0.1:9", "domain": "ranong-hall",
            "more": "x".repeat(900 << 10)});
        running.site.store.put(&format!("siskinrock/instances/odd{number:02}"), &entry);
    }
    running.start_again().await;
    tokio::time::sleep(RECOVERY).await;
    let metrics = running.gateways[0].metrics().await;
    let unfinished = |line: &&str| line.starts_with("siskinrock_directory_lists_unfinished");
    let unfinished: Vec<&str> = metrics.lines().filter(unfinished).collect();
    assert!(unfinished.iter().all(|line| line.ends_with(" 0")), "{unfinished:?}");
    let calls = running.page_calls(Duration::from_secs(1)).await;
    assert_eq!(calls, 0, "the list was read to its end");
    running.assert_served().await;
}

/// Guards against watches that other writers' keys slow down, and against calls without a pause for them.
#[tokio::test]
async fn a_watch_keeps_up_beside_keys_of_other_writers_at_a_bounded_rate() {
    let running = support::start(2).await;
    let store = running.site.store.clone();
    let writer = tokio::spawn(async move {
        for number in 0_u64.. {
            store.put("lab/x", &json!(number));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let targets = || running.site.store.targets();
    let count = || targets().iter().filter(|target| target.contains("kv-watch")).count();
    let before = count();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = count() - before;
    // Each waits 400 ms or more before the next one, and one more was under way.
    assert!(calls <= 2 * (10 + 1), "{calls} calls in 4 s");
    for gateway in &running.gateways {
        let metrics = gateway.metrics().await;
        let unmoved = |line: &&str| line.starts_with("siskinrock_directory_watches_unmoved");
        let unmoved: Vec<&str> = metrics.lines().filter(unmoved).collect();
        assert!(unmoved.iter().all(|line| line.ends_with(" 0")), "{unmoved:?}");
    }
    writer.abort();
}

/// What a peer answers for ever to whoever fetches the list.
fn answer_of(kind: &str, request: &fetch::ListRequest) -> ListResponse {
    let page = Page { revision: 7, has_more: true, ..Page::default() };
    let known = |id: String| siskinrock::gateway::fleet::Upstream {
        id: Arc::from(id),
        service: Arc::from("booking-app"),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: Arc::from("ranong-hall"),
        is_leaving: false,
        born_ms: None,
        listed_at: 1,
        stated_at: 0,
        is_spot: false,
        version: Default::default(),
    };
    let number = request.after.rsplit('-').next().and_then(|number| number.parse().ok());
    let next: usize = number.unwrap_or(0) + 1;
    let upstreams = match kind {
        "empty" => Vec::new(),
        "same" => vec![known("i-1".to_owned())],
        _ => (next..next + 500).map(|number| known(format!("i-{number:012}"))).collect(),
    };
    let part = UpstreamSubset { share: Share::ALL, large: Default::default() };
    ListResponse { part, content: ListContent::Page(Page { upstreams, ..page }) }
}

/// Guards against a start that asks a peer for its list for ever.
#[parameterized(empty = { "empty" }, same = { "same" }, endless = { "endless" })]
#[test_macro(tokio::test)]
async fn a_start_goes_on_beside_a_peer_whose_list_leads_no_further(kind: &'static str) {
    let mut running = support::start(0).await;
    let answers = document::decode_config(config(1, &[KEY], &[]).to_string().as_bytes());
    let answers: Option<Arc<Config>> = Some(Arc::new(answers.unwrap()));
    let peer = format!("{}:{}", running.place.ip(0), running.place.base_port + 8);
    let (_, peer) = http::listen(&peer, move |mut connection| {
        let config = rmp_serde::to_vec(&answers).unwrap();
        async move {
            while let Ok(Some(request)) = connection.read_request().await {
                let body = match request.path() {
                    fetch::LIST_PATH => {
                        let request = rmp_serde::from_slice(&request.body).unwrap();
                        rmp_serde::to_vec(&Some(answer_of(kind, &request))).unwrap()
                    }
                    fetch::CONFIG_PATH => config.clone(),
                    _ => Vec::new(),
                };
                if connection.answer(200, &[], &body).await.is_err() {
                    return;
                }
            }
        }
    })
    .await;
    running.add(1);
    running.gateways[0].kill();
    // The first of the seeds only, which is the peer.
    let port = running.place.base_port + 8;
    let others = format!(",\"{}:{port}\",\"{}:{port}\"", running.place.ip(1), running.place.ip(2));
    running.gateways[0].set(&others, "");
    let watches = running.start_again().await;
    running.assert_served().await;
    assert_within_memory(watches);
    peer.abort();
}
