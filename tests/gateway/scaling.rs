//! The number of workers ordered: the pure scaler against a simulated platform that starts workers,
//! reclaims them and runs out of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use siskinrock::gateway::policy::scaling::{Scaler, ServiceState, WorkerCounts, WorkerOrder};
use siskinrock::gateway::route::Scaling;

const ZONES: [&str; 4] = ["norte", "sur", "puerto", "rel"];
const BOOT_MS: u64 = 4_000;
/// Interval between two steps of the scaler.
const STEP_MS: u64 = 200;

fn policy(spot_price: f64) -> Scaling {
    let prices = ZONES.map(|zone| (Arc::from(zone), 1.0));
    Scaling { least: 1, most: 48, boot_ms: BOOT_MS, spot_price, prices: prices.into() }
}

/// Worker counts, by failure domain and whether they are spot workers.
type Workers = BTreeMap<(Arc<str>, bool), WorkerCounts>;

struct Platform {
    now_ms: u64,
    policy: Scaling,
    scaler: Scaler,
    workers: Workers,
    /// Workers that are starting, with the time at which they are ready.
    starting: Vec<(u64, (Arc<str>, bool), u32)>,
    has_no_spot_capacity: bool,
    orders: Vec<(u64, WorkerOrder)>,
    demand_workers: f64,
}

impl Platform {
    fn new(spot_price: f64, each: u32) -> Platform {
        let initial =
            ZONES.map(|zone| ((Arc::from(zone), false), WorkerCounts { ready: each, leaving: 0 }));
        Platform {
            now_ms: 1_000,
            policy: policy(spot_price),
            scaler: Scaler::default(),
            workers: initial.into(),
            starting: Vec::new(),
            has_no_spot_capacity: false,
            orders: Vec::new(),
            demand_workers: 0.0,
        }
    }

    fn run_for(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.start_due();
            let service = Arc::from("plan");
            let state = ServiceState {
                service: &service,
                policy: &self.policy,
                workers: &self.workers,
                demand_workers: self.demand_workers,
            };
            for order in self.scaler.step(&state, self.now_ms) {
                self.execute(order);
            }
        }
    }

    fn start_due(&mut self) {
        let now_ms = self.now_ms;
        let (due, left) = self.starting.drain(..).partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.starting = left;
        for (_, key, count) in due {
            self.workers.entry(key).or_default().ready += count;
        }
    }

    fn execute(&mut self, order: WorkerOrder) {
        self.orders.push((self.now_ms, order.clone()));
        if self.has_no_spot_capacity && order.group.is_spot {
            return self.scaler.note_no_capacity(&order, self.now_ms);
        }
        self.scaler.note_sent(&order, true, self.now_ms);
        let key = (Arc::clone(&order.group.domain), order.group.is_spot);
        let current = self.workers.entry(key.clone()).or_default();
        let starting: u32 = self
            .starting
            .iter()
            .filter(|(_, other, _)| *other == key)
            .map(|(.., count)| count)
            .sum();
        if order.desired < current.ready {
            current.ready = order.desired;
        } else if order.desired > current.ready + starting {
            let count = order.desired - current.ready - starting;
            self.starting.push((self.now_ms + BOOT_MS, key, count));
        }
    }

    fn ready(&self, zone: &str, is_spot: bool) -> u32 {
        self.workers.get(&(Arc::from(zone), is_spot)).map_or(0, |counts| counts.ready)
    }

    fn total_ready(&self) -> u32 {
        self.workers.values().map(|counts| counts.ready).sum()
    }

    fn lose_spot_workers(&mut self, zone: &str) {
        self.workers.insert((Arc::from(zone), true), WorkerCounts::default());
    }
}

