//! Promise: no token of an answer is missing or repeated when engines die or stand still.

mod support;

use siskinrock_standin::fault::Order;
use siskinrock_standin::{caller, chain};
use support::{Cluster, DOMAINS, Shape};

/// Starts an answer and gives back its task and the moments at which tokens arrive.
struct Running {
    task: tokio::task::JoinHandle<Result<caller::Answer, String>>,
    tokens: tokio::sync::mpsc::UnboundedReceiver<usize>,
}

impl Running {
    fn start(plan: caller::Plan) -> Running {
        let (sender, tokens) = tokio::sync::mpsc::unbounded_channel();
        let task = tokio::spawn(async move {
            let mut on_token = |index| {
                let _ = sender.send(index);
            };
            caller::generate_watched(&plan, &mut on_token).await
        });
        Running { task, tokens }
    }

    async fn reach(&mut self, index: usize) {
        while self.tokens.recv().await.expect("the answer goes on") < index {}
    }

    async fn whole(self, tokens: usize) -> caller::Answer {
        let answer = self.task.await.unwrap().unwrap();
        assert_eq!(answer.tokens.len(), tokens);
        answer
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_twice_in_one_answer() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let mut running = Running::start(cluster.plan("voyage", 120));
    for at in [0, 60] {
        running.reach(at).await;
        let busy = cluster.busy_engine().await;
        cluster.engines.remove(busy).kill();
    }
    let answer = running.whole(120).await;
    assert_eq!((answer.connections, chain::samplers(&answer.tokens)), (1, 3));
}

/// Tokens that other engines generate while one stands still.
const TAKEN_OVER_TOKENS: u64 = 5;

/// The tokens that all engines but one have generated.
async fn tokens_of_others(cluster: &Cluster, engine: usize) -> u64 {
    let mut tokens = 0;
    for other in (0..cluster.engines.len()).filter(|other| *other != engine) {
        tokens += cluster.engine_stats(other).await.tokens;
    }
    tokens
}

/// An answer of 100 tokens whose engine stands still after 20, until another one goes on with it.
async fn pause_mid_stream(cluster: &Cluster) -> caller::Answer {
    let mut running = Running::start(cluster.plan("voyage", 100));
    running.reach(0).await;
    let busy = cluster.busy_engine().await;
    running.reach(20).await;
    cluster.engines[busy].fault(&Order::Pause);
    let enough = tokens_of_others(cluster, busy).await + TAKEN_OVER_TOKENS;
    support::wait_for("another engine goes on with the answer", async || {
        (tokens_of_others(cluster, busy).await >= enough).then_some(())
    })
    .await;
    running.reach(25).await;
    cluster.engines[busy].fault(&Order::Resume);
    running.whole(100).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_and_back_with_late_tokens() {
    let cluster = Cluster::start(Shape::default()).await;
    let answer = pause_mid_stream(&cluster).await;
    assert_eq!((answer.connections, chain::samplers(&answer.tokens)), (1, 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hedged_answers_stay_one_chain() {
    let cluster = Cluster::start(Shape::default()).await;
    cluster.ctl_ok("set service planning hedge = on");
    pause_mid_stream(&cluster).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_engine_of_a_failure_domain_at_once() {
    let mut cluster = Cluster::start(Shape { engines: 6, ..Shape::default() }).await;
    let mut running: Vec<_> = (0..12)
        .map(|number| Running::start(cluster.plan(&format!("voyage-{number}"), 80)))
        .collect();
    for answer in &mut running {
        answer.reach(5).await;
    }
    let lost = DOMAINS.iter().position(|domain| *domain == "phuket-hall").unwrap();
    let kept = cluster.engines.drain(..).enumerate().filter_map(|(number, engine)| {
        let is_lost = number % DOMAINS.len() == lost;
        if is_lost {
            engine.kill();
            return None;
        }
        Some(engine)
    });
    cluster.engines = kept.collect();
    for answer in running {
        let answer = answer.whole(80).await;
        assert_eq!(answer.connections, 1);
    }
}
