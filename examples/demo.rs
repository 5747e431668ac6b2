//! The main job on embedded stand-ins: a plan survives its engine, and a seat is booked once.
//!
//! Everything listens on loopback inside this one process. The exit status is not 0 if a promise
//! broke.

use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use siskinrock::router::Router;
use siskinrock::settings::Settings;
use siskinrock::{ctl, log};
use siskinrock_standin::caller::{self, Plan};
use siskinrock_standin::host::{self, Host};
use siskinrock_standin::{chain, engine, platform, seats};

const PEER_KEY: &str = "demo-peer-key-0123";
const OPERATOR_KEY: &str = "demo-operator-key-0123";
const HARBOUR_KEY: &str = "demo-harbour-key-0123";
const DOMAINS: [&str; 3] = ["ranong-hall", "phuket-hall", "krabi-hall"];
const ENGINES: usize = 4;
const TOKENS: usize = 150;
/// The engine dies after this many tokens.
const DIES_AFTER: usize = 50;
const PATIENCE: Duration = Duration::from_secs(15);

struct Demo {
    platform: Host,
    engines: Vec<Option<Host>>,
    seats: Vec<Host>,
    routers: Vec<Router>,
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime.map_err(|error| error.to_string()).and_then(|runtime| runtime.block_on(run())) {
        Ok(()) => {
            println!("every promise held");
            ExitCode::SUCCESS
        }
        Err(broken) => {
            eprintln!("broken: {broken}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let mut demo = start().await?;
    println!("3 instances, {ENGINES} engines, 2 seats instances and the platform are up");
    let plan = demo.plan("voyage-2211");
    let answer = demo.generate_and_kill(&plan).await?;
    println!(
        "the plan came whole: {} tokens from {} engines over {} connection(s); longest wait {} ms",
        answer.tokens.len(),
        chain::samplers(&answer.tokens),
        answer.connections,
        answer.longest_gap_ms
    );
    demo.book_twice().await?;
    println!("the seat sent twice with one key through two instances was booked once");
    println!("{}", demo.ask("show latency by organisation").await?);
    for router in demo.routers {
        router.stop().await;
    }
    drop(demo.platform);
    Ok(())
}

async fn start() -> Result<Demo, String> {
    let platform = platform::start("127.0.0.1:0");
    let settings = engine::Settings { load_lag_ms: 100, ..engine::Settings::default() };
    let start_engine = |_| Some(engine::start("127.0.0.1:0", settings.clone()));
    let engines = (0..ENGINES).map(start_engine).collect();
    let books = Arc::new(seats::Seats::default());
    let seats = (0..2).map(|_| seats::start("127.0.0.1:0", Arc::clone(&books))).collect();
    let mut routers = Vec::new();
    for domain in DOMAINS {
        routers.push(start_router(domain, &platform).await?);
    }
    let demo = Demo { platform, engines, seats, routers };
    demo.configure().await?;
    Ok(demo)
}

async fn start_router(domain: &str, platform: &Host) -> Result<Router, String> {
    let store = format!("http://{}", platform.addr);
    let listen = format!("127.0.0.1:{}", host::free_port());
    let flags = [
        ["--id", domain],
        ["--domain", domain],
        ["--listen", &listen],
        ["--store", &store],
        ["--peer-key", PEER_KEY],
        ["--operator-key", OPERATOR_KEY],
        ["--tick-ms", "200"],
        ["--keep-ms", "200"],
    ];
    let arguments = flags.iter().flatten().map(OsString::from).collect();
    let settings = Settings::read(arguments, &|_| None).map_err(|error| error.to_string())?;
    Router::start(settings, log::discard()).await.map_err(|error| error.to_string())
}

impl Demo {
    fn address(&self, router: usize) -> String {
        self.routers[router].node().me.addr.to_string()
    }

    fn plan(&self, key: &str) -> Plan {
        Plan {
            addresses: (0..self.routers.len()).map(|router| self.address(router)).collect(),
            organisation_key: HARBOUR_KEY.to_owned(),
            idempotency_key: key.to_owned(),
            model: "plan-1".to_owned(),
            prompt: siskinrock_standin::VOYAGE.to_owned(),
            max_tokens: TOKENS,
            patience_ms: PATIENCE.as_millis() as u64,
        }
    }

    async fn ask(&self, command: &str) -> Result<String, String> {
        let router = self.address(0);
        let words = ["--router", &router, "--operator-key", OPERATOR_KEY, command];
        let output = ctl::run(words.map(OsString::from).to_vec(), &|_| None).await;
        output.map(|output| output.text).map_err(|error| format!("{command}: {error}"))
    }

    /// Asks until `is_met`, or fails.
    async fn ask_until(
        &self,
        command: &str,
        is_met: impl Fn(&str) -> bool,
    ) -> Result<String, String> {
        let start = Instant::now();
        loop {
            let shown = self.ask(command).await.unwrap_or_default();
            if is_met(&shown) {
                return Ok(shown);
            }
            if start.elapsed() > PATIENCE {
                return Err(format!("waited in vain for {command}:\n{shown}"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn configure(&self) -> Result<(), String> {
        let ready = |shown: &str| shown.matches("serving").count() == DOMAINS.len();
        self.ask_until("show routers where claims = ready", ready).await?;
        self.ask("add service planning kind = generation").await?;
        self.ask("add service booking kind = plain repeat = never").await?;
        self.ask("add model plan-1 service = planning version = 1").await?;
        self.ask(&format!("add organisation harbour-a key = {HARBOUR_KEY}")).await?;
        let engines = self.engines.iter().flatten().map(|engine| (engine.addr, "planning"));
        let seats = self.seats.iter().map(|seats| (seats.addr, "booking"));
        for (number, (addr, service)) in engines.chain(seats).enumerate() {
            let domain = DOMAINS[number % DOMAINS.len()];
            self.ask(&format!("add upstream {addr} service = {service} domain = {domain}")).await?;
        }
        let all = ENGINES + self.seats.len();
        let live = |shown: &str| shown.lines().count() == all + 1;
        self.ask_until("show upstreams where state = live", live).await?;
        Ok(())
    }

    async fn generate_and_kill(&mut self, plan: &Plan) -> Result<caller::Answer, String> {
        let (reached, mut killing) = tokio::sync::mpsc::unbounded_channel();
        let plan = plan.clone();
        let asking = tokio::spawn(async move {
            let mut on_token = |index: usize| {
                if index == DIES_AFTER {
                    let _ = reached.send(());
                }
            };
            caller::generate_watched(&plan, &mut on_token).await
        });
        killing.recv().await.ok_or("the plan ended before the engine could die")?;
        let shown = self.ask("show requests where state = running").await?;
        for engine in &mut self.engines {
            let addr = engine.as_ref().map(|engine| engine.addr.to_string()).unwrap_or_default();
            if !addr.is_empty() && shown.contains(&addr) {
                drop(engine.take());
                println!("killed engine {addr} after token {DIES_AFTER}");
            }
        }
        let answer = asking.await.map_err(|error| error.to_string())??;
        if chain::samplers(&answer.tokens) < 2 {
            return Err("no second engine took part".to_owned());
        }
        Ok(answer)
    }

    async fn book_twice(&self) -> Result<(), String> {
        let client = caller::client();
        let first = tokio::spawn(book(client.clone(), self.address(1)));
        let second = tokio::spawn(book(client.clone(), self.address(2)));
        let first = first.await.map_err(|error| error.to_string())??;
        let second = second.await.map_err(|error| error.to_string())??;
        let url = format!("http://{}/runs", self.seats[0].addr);
        let response = client.get(url).send().await.map_err(|error| error.to_string())?;
        let runs: serde_json::Value = response.json().await.map_err(|error| error.to_string())?;
        if first != second || runs["harbour-a/seat-K3-07"] != 1 {
            return Err(format!("answers {first} and {second}, runs {runs}"));
        }
        Ok(())
    }
}

async fn book(client: reqwest::Client, address: String) -> Result<String, String> {
    let body = serde_json::json!({ "seat": "K3-07", "who": "harbour-a", "work_ms": 100 });
    let request = client.post(format!("http://{address}/v1/services/booking/book"));
    let request = request.bearer_auth(HARBOUR_KEY).header("idempotency-key", "seat-K3-07");
    let response = request.json(&body).send().await.map_err(|error| error.to_string())?;
    response.text().await.map_err(|error| error.to_string())
}