/// The number of workers never drops while one kind replaces the other.
#[test]
fn spot_workers_replace_on_demand_workers() {
    let mut platform = Platform::new(0.2, 20);
    for _ in 0..50 {
        platform.run_for(STEP_MS);
        assert!(platform.total_ready() >= 80);
    }
    for zone in ZONES {
        assert_eq!((platform.ready(zone, false), platform.ready(zone, true)), (1, 19));
    }
    let orders = platform.orders.len();
    platform.run_for(60_000);
    assert_eq!(platform.orders.len(), orders, "no orders in a steady state");
}

#[test]
fn without_cheaper_spot_workers_nothing_is_ordered_in_a_steady_state() {
    let mut platform = Platform::new(1.0, 20);
    platform.run_for(30_000);
    assert!(platform.orders.is_empty(), "{:?}", platform.orders);
}

/// Reclaimed spot workers are replaced by on-demand workers at once, and these are given back when
/// spot workers are available again.
#[test]
fn reclaimed_workers_are_replaced() {
    let mut platform = Platform::new(0.2, 20);
    platform.run_for(10_000);
    platform.has_no_spot_capacity = true;
    let leaving = WorkerCounts { ready: 0, leaving: 19 };
    platform.workers.insert((Arc::from("sur"), true), leaving);
    platform.run_for(STEP_MS);
    let ordered: Vec<&WorkerOrder> = platform.orders.iter().map(|(_, order)| order).collect();
    let last = ordered.last().unwrap();
    assert_eq!((&*last.group.domain, last.group.is_spot, last.desired), ("sur", false, 20));
    platform.lose_spot_workers("sur");
    platform.run_for(BOOT_MS + 1_000);
    assert_eq!(platform.ready("sur", false), 20);
    platform.has_no_spot_capacity = false;
    platform.run_for(30_000);
    assert_eq!((platform.ready("sur", false), platform.ready("sur", true)), (1, 19));
}

/// Workers that crash restart by themselves within seconds.
#[test]
fn a_crash_leads_to_no_orders() {
    let mut platform = Platform::new(0.2, 20);
    platform.run_for(10_000);
    let orders = platform.orders.len();
    platform.lose_spot_workers("rel");
    platform.run_for(4_000);
    platform.workers.insert((Arc::from("rel"), true), WorkerCounts { ready: 19, leaving: 0 });
    platform.run_for(10_000);
    assert_eq!(platform.orders.len(), orders);
}

#[test]
fn workers_are_added_at_once_and_removed_after_a_delay() {
    let mut platform = Platform::new(1.0, 20);
    platform.demand_workers = 60.0;
    platform.run_for(BOOT_MS + 1_000);
    assert_eq!(platform.total_ready(), 134, "60 full workers at a utilization of 0.45");
    platform.demand_workers = 10.0;
    platform.run_for(10_000);
    assert_eq!(platform.total_ready(), 134);
    platform.run_for(15_000);
    assert_eq!(platform.total_ready(), 23);
    platform.demand_workers = 1_000.0;
    platform.run_for(BOOT_MS + 1_000);
    assert_eq!(platform.total_ready(), 4 * 48, "limited by the maximum of each failure domain");
}

/// A holder that takes over in the middle of a change orders what the previous one did.
#[test]
fn a_new_holder_continues_a_change() {
    let mut platform = Platform::new(0.2, 20);
    platform.run_for(STEP_MS);
    platform.run_for(BOOT_MS);
    platform.scaler.clear();
    platform.lose_spot_workers("rel");
    platform.run_for(20_000);
    assert_eq!(platform.total_ready(), 80);
}

/// An invalid scaling policy leads to no orders.
#[test]
fn an_invalid_policy_leads_to_no_orders() {
    let unsound = [
        Scaling { least: 9, most: 3, ..policy(0.2) },
        Scaling { spot_price: -1.0, ..policy(0.2) },
        Scaling { prices: BTreeMap::new(), ..policy(0.2) },
        Scaling { prices: [(Arc::from("norte"), -2.0)].into(), ..policy(0.2) },
    ];
    for policy in unsound {
        let mut platform = Platform { policy, ..Platform::new(0.2, 20) };
        platform.run_for(2_000);
        assert!(platform.orders.is_empty());
    }
}
