//! A configuration takes effect at all instances, and no instance returns to an older one, whatever the store
//! does.

use std::net::SocketAddr;

use siskinrock::gateway::control::fetch::{CONFIG_PATH, ConfigRequest, LIST_PATH, ListRequest};
use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::http::Connection;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{KEY, SECOND_KEY, config};
use siskinrock_fakes::store::Fault;
use tokio::net::TcpStream;

use crate::support::{self, Running, call};

async fn status(running: &Running, index: usize, call: &Call) -> u16 {
    caller::send(running.front(index), call).await.unwrap().status()
}

#[tokio::test]
async fn a_new_route_takes_effect_at_all_instances() {
    let running = support::start(3).await;
    assert_eq!(status(&running, 0, &call("GET", "/fresh/a")).await, 404);
    running.site.store.put("op/config", &config(7, &[KEY], &["fresh"]));
    for index in 0..3 {
        wait_for("the route is in force", async || {
            status(&running, index, &call("GET", "/fresh/a")).await == 200
        })
        .await;
    }
}

#[tokio::test]
async fn a_removed_key_is_refused() {
    let running = support::start(2).await;
    let request = || Call { key: Some(SECOND_KEY.to_owned()), ..call("GET", "/look/a") };
    assert_eq!(status(&running, 0, &request()).await, 200);
    running.site.store.put("op/config", &config(7, &[KEY], &[]));
    for index in 0..2 {
        wait_for("the key is gone", async || status(&running, index, &request()).await == 401)
            .await;
    }
}

#[tokio::test]
async fn an_older_or_invalid_configuration_is_ignored() {
    let running = support::start(1).await;
    running.site.store.put("op/config", &config(7, &[KEY], &["fresh"]));
    wait_for("the route is in force", async || {
        status(&running, 0, &call("GET", "/fresh/a")).await == 200
    })
    .await;
    running.site.store.put("op/config", &config(3, &[KEY], &[]));
    running.site.store.put("op/config", &serde_json::json!({"version": 9, "routes": "none"}));
    wait_for("the invalid configuration is refused", async || {
        running.gateways[0].logged().contains("record refused")
    })
    .await;
    assert_eq!(status(&running, 0, &call("GET", "/fresh/a")).await, 200);
}

/// An instance whose calls the store refuses fetches the configuration from its peers.
#[tokio::test]
async fn a_configuration_comes_from_peers_while_the_store_refuses() {
    let mut running = support::start(2).await;
    running.site.store.put("op/config", &config(7, &[KEY], &["fresh"]));
    for index in 0..2 {
        wait_for("the route is in force", async || {
            status(&running, index, &call("GET", "/fresh/a")).await == 200
        })
        .await;
    }
    running.site.store.fail(Fault::Busy);
    running.add(2);
    wait_for("the new instance is ready", async || running.gateways[2].is_ready().await).await;
    assert_eq!(status(&running, 2, &call("GET", "/fresh/a")).await, 200);
    assert!(running.gateways[2].logged().contains("\"from\":\"peer\""));
}

/// A store that didn't answer for a while may have dropped the pending watches.
#[tokio::test]
async fn a_dropped_watch_is_restarted() {
    let running = support::start(2).await;
    running.site.store.fail(Fault::Silent);
    running.site.store.put("op/config", &config(7, &[KEY], &["fresh"]));
    wait_for("a gateway notices the outage", async || {
        running.gateways.iter().any(|gateway| gateway.logged().contains("directory lost"))
    })
    .await;
    running.site.store.fail(Fault::None);
    for index in 0..2 {
        wait_for("the route is in force", async || {
            status(&running, index, &call("GET", "/fresh/a")).await == 200
        })
        .await;
    }
}

#[tokio::test]
async fn an_instance_without_a_configuration_answers_503_with_retry_after() {
    let site = siskinrock_fakes::site::Site::start(1, 15).await;
    site.store.fail(Fault::Busy);
    let mut running = support::start_site(site, 0).await;
    running.add(0);
    wait_for("the instance accepts connections", async || {
        caller::send(running.front(0), &call("GET", "/look/a")).await.is_ok()
    })
    .await;
    let answer = caller::send(running.front(0), &call("GET", "/look/a")).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!running.gateways[0].is_ready().await);
}

/// A request from one instance to another.
fn peer_request(path: &str, message: &impl serde::Serialize) -> Call {
    Call { body: rmp_serde::to_vec(message).unwrap(), ..call("POST", path) }
}

/// The address at which an instance serves requests of peers.
fn peer_addr(running: &Running, index: usize) -> SocketAddr {
    SocketAddr::new(running.front(index).ip(), running.place.base_port + 8)
}

/// Connections that occupy all slots for list requests at an instance.
async fn occupy_list_slots(running: &Running, index: usize) -> Vec<Connection> {
    let list = list_request();
    let mut occupying = Vec::new();
    for _ in 0..MAX_LIST_REQUESTS {
        let stream = TcpStream::connect(peer_addr(running, index)).await.unwrap();
        let mut connection = Connection::new(stream);
        connection.write(&list.encode()).await.unwrap();
        // The request may have been refused because other instances are fetching.
        let _ = connection.read_answer().await;
        occupying.push(connection);
    }
    occupying
}

fn list_request() -> Call {
    let message = ListRequest { id: "edge-9".into(), since: 0, share: None, after: "".into() };
    peer_request(LIST_PATH, &message)
}

/// How many list requests an instance serves at once.
const MAX_LIST_REQUESTS: usize = 4;

/// Guards against a fleet that never gets the list: all instances start at once, request it from the first
/// one that has it, time out and request it again. An instance therefore serves only a few list requests at
/// once and refuses further ones at once; a stalled connection must not keep its slot.
#[tokio::test]
async fn only_a_few_list_requests_are_served_at_once() {
    let running = support::start(1).await;
    let peers = peer_addr(&running, 0);
    let occupying = occupy_list_slots(&running, 0).await;
    let refused = caller::send(peers, &list_request()).await.unwrap();
    assert_eq!(refused.status(), 503);
    let config = peer_request(CONFIG_PATH, &ConfigRequest { known: 0 });
    assert_eq!(
        caller::send(peers, &config).await.unwrap().status(),
        200,
        "the configuration needs no list slot"
    );
    wait_for("the slots are free again", async || {
        caller::send(peers, &list_request()).await.is_ok_and(|answer| answer.status() == 200)
    })
    .await;
    drop(occupying);
}

/// Guards against slow configuration changes: when the configuration came in one answer with the list, of
/// 300 KB over saturated links, an operator's change took four seconds to be in force.
#[tokio::test]
async fn a_configuration_does_not_wait_for_lists() {
    /// Four instances watch the store, and the other two get changes from them.
    const INSTANCES: usize = 6;
    let running = std::sync::Arc::new(support::start(INSTANCES as u8).await);
    let held = std::sync::Arc::clone(&running);
    let occupying = tokio::spawn(async move {
        loop {
            let mut connections = Vec::new();
            for index in 0..INSTANCES {
                connections.extend(occupy_list_slots(&held, index).await);
            }
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        }
    });
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    running.site.store.put("op/config", &config(7, &[KEY], &["fresh"]));
    let since = std::time::Instant::now();
    for index in 0..INSTANCES {
        wait_for("the route is in force", async || {
            status(&running, index, &call("GET", "/fresh/a")).await == 200
        })
        .await;
    }
    let taken = since.elapsed();
    occupying.abort();
    assert!(taken.as_millis() < 2_000, "in force after {taken:?}");
}
