//! The wait and the extra work after an engine is lost.
//!
//! The baseline is ours as well: a caller connected straight to an engine that starts over on
//! another one, and waits until it has as many tokens as before.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde::Serialize;
use siskinrock_standin::caller::{self, Answer};
use siskinrock_standin::engine;
use siskinrock_standin::fault::Order;

use crate::fit::{self, Percentiles};
use crate::fleet::{Fleet, Shape};

const STREAMS: usize = 48;
const TOKENS: usize = 150;
/// Engines are lost at these tokens of the watched stream.
const LOSSES: [usize; 3] = [30, 60, 90];
/// A gap of this many steps is a resumption.
const RESUME_STEPS: u64 = 2;

#[derive(Debug, Serialize)]
struct Row {
    workers: usize,
    loss: &'static str,
    hedge: &'static str,
    losses: usize,
    resume_ms: Percentiles,
    extra_tokens_per_loss: f64,
    extra_prefill_blocks_per_loss: f64,
}

pub async fn run() -> serde_json::Value {
    let mut rows = Vec::new();
    for workers in [24, 36] {
        rows.push(baseline(workers).await);
        for loss in ["killed", "paused"] {
            for hedge in [false, true] {
                rows.push(measure(workers, loss, hedge).await);
            }
        }
    }
    println!(
        "workers  loss    hedge     losses  resume p50    p99    max ms  extra tokens  prefill blocks a loss"
    );
    for row in &rows {
        println!(
            "{:>7}  {:<7} {:<9} {:>6} {:>11.0} {:>6.0} {:>9.0} {:>13.1} {:>11.1}",
            row.workers,
            row.loss,
            row.hedge,
            row.losses,
            row.resume_ms.p50,
            row.resume_ms.p99,
            row.resume_ms.max,
            row.extra_tokens_per_loss,
            row.extra_prefill_blocks_per_loss
        );
    }
    serde_json::to_value(rows).expect("a report is plain data")
}

fn engine() -> engine::Settings {
    engine::Settings { slots: 8, prefill_blocks_per_step: 8, ..engine::Settings::default() }
}

async fn measure(workers: usize, loss: &'static str, hedge: bool) -> Row {
    let shape = Shape { routers: 3, engines: workers, engine: engine(), hedge, ..Shape::default() };
    let mut fleet = Fleet::start(&shape).await;
    let mut tasks = Vec::new();
    let (sender, mut tokens) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..STREAMS {
        let mut plan = fleet.plan(&format!("stream-{number}"), TOKENS);
        plan.addresses.rotate_left(number % 3);
        let sender = (number == 0).then(|| sender.clone());
        tasks.push(tokio::spawn(async move {
            let mut on_token = |index| {
                if let Some(sender) = &sender {
                    let _ = sender.send(index);
                }
            };
            caller::generate_watched(&plan, &mut on_token).await
        }));
    }
    drop(sender);
    let mut lost = Vec::new();
    let mut counted = Vec::new();
    for at in LOSSES {
        while tokens.recv().await.is_some_and(|index| index < at) {}
        let busy = busiest(&fleet, &lost).await;
        if loss == "killed" {
            counted.push(fleet.engine_stats().await.swap_remove(busy));
        }
        fleet.engines[busy].fault(if loss == "killed" { &Order::Die } else { &Order::Pause });
        lost.push(busy);
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.expect("a caller ends").expect("the answer is whole"));
    }
    for engine in &lost {
        fleet.engines[*engine].fault(&Order::Resume);
    }
    let extra = extra_work(&fleet, counted, &answers).await;
    let resumes = resume_times(&answers);
    let losses = resumes.len().max(1);
    fleet.routers.clear();
    Row {
        workers,
        loss,
        hedge: if hedge { "on" } else { "off" },
        losses: resumes.len(),
        resume_ms: fit::percentiles(resumes),
        extra_tokens_per_loss: extra.tokens as f64 / losses as f64,
        extra_prefill_blocks_per_loss: extra.blocks as f64 / losses as f64,
    }
}

