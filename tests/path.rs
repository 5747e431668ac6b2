//! The whole path through real processes: addresses, a plan, a quick call, a booking, operators.

mod support;

use siskinrock_standin::caller;
use support::{Cluster, Shape};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plan_a_check_and_a_booking_pass_through() {
    let cluster = Cluster::start(Shape::default()).await;

    let url = format!("http://{}/v1/addresses?domain=krabi-hall", cluster.routers[0].addr);
    let listed: serde_json::Value =
        cluster.http.get(url).send().await.unwrap().json().await.unwrap();
    assert_eq!(listed["addresses"].as_array().unwrap().len(), 3);
    assert_eq!(listed["addresses"][0]["domain"], "krabi-hall");

    let answer = caller::generate(&cluster.plan("voyage-1", 40)).await.unwrap();
    assert_eq!(answer.tokens.len(), 40);
    assert_eq!(answer.connections, 1);

    let booked = cluster.book(1, "seat-1", 0).await;
    assert_eq!((booked.status, cluster.runs("seat-1").await), (200, 1));
    let again = cluster.book(2, "seat-1", 0).await;
    assert_eq!((again.body, cluster.runs("seat-1").await), (booked.body, 1));

    let url = format!("http://{}/v1/services/booking/check/K3-07", cluster.routers[2].addr);
    let request = cluster.http.get(url).bearer_auth(support::HARBOUR_KEY);
    let check: serde_json::Value = request.send().await.unwrap().json().await.unwrap();
    assert_eq!(check["free"], false);

    let latency = cluster.ctl_ok("show latency by organisation");
    assert!(latency.contains("harbour-a"), "{latency}");
    let explained = cluster.ctl_ok("explain request voyage-1");
    assert!(explained.contains("attempt 1 on 127.0.0.1:"), "{explained}");
}
