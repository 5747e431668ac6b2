//! Configurations take effect everywhere and never go back, whatever the store does.

use std::net::SocketAddr;

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{KEY, SECOND_KEY, config};
use siskinrock_fakes::store::Fault;

use crate::support::{self, Running, call};

async fn status(running: &Running, index: usize, call: &Call) -> u16 {
    caller::send(running.front(index), call).await.unwrap().status()
}

#[tokio::test]
async fn a_new_route_serves_everywhere() {
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
async fn a_key_that_was_taken_away_is_refused() {
    let running = support::start(2).await;
    let sent = || Call { key: Some(SECOND_KEY.to_owned()), ..call("GET", "/look/a") };
    assert_eq!(status(&running, 0, &sent()).await, 200);
    running.site.store.put("op/config", &config(7, &[KEY], &[]));
    for index in 0..2 {
        wait_for("the key is gone", async || status(&running, index, &sent()).await == 401).await;
    }
}

#[tokio::test]
async fn an_older_or_broken_configuration_changes_nothing() {
    let running = support::start(1).await;
    running.site.store.put("op/config", &config(7, &[KEY], &["fresh"]));
    wait_for("the route is in force", async || {
        status(&running, 0, &call("GET", "/fresh/a")).await == 200
    })
    .await;
    running.site.store.put("op/config", &config(3, &[KEY], &[]));
    running.site.store.put("op/config", &serde_json::json!({"version": 9, "routes": "none"}));
    wait_for("the broken one is refused", async || {
        running.gateways[0].logged().contains("record refused")
    })
    .await;
    assert_eq!(status(&running, 0, &call("GET", "/fresh/a")).await, 200);
}

/// An instance that the store turns away hears of a newer configuration from its peers.
#[tokio::test]
async fn peers_tell_what_the_store_does_not() {
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

/// A store that was silent may have forgotten the watches that waited there.
#[tokio::test]
async fn a_forgotten_watch_is_asked_anew() {
    let running = support::start(2).await;
    running.site.store.fail(Fault::Silent);
    running.site.store.put("op/config", &config(7, &[KEY], &["fresh"]));
    wait_for("a gateway notices", async || {
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
async fn an_instance_that_knows_no_configuration_says_come_back() {
    let site = siskinrock_fakes::site::Site::start(1, 15).await;
    site.store.fail(Fault::Busy);
    let mut running = support::start_site(site, 0).await;
    running.add(0);
    wait_for("it answers at all", async || {
        caller::send(running.front(0), &call("GET", "/look/a")).await.is_ok()
    })
    .await;
    let answer = caller::send(running.front(0), &call("GET", "/look/a")).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!running.gateways[0].is_ready().await);
}

/// All instances started at once and asked the first one that had the list: none of them got it in time,
/// and all asked again. Those beyond a few are turned away at once, and one that hangs holds no place.
#[tokio::test]
async fn a_few_peers_are_served_at_once_and_the_others_turned_away() {
    const AT_ONCE: usize = 4;
    let running = support::start(1).await;
    let peers = SocketAddr::new(running.front(0).ip(), running.place.base_port + 8);
    let mut hanging = Vec::new();
    for _ in 0..AT_ONCE {
        hanging.push(tokio::net::TcpStream::connect(peers).await.unwrap());
    }
    let fetch = Call { body: Vec::new(), ..call("GET", "/peer/knowledge") };
    let turned_away = caller::send(peers, &fetch).await;
    assert!(turned_away.is_err(), "{turned_away:?}");
    wait_for("the places are free again", async || {
        caller::send(peers, &fetch).await.is_ok_and(|answer| answer.status() == 200)
    })
    .await;
    drop(hanging);
}
