//! Promise: a caller whose instance is lost gets the rest elsewhere, exactly once.

mod support;

use siskinrock_standin::{caller, chain};
use support::{Cluster, Shape};

/// Kills or pauses the caller's instance, and maybe its engine, when `at` tokens have arrived.
async fn lose_router(at: usize, is_paused: bool, loses_engine: bool) {
    let mut cluster = Cluster::start(Shape { routers: 4, ..Shape::default() }).await;
    let plan = cluster.plan("voyage", 90);
    let (sender, mut tokens) = tokio::sync::mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        let mut on_token = |index| {
            let _ = sender.send(index);
        };
        caller::generate_watched(&plan, &mut on_token).await
    });
    while tokens.recv().await.expect("the answer goes on") < at {}
    if loses_engine {
        let busy = cluster.busy_engine().await;
        cluster.engines.remove(busy).kill();
    }
    if is_paused {
        cluster.routers[0].pause();
    } else {
        cluster.routers[0].kill();
    }
    let answer = task.await.unwrap().unwrap();
    assert_eq!(answer.tokens.len(), 90);
    assert!(answer.connections > 1);
    if !loses_engine && !is_paused {
        assert_eq!(chain::samplers(&answer.tokens), 1, "the engine's stream was attached to again");
    }
    cluster.routers[0].go_on();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_before_the_second_token() {
    lose_router(0, false, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_mid_stream() {
    lose_router(40, false, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_together_with_the_engine() {
    lose_router(40, false, true).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_and_back() {
    lose_router(40, true, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_callers_with_one_key_get_the_same_answer() {
    let cluster = Cluster::start(Shape::default()).await;
    let first = cluster.plan("voyage", 60);
    let mut second = first.clone();
    second.addresses.reverse();
    let (one, other) = tokio::join!(caller::generate(&first), caller::generate(&second));
    assert_eq!(one.unwrap().tokens, other.unwrap().tokens);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_finished_answer_is_given_again() {
    let mut cluster = Cluster::start(Shape { routers: 4, ..Shape::default() }).await;
    let plan = cluster.plan("voyage", 30);
    let first = caller::generate(&plan).await.unwrap();
    cluster.routers.remove(0).kill();
    let again = caller::generate(&cluster.plan("voyage", 30)).await.unwrap();
    assert_eq!(first.tokens, again.tokens);
}
