//! A plain service of seats that counts every run of every booking, so that a double shows.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use salvo::prelude::*;
use serde::{Deserialize, Serialize};

use crate::host::Host;

/// A booking, as the body of `POST /book`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Booking {
    pub seat: String,
    pub who: String,
    /// How long this booking takes.
    #[serde(default)]
    pub work_ms: u64,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, u32>,
    owners: BTreeMap<String, String>,
    checks: u64,
}

/// What all instances of the service share, as a database behind them would.
#[derive(Default)]
pub struct Seats(Mutex<State>);

impl Seats {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of this lock panics")
    }
}

/// Starts one instance of the service.
pub fn start(addr: &str, seats: Arc<Seats>) -> Host {
    Host::start(addr, |_| {
        Router::new()
            .hoop(salvo::affix_state::inject(seats))
            .push(Router::with_path("book").post(run_booking))
            .push(Router::with_path("check/{seat}").get(check_seat))
            .push(Router::with_path("load").get(answer_load))
            .push(Router::with_path("runs").get(answer_runs))
    })
}

fn seats(depot: &Depot) -> Arc<Seats> {
    Arc::clone(depot.get_typed::<Arc<Seats>>().expect("the service is injected"))
}

#[handler]
async fn run_booking(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let seats = seats(depot);
    let key = req.header::<String>("idempotency-key").unwrap_or_default();
    let Ok(booking) = req.parse_json::<Booking>().await else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let (run, owner) = {
        let mut state = seats.lock();
        let run = state.runs.entry(key).or_insert(0);
        *run += 1;
        let run = *run;
        let owner = state.owners.entry(booking.seat.clone()).or_insert(booking.who.clone());
        (run, owner.clone())
    };
    if booking.work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(booking.work_ms)).await;
    }
    let booked = owner == booking.who;
    let body = serde_json::json!({ "seat": booking.seat, "booked": booked, "run": run });
    res.render(Json(body));
}

#[handler]
async fn check_seat(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let seats = seats(depot);
    let seat = req.param::<String>("seat").unwrap_or_default();
    let mut state = seats.lock();
    state.checks += 1;
    let free = !state.owners.contains_key(&seat);
    res.render(Json(serde_json::json!({ "seat": seat, "free": free })));
}

#[handler]
async fn answer_load(res: &mut Response) {
    let body = serde_json::json!({
        "running": 0, "waiting": 0, "slots": 256, "models": [], "leaving": false,
        "incarnation": 1
    });
    res.render(Json(body));
}

#[handler]
async fn answer_runs(depot: &mut Depot, res: &mut Response) {
    res.render(Json(seats(depot).lock().runs.clone()));
}
