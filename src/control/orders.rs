//! The controller of orders to upstreams: which models they must load.
//!
//! Orders state the desired models, so they are idempotent. Only the holder of a lease in the store
//! sends them, with a fencing number from the store. For upstreams that ignore that number, an order
//! is sent only if the lease outlasts the order's timeout, and the loaded models are checked
//! afterwards ([docs/DESIGN.md](../../docs/DESIGN.md#orders)).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::control::blackboard::Board;

/// How long the lease lasts without renewal.
pub const LEASE_MS: u64 = 8_000;
/// The timeout of an order.
pub const ORDER_TIMEOUT_MS: u64 = 3_000;
/// By how much the lease must outlast an order.
const MARGIN_MS: u64 = 500;
/// The lease is renewed this long before it ends.
const RENEW_BEFORE_MS: u64 = 5_000;
/// How often instances without the lease try to acquire it.
const ACQUIRE_INTERVAL_MS: u64 = 4_000;
/// How many orders run at once, since the weight store limits its rate.
const MAX_CONCURRENT_ORDERS: usize = 4;
/// How long an upstream has to report the ordered models before the order is repeated.
const SETTLE_MS: u64 = 3_000;

/// A lease that this instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id in the store.
    pub id: u64,
    /// The store's revision of the write that acquired it; grows with each holder.
    pub fencing: u64,
    /// When it may expire, counted from before the request for it.
    pub until_ms: u64,
}

/// An output of the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Try to acquire the lease.
    Take,
    /// Renew the lease.
    Renew(Lease),
    /// Send an order.
    Send(Order),
}

/// An order to one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The upstream.
    pub addr: Arc<str>,
    /// All models that must be loaded.
    pub models: BTreeSet<Arc<str>>,
    /// The lease's fencing number.
    pub fencing: u64,
    /// The time after which it must not be sent.
    pub send_until_ms: u64,
}

/// The controller's own state.
#[derive(Debug, Default)]
pub struct Orders {
    lease: Option<Lease>,
    is_asking: bool,
    tried_ms: u64,
    sent: BTreeMap<Arc<str>, Sent>,
}

#[derive(Debug)]
struct Sent {
    is_running: bool,
    at_ms: u64,
}

impl Orders {
    /// The lease, if this instance holds it.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// Appends what is due now; only instances that watch the store try to acquire the lease.
    pub fn tick(&mut self, board: &Board, is_watcher: bool, now_ms: u64, out: &mut Vec<Command>) {
        if self.lease.is_some_and(|lease| lease.until_ms <= now_ms) {
            self.lease = None;
        }
        let Some(lease) = self.lease else {
            let is_due =
                now_ms.saturating_sub(self.tried_ms) >= ACQUIRE_INTERVAL_MS || self.tried_ms == 0;
            if is_watcher && !board.is_stopping && is_due && !self.is_asking {
                self.tried_ms = now_ms;
                self.is_asking = true;
                out.push(Command::Take);
            }
            return;
        };
        if lease.until_ms.saturating_sub(now_ms) < RENEW_BEFORE_MS && !self.is_asking {
            self.is_asking = true;
            out.push(Command::Renew(lease));
        }
        self.order(board, lease, now_ms, out);
    }

    fn order(&mut self, board: &Board, lease: Lease, now_ms: u64, out: &mut Vec<Command>) {
        self.sent.retain(|addr, _| board.upstreams.contains_key(addr));
        let mut running = self.sent.values().filter(|sent| sent.is_running).count();
        for (addr, upstream) in &board.upstreams {
            let report = &upstream.report;
            let wanted = board.document.wanted_models(&report.service, &report.domain);
            let loaded: BTreeSet<_> = report.load.models.iter().cloned().collect();
            let is_recent = self.sent.get(addr).is_some_and(|sent| {
                sent.is_running || now_ms.saturating_sub(sent.at_ms) < SETTLE_MS
            });
            let needs = !wanted.is_empty() && wanted != loaded && report.is_alive;
            if !needs || is_recent || running >= MAX_CONCURRENT_ORDERS {
                continue;
            }
            let service = board.document.services.get(&report.service);
            let is_checked = service.is_some_and(|service| service.checks_fencing);
            let reserve_ms = if is_checked { MARGIN_MS } else { ORDER_TIMEOUT_MS + MARGIN_MS };
            let send_until_ms = lease.until_ms.saturating_sub(reserve_ms);
            if now_ms >= send_until_ms {
                continue;
            }
            running += 1;
            self.sent.insert(Arc::clone(addr), Sent { is_running: true, at_ms: now_ms });
            let fencing = lease.fencing;
            let addr = Arc::clone(addr);
            out.push(Command::Send(Order { addr, models: wanted, fencing, send_until_ms }));
        }
    }

    /// Handles the result of an attempt to acquire or renew the lease.
    pub fn handle_lease(&mut self, lease: Option<Lease>) {
        self.is_asking = false;
        self.lease = lease;
    }

    /// Handles the end of an order, with or without success.
    pub fn handle_order_end(&mut self, addr: &str, now_ms: u64) {
        if let Some(sent) = self.sent.get_mut(addr) {
            sent.is_running = false;
            sent.at_ms = now_ms;
        }
    }
}
