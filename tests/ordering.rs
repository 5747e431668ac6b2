//! Orders to engines: what the configuration wants is loaded, whoever holds the lease.

mod support;

use siskinrock_standin::engine;
use support::{Cluster, Shape, wait_for, wait_for_blocking};

async fn models(cluster: &Cluster, engine: usize) -> Vec<String> {
    let url = format!("http://{}/load", cluster.engines[engine].addr);
    let load: engine::Load = cluster.http.get(url).send().await.unwrap().json().await.unwrap();
    load.models
}

async fn loaded_everywhere(cluster: &Cluster, wanted: &str) {
    for engine in 0..cluster.engines.len() {
        wait_for("the model is loaded", || async {
            (models(cluster, engine).await == [wanted]).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_version_is_loaded_and_the_lease_moves_on() {
    let mut cluster = Cluster::start(Shape { routers: 4, ..Shape::default() }).await;
    cluster.ctl_ok("set model plan-1 version = 2");
    loaded_everywhere(&cluster, "plan-1@2").await;
    // Whoever holds the lease is among those that watch the store, the first of each domain.
    for _ in 0..3 {
        cluster.routers.remove(0).kill();
    }
    cluster.add_router(4, 60_000);
    cluster.add_router(5, 60_000);
    wait_for_blocking("the lost are out of the table", || {
        let shown = cluster.ctl("show routers");
        String::from_utf8_lossy(&shown.stdout).lines().count() == 4
    });
    cluster.ctl_ok("set model plan-1 version = 3");
    loaded_everywhere(&cluster, "plan-1@3").await;
}
