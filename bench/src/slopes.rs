//! What control and copying cost as the fleet grows.
//!
//! Each point is a fleet of its own: it settles, then runs for a window without callers (control)
//! or with streams only (copying). Processor time is that of the whole process, so that without
//! callers all of it is control.

use std::time::{Duration, Instant};

use serde::Serialize;
use siskinrock_standin::{caller, engine};

use crate::fit::{self, Line, Point};
use crate::fleet::{Fleet, Shape};
use crate::plot::{self, Series};
use crate::usage;

/// First exchanges carry everything; the window begins after most of them.
const SETTLE: Duration = Duration::from_secs(10);
const WINDOW: Duration = Duration::from_secs(10);
const ROUTERS: [usize; 4] = [3, 9, 18, 36];
const UPSTREAMS: [usize; 4] = [10, 60, 120, 240];
const ORGANISATIONS: [usize; 3] = [10, 150, 570];
const CHANGES: [usize; 3] = [0, 8, 24];
const STREAMS: [usize; 4] = [0, 40, 80, 160];

/// What one point of a series cost, per router.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Cost {
    cpu_percent: f64,
    sent_bytes_per_s: f64,
    received_bytes_per_s: f64,
    copy_bytes_per_s: f64,
    memory_kb: f64,
    store_writes_per_s: f64,
    store_reads_per_s: f64,
}

#[derive(Debug, Serialize)]
struct Measured {
    against: &'static str,
    x: Vec<f64>,
    costs: Vec<Cost>,
    lines: Vec<Named>,
}

#[derive(Debug, Serialize)]
struct Named {
    name: &'static str,
    points: Vec<Point>,
    line: Line,
}

#[derive(Debug, Serialize)]
struct Report {
    series: Vec<Measured>,
    in_force_ms: Vec<Point>,
    takeover_ms: Vec<Point>,
}

pub async fn run(svg: Option<&str>, only: Option<&str>) -> serde_json::Value {
    let mut report =
        Report { series: Vec::new(), in_force_ms: Vec::new(), takeover_ms: Vec::new() };
    let is_wanted = |name: &str| only.is_none_or(|only| only == name);
    if is_wanted("routers") {
        against_routers(&mut report).await;
    }
    if is_wanted("upstreams") {
        let shapes = UPSTREAMS.map(|upstreams| shape(9, upstreams, 10));
        report.series.push(measured("upstreams", &UPSTREAMS, idle(&shapes).await));
    }
    if is_wanted("organisations") {
        let shapes = ORGANISATIONS.map(|organisations| shape(9, 30, organisations));
        report.series.push(measured("organisations", &ORGANISATIONS, idle(&shapes).await));
    }
    if is_wanted("changes") {
        let fleet = Fleet::start(&shape(9, 30, 570)).await;
        let mut costs = Vec::new();
        for changes in CHANGES {
            costs.push(window(&fleet, change(&fleet, changes)).await);
        }
        report.series.push(measured("changes in the window", &CHANGES, costs));
    }
    if is_wanted("streams") {
        let mut streaming = shape(3, 8, 10);
        streaming.engine = engine::Settings { slots: 64, ..engine::Settings::default() };
        let fleet = Fleet::start(&streaming).await;
        let mut costs = Vec::new();
        for streams in STREAMS {
            costs.push(stream_window(&fleet, streams).await);
        }
        report.series.push(measured("streams at 50 tokens/s", &STREAMS, costs));
    }
    print(&report);
    if let Some(file) = svg {
        draw(file, &report);
    }
    serde_json::to_value(report).expect("a report is plain data")
}

async fn against_routers(report: &mut Report) {
    let mut costs = Vec::new();
    for routers in ROUTERS {
        let mut fleet = Fleet::start(&shape(routers, 30, 10)).await;
        tokio::time::sleep(SETTLE).await;
        costs.push(window(&fleet, no_work()).await);
        report.in_force_ms.push(in_force(&fleet).await);
        report.takeover_ms.push(takeover(&mut fleet).await);
    }
    report.series.push(measured("routers", &ROUTERS, costs));
}

/// The costs of fleets without callers.
async fn idle(shapes: &[Shape]) -> Vec<Cost> {
    let mut costs = Vec::new();
    for shape in shapes {
        let fleet = Fleet::start(shape).await;
        tokio::time::sleep(SETTLE).await;
        costs.push(window(&fleet, no_work()).await);
    }
    costs
}

fn shape(routers: usize, engines: usize, organisations: usize) -> Shape {
    // Idle engines need no fine steps.
    let engine = engine::Settings { step_ms: 500, ..engine::Settings::default() };
    Shape { routers, engines, organisations, engine, ..Shape::default() }
}

fn no_work() -> impl Future<Output = ()> {
    std::future::ready(())
}

async fn change(fleet: &Fleet, changes: usize) {
    for number in 0..changes {
        fleet.ask(&format!("set service booking queue = {}", 100 + number)).await;
    }
}

/// Measures a window that begins with `work`.
async fn window(fleet: &Fleet, work: impl Future<Output = ()>) -> Cost {
    let before = Totals::read(fleet).await;
    let start = Instant::now();
    work.await;
    if let Some(left) = WINDOW.checked_sub(start.elapsed()) {
        tokio::time::sleep(left).await;
    }
    Totals::read(fleet).await.cost_since(&before, fleet.routers.len(), start.elapsed())
}

