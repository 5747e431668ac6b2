//! Promise: an accepted configuration is in force everywhere within seconds and never reverts.

mod support;

use std::time::Instant;

use siskinrock_standin::fault::Order;
use support::{Cluster, Shape, wait_for_blocking};

fn text(output: &std::process::Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

fn queue_of(cluster: &Cluster, router: usize) -> String {
    text(&cluster.ctl_through(router, &["--json"], "show services where service = booking"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_means_in_force_everywhere() {
    let cluster = Cluster::start(Shape { routers: 5, ..Shape::default() }).await;
    let start = Instant::now();
    let said = cluster.ctl_ok("set service booking queue = 77");
    assert!(said.contains("in force on 5 of 5"), "{said}");
    assert!(start.elapsed().as_secs() < 5);
    for router in 0..5 {
        assert!(queue_of(&cluster, router).contains("77"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_operators_race() {
    let cluster = Cluster::start(Shape::default()).await;
    let looked = text(&cluster.ctl_through(0, &["--json"], "show config"));
    let parsed: serde_json::Value = serde_json::from_str(&looked).unwrap();
    let revision = parsed["revision"].to_string();
    let flags = ["--if-revision", revision.as_str(), "--operator", "noor"];
    let first = cluster.ctl_through(0, &flags, "set service booking queue = 10");
    let second = cluster.ctl_through(1, &flags, "set service booking queue = 20");
    let other = cluster.ctl_through(2, &flags, "set service planning queue = 30");
    assert!(first.status.success() && other.status.success(), "{} {}", text(&first), text(&other));
    assert_eq!(second.status.code(), Some(1));
    let said = text(&second);
    assert!(said.contains("noor") && said.contains("queue = 10"), "{said}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_operators_at_once_lose_nothing() {
    let cluster = Cluster::start(Shape::default()).await;
    let cluster = &cluster;
    std::thread::scope(|scope| {
        for number in 0..6 {
            scope.spawn(move || {
                let command =
                    format!("add organisation crew-{number} key = crew-key-{number}-0123456");
                let done = cluster.ctl_through(number % 3, &[], &command);
                assert!(done.status.success(), "{}", text(&done));
            });
        }
    });
    let shown = cluster.ctl_ok("show organisations");
    assert_eq!(shown.matches("crew-").count(), 6);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_reply_is_resolved() {
    let cluster = Cluster::start(Shape::default()).await;
    cluster.fault_platform(&Order::LoseReply { count: 1 });
    let said = text(&cluster.ctl("set service booking queue = 55"));
    assert!(said.contains("was applied before"), "{said}");
    let history = cluster.ctl_ok("show config history");
    assert_eq!(history.matches("queue = 55").count(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_store_is_down_right_after() {
    let mut cluster = Cluster::start(Shape::default()).await;
    // The reply of the write is lost with the store: the answer must not claim more than is known.
    cluster.ctl_ok("set service booking queue = 66");
    cluster.fault_platform(&Order::Down { down: true });
    for router in 0..3 {
        assert!(queue_of(&cluster, router).contains("66"));
    }
    let refused = cluster.ctl("set service booking queue = 67");
    assert_eq!(refused.status.code(), Some(1), "{}", text(&refused));
    // An instance that starts in the outage learns the newest from its peers.
    cluster.add_router(3, 60_000);
    wait_for_blocking("the newcomer knows", || queue_of(&cluster, 3).contains("66"));
    cluster.fault_platform(&Order::Down { down: false });
    cluster.wait_ready(4).await;
    for router in 0..4 {
        assert!(queue_of(&cluster, router).contains("66"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_with_older_data_takes_nothing_back() {
    let cluster = Cluster::start(Shape::default()).await;
    cluster.ctl_ok("set service booking queue = 88");
    cluster.fault_platform(&Order::Stale { count: 1_000 });
    let refused = cluster.ctl("set service planning queue = 9");
    assert!(text(&refused).contains("nothing was changed"), "{}", text(&refused));
    for router in 0..3 {
        assert!(queue_of(&cluster, router).contains("88"));
    }
    cluster.fault_platform(&Order::Stale { count: 0 });
    cluster.ctl_ok("set service planning queue = 9");
    assert!(queue_of(&cluster, 0).contains("88"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_commands_name_the_remedy() {
    let cluster = Cluster::start(Shape { routers: 1, engines: 1, ..Shape::default() }).await;
    let cases = [
        ("shwo upstreams", "did you mean \"show\"?"),
        ("show upstreems", "did you mean \"upstreams\"?"),
        ("set service bokking queue = 1", "did you mean \"booking\"?"),
        ("set service booking queeu = 1", "did you mean \"queue\"?"),
        ("set service booking queue = 0", "use 1 to 100000"),
        ("add organisation harbour-a key = 1", "exists already"),
        ("stop router ranong-hal", "see 'show routers'"),
        ("show upstreams where stat = live", "did you mean \"state\"?"),
    ];
    for (command, remedy) in cases {
        let said = text(&cluster.ctl(command));
        assert!(said.contains(remedy), "{command}: {said}");
    }
}
