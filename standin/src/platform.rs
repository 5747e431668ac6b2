//! The platform: a key-value service and a lagging list of upstreams.
//!
//! | call | does |
//! |---|---|
//! | `GET /kv/KEY` | the value and its revision |
//! | `PUT /kv/KEY` | a write, with compare-and-swap when `expect` is given |
//! | `GET /watch/KEY?after=R&wait_ms=T` | waits for a revision over `R` |
//! | `POST /leases`, `PUT /leases/ID` | takes and renews a lease |
//! | `GET /upstreams`, `PUT /upstreams` | the lagging list of live and leaving upstreams |
//! | `GET /stats` | how many calls were counted |

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::fault::Faults;
use crate::host::Host;

/// A stored value as the service answers it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    pub value: String,
    pub revision: u64,
}

/// A write as the service takes it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Write {
    pub value: String,
    /// The revision that the writer saw, 0 for a key that must not exist.
    pub expect: Option<u64>,
    /// The lease whose end removes the key.
    pub lease: Option<u64>,
}

/// One line of the list of upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listed {
    pub service: String,
    pub addr: String,
    pub domain: String,
    pub incarnation: u64,
    pub leaving: bool,
}

/// The calls that were counted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<String, Stored>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    listed: Vec<Listed>,
    coming: Option<Coming>,
    stats: Stats,
}

#[derive(Clone)]
struct Stored {
    entry: Entry,
    older: Option<Entry>,
    lease: Option<u64>,
}

struct Lease {
    ttl_ms: u64,
    until: Instant,
}

struct Coming {
    listed: Vec<Listed>,
    at: Instant,
}

struct Service {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
    faults: Arc<Faults>,
    list_lag_ms: u64,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no holder of this lock panics");
        state.end_leases(Instant::now());
        state
    }
}

impl State {
    fn end_leases(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.until > now);
        let leases = &self.leases;
        self.entries.retain(|_, stored| stored.lease.is_none_or(|id| leases.contains_key(&id)));
        if self.coming.as_ref().is_some_and(|coming| coming.at <= now) {
            self.listed = self.coming.take().map(|coming| coming.listed).unwrap_or_default();
        }
    }

    fn write(&mut self, key: &str, write: Write) -> Result<u64, Option<Entry>> {
        self.stats.writes += 1;
        let current = self.entries.get(key).map(|stored| stored.entry.clone());
        let seen = current.as_ref().map_or(0, |entry| entry.revision);
        if write.expect.is_some_and(|expect| expect != seen) {
            return Err(current);
        }
        self.revision += 1;
        let entry = Entry { value: write.value, revision: self.revision };
        let stored = Stored { entry, older: current, lease: write.lease };
        self.entries.insert(key.to_owned(), stored);
        Ok(self.revision)
    }
}

/// Starts the platform with a list that lags by half a second.
pub fn start(addr: &str) -> Host {
    start_with_lag(addr, 500)
}

/// Starts the platform with a list of upstreams that lags by `list_lag_ms`.
pub fn start_with_lag(addr: &str, list_lag_ms: u64) -> Host {
    Host::start(addr, move |faults| {
        let service = Arc::new(Service {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            faults,
            list_lag_ms,
        });
        Router::new()
            .hoop(salvo::affix_state::inject(service))
            .push(Router::with_path("kv/{**key}").get(get_entry).put(put_entry))
            .push(Router::with_path("watch/{**key}").get(wait_for_change))
            .push(Router::with_path("leases").post(grant_lease))
            .push(Router::with_path("leases/{id}").put(renew_lease))
            .push(Router::with_path("upstreams").get(answer_list).put(set_list))
            .push(Router::with_path("stats").get(answer_stats))
    })
}

fn service(depot: &Depot) -> Arc<Service> {
    Arc::clone(depot.get_typed::<Arc<Service>>().expect("the service is injected"))
}

fn key_of(req: &Request) -> String {
    req.param::<String>("key").unwrap_or_default()
}

#[handler]
async fn get_entry(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let stale = service.faults.take_stale_read();
    let mut state = service.lock();
    state.stats.reads += 1;
    let stored = state.entries.get(&key_of(req)).cloned();
    let entry = stored.map(|stored| match stored.older {
        Some(older) if stale => older,
        _ => stored.entry,
    });
    match entry {
        Some(entry) => res.render(Json(entry)),
        None => drop(res.status_code(StatusCode::NOT_FOUND)),
    }
}

#[handler]
async fn put_entry(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let Ok(write) = req.parse_json_with_max_size::<Write>(2 << 20).await else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let outcome = service.lock().write(&key_of(req), write);
    match outcome {
        Ok(revision) => {
            service.changes.send_replace(revision);
            res.render(Json(serde_json::json!({ "revision": revision })));
        }
        Err(current) => {
            res.status_code(StatusCode::CONFLICT);
            res.render(Json(current));
        }
    }
}

#[handler]
async fn wait_for_change(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let key = key_of(req);
    let after = req.query::<u64>("after").unwrap_or(0);
    let wait_ms = req.query::<u64>("wait_ms").unwrap_or(10_000);
    let mut changes = service.changes.subscribe();
    service.lock().stats.watches += 1;
    let newer = async {
        loop {
            changes.borrow_and_update();
            let entry = service.lock().entries.get(&key).map(|stored| stored.entry.clone());
            if let Some(entry) = entry.filter(|entry| entry.revision > after) {
                return entry;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    match tokio::time::timeout(Duration::from_millis(wait_ms), newer).await {
        Ok(entry) => res.render(Json(entry)),
        Err(_) => drop(res.status_code(StatusCode::NO_CONTENT)),
    }
}

#[handler]
async fn grant_lease(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let ttl_ms = req.query::<u64>("ttl_ms").unwrap_or(5_000);
    let mut state = service.lock();
    state.stats.writes += 1;
    state.revision += 1;
    let id = state.revision;
    let until = Instant::now() + Duration::from_millis(ttl_ms);
    state.leases.insert(id, Lease { ttl_ms, until });
    res.render(Json(serde_json::json!({ "lease": id })));
}

#[handler]
async fn renew_lease(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let id = req.param::<u64>("id").unwrap_or(0);
    let mut state = service.lock();
    state.stats.writes += 1;
    match state.leases.get_mut(&id) {
        Some(lease) => lease.until = Instant::now() + Duration::from_millis(lease.ttl_ms),
        None => drop(res.status_code(StatusCode::NOT_FOUND)),
    }
}

#[handler]
async fn answer_list(depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let mut state = service.lock();
    state.stats.reads += 1;
    res.render(Json(state.listed.clone()));
}

#[handler]
async fn set_list(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let Ok(listed) = req.parse_json_with_max_size::<Vec<Listed>>(2 << 20).await else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let at = Instant::now() + Duration::from_millis(service.list_lag_ms);
    service.lock().coming = Some(Coming { listed, at });
}

#[handler]
async fn answer_stats(depot: &mut Depot, res: &mut Response) {
    res.render(Json(service(depot).lock().stats.clone()));
}