/// The engine that runs most streams now, by the routers' own rows.
async fn busiest(fleet: &Fleet, lost: &[usize]) -> usize {
    let answer = fleet.ask("show requests where state = running").await;
    let rows = answer.map(|answer| answer.rows).unwrap_or_default();
    let count = |engine: usize| {
        let addr = fleet.engines[engine].addr.to_string();
        rows.iter().filter(|row| row.get("upstream").is_some_and(|up| *up == addr)).count()
    };
    let left = (0..fleet.engines.len()).filter(|engine| !lost.contains(engine));
    left.max_by_key(|engine| count(*engine)).expect("an engine is left")
}

fn resume_times(answers: &[Answer]) -> Vec<f64> {
    let limit_us = engine().step_ms * RESUME_STEPS * 1_000;
    let gaps = answers.iter().flat_map(|answer| &answer.gaps_us);
    gaps.filter(|gap| **gap > limit_us).map(|gap| *gap as f64 / 1e3).collect()
}

struct Extra {
    tokens: i64,
    blocks: i64,
}

/// Tokens that engines generated beyond the answers, and prompt blocks computed beyond one pass.
/// `counted` are the counts of killed engines, read just before: a step may be missing.
async fn extra_work(fleet: &Fleet, counted: Vec<engine::Stats>, answers: &[Answer]) -> Extra {
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut stats = fleet.engine_stats().await;
    stats.extend(counted);
    let generated: u64 = stats.iter().map(|stats| stats.tokens).sum();
    let shown: usize = answers.iter().map(|answer| answer.tokens.len()).sum();
    let blocks: u64 = stats.iter().map(|stats| stats.prefill_blocks).sum();
    let once = answers.len() * (siskinrock_standin::VOYAGE.len() / 256 + 1);
    Extra { tokens: generated as i64 - shown as i64, blocks: blocks as i64 - once as i64 }
}

/// Restart from the beginning, straight at the engines.
async fn baseline(workers: usize) -> Row {
    let hosts: Vec<_> = (0..workers).map(|_| engine::start("127.0.0.1:0", engine())).collect();
    let addrs: Vec<_> = hosts.iter().map(|host| host.addr.to_string()).collect();
    let mut waits = Vec::new();
    let mut extra = 0;
    for at in LOSSES {
        for number in 0..8 {
            let prompt = format!("{at}-{number}\n{}", siskinrock_standin::VOYAGE);
            read(&addrs[number % workers], &prompt, at).await;
            // The connection breaks here; the caller starts over elsewhere.
            let start = Instant::now();
            read(&addrs[(number + 1) % workers], &prompt, at + 1).await;
            waits.push(start.elapsed().as_secs_f64() * 1e3);
            extra += at;
        }
    }
    let losses = waits.len();
    let blocks = siskinrock_standin::VOYAGE.len() / 256 + 1;
    Row {
        workers,
        loss: "killed",
        hedge: "baseline",
        losses,
        resume_ms: fit::percentiles(waits),
        extra_tokens_per_loss: extra as f64 / losses as f64,
        extra_prefill_blocks_per_loss: blocks as f64,
    }
}

async fn read(addr: &str, prompt: &str, tokens: usize) {
    let start = engine::Start {
        stream_id: format!("{:x}", fastrand::u64(..)),
        model: "plan-1@1".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: TOKENS,
        priority: 1,
        prefix: Vec::new(),
    };
    let url = format!("http://{addr}/v1/completions");
    let response = caller::client().post(url).json(&start).send().await.expect("it begins");
    let mut bytes = response.bytes_stream();
    let mut seen = 0;
    while seen < tokens {
        let Some(Ok(chunk)) = bytes.next().await else { return };
        seen += chunk.windows(7).filter(|window| window == b"\"text\":").count();
    }
}