async fn stream_window(fleet: &Fleet, streams: usize) -> Cost {
    let mut tasks = Vec::new();
    for number in 0..streams {
        let mut plan = fleet.plan(&format!("stream-{streams}-{number}"), 700);
        plan.addresses.rotate_left(number % fleet.routers.len());
        tasks.push(tokio::spawn(async move { caller::generate(&plan).await }));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let cost = window(fleet, no_work()).await;
    for task in tasks {
        task.await.expect("a caller ends").expect("the answer is whole");
    }
    cost
}

/// Sums over all routers, and the store's counts.
#[derive(Debug, Default)]
struct Totals {
    cpu_s: f64,
    memory_kb: f64,
    sent: f64,
    received: f64,
    copied: f64,
    writes: f64,
    reads: f64,
}

impl Totals {
    async fn read(fleet: &Fleet) -> Totals {
        let mut totals = Totals::default();
        for router in 0..fleet.routers.len() {
            let used = usage::of(fleet.routers[router].pid());
            totals.cpu_s += used.cpu_s;
            totals.memory_kb += used.memory_kb;
            let Some(status) = fleet.status(router).await else { continue };
            totals.sent += status.control_sent_bytes as f64;
            totals.received += status.control_received_bytes as f64;
            totals.copied += status.copy_bytes as f64;
        }
        let store = fleet.store_stats().await;
        totals.writes = store.writes as f64;
        totals.reads = (store.reads + store.watches) as f64;
        totals
    }

    fn cost_since(&self, before: &Totals, routers: usize, took: Duration) -> Cost {
        let seconds = took.as_secs_f64();
        let routers = routers as f64;
        let each = |now: f64, before: f64| (now - before) / seconds / routers;
        Cost {
            cpu_percent: each(self.cpu_s, before.cpu_s) * 100.0,
            sent_bytes_per_s: each(self.sent, before.sent),
            received_bytes_per_s: each(self.received, before.received),
            copy_bytes_per_s: each(self.copied, before.copied),
            memory_kb: self.memory_kb / routers,
            store_writes_per_s: (self.writes - before.writes) / seconds,
            store_reads_per_s: (self.reads - before.reads) / seconds,
        }
    }
}

/// The time until a change is in force everywhere, as its operator waits for it.
async fn in_force(fleet: &Fleet) -> Point {
    let mut times = Vec::new();
    for number in 0..5 {
        let start = Instant::now();
        let answer = fleet.ask(&format!("set service booking queue = {}", 50 + number)).await;
        let answer = answer.expect("the change is accepted");
        assert!(answer.missing.is_empty(), "not in force on {:?}", answer.missing);
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    Point { x: fleet.routers.len() as f64, y: fit::percentiles(times).max }
}

/// The longest wait of callers whose instance is killed mid-stream.
async fn takeover(fleet: &mut Fleet) -> Point {
    let mut tasks = Vec::new();
    let (sender, mut tokens) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..10 {
        let plan = fleet.plan(&format!("lost-{number}"), 12);
        let sender = sender.clone();
        tasks.push(tokio::spawn(async move {
            let mut on_token = |index| {
                let _ = sender.send(index);
            };
            caller::generate_watched(&plan, &mut on_token).await
        }));
    }
    drop(sender);
    while tokens.recv().await.is_some_and(|index| index < 3) {}
    let routers = fleet.routers.len() as f64;
    fleet.routers.remove(0).kill();
    let mut longest: f64 = 0.0;
    for task in tasks {
        let answer = task.await.expect("a caller ends").expect("the answer is whole");
        // These engines step twice a second; what is over a step is the takeover.
        longest = longest.max(answer.longest_gap_ms as f64 - 500.0);
    }
    Point { x: routers, y: longest }
}

fn measured(against: &'static str, x: &[usize], costs: Vec<Cost>) -> Measured {
    let x: Vec<f64> = x.iter().map(|x| *x as f64).collect();
    let named = |name: &'static str, value: fn(&Cost) -> f64| {
        let points = x.iter().zip(&costs).map(|(x, cost)| Point { x: *x, y: value(cost) });
        let points: Vec<_> = points.collect();
        Named { name, line: fit::line(&points), points }
    };
    let lines = vec![
        named("processor, % of a core", |cost| cost.cpu_percent),
        named("control sent, bytes/s", |cost| cost.sent_bytes_per_s),
        named("control received, bytes/s", |cost| cost.received_bytes_per_s),
        named("copies, bytes/s", |cost| cost.copy_bytes_per_s),
        named("memory, KB", |cost| cost.memory_kb),
        named("store writes/s, whole fleet", |cost| cost.store_writes_per_s),
        named("store reads and watches/s, whole fleet", |cost| cost.store_reads_per_s),
    ];
    Measured { against, x, costs, lines }
}

fn print(report: &Report) {
    for measured in &report.series {
        println!("per router, against {}", measured.against);
        for named in &measured.lines {
            let points = named.points.iter().map(|p| format!("{}: {:.2}", p.x, p.y));
            println!(
                "  {:<40} base {:>10.3} slope {:>10.5} +- {:.5}   [{}]",
                named.name,
                named.line.base,
                named.line.slope,
                named.line.slope_error,
                points.collect::<Vec<_>>().join(", ")
            );
        }
    }
    let show = |points: &[Point]| {
        let points = points.iter().map(|p| format!("{}: {:.0}", p.x, p.y));
        points.collect::<Vec<_>>().join(", ")
    };
    println!("a change in force everywhere, ms, against routers: {}", show(&report.in_force_ms));
    println!("takeover, ms, against routers: {}", show(&report.takeover_ms));
}

fn draw(file: &str, report: &Report) {
    let named = report.series.iter().flat_map(|measured| &measured.lines);
    let series: Vec<_> = named
        .map(|named| Series { name: named.name, points: &named.points, line: named.line })
        .collect();
    for (number, series) in series.iter().enumerate() {
        println!("panel {} of {file}: {}", number + 1, series.name);
    }
    if let Err(error) = plot::draw(file, &series) {
        eprintln!("{file} can't be drawn: {error}");
    }
}
