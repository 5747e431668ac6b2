//! Faults that any stand-in can be told to show.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

/// How long a lost reply leaves its caller waiting, unless the caller gives up first.
const LOST_REPLY_MS: u64 = 20_000;

/// An order to a stand-in, as the body of `POST /fault`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Close every socket at once.
    Die,
    /// Stop answering and generating, with sockets left open.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Wait before each request is handled.
    Delay { ms: u64 },
    /// Handle the next requests that are not reads, then never answer them.
    LoseReply { count: u32 },
    /// Refuse everything with 503.
    Down { down: bool },
    /// Refuse everything but questions for the load with 503, and ask for backoff.
    BackOff { backoff_s: u32 },
    /// Answer the next reads with the data before the last change.
    Stale { count: u32 },
}

/// The faults of one stand-in.
pub struct Faults {
    paused: watch::Sender<bool>,
    delay_ms: AtomicU64,
    lose_replies: AtomicU32,
    down: AtomicBool,
    backoff_s: AtomicU32,
    /// Requests that were refused so.
    refused: AtomicU32,
    stale_reads: AtomicU32,
    /// Notified when the stand-in has to die.
    pub death: Notify,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            paused: watch::Sender::new(false),
            delay_ms: AtomicU64::new(0),
            lose_replies: AtomicU32::new(0),
            down: AtomicBool::new(false),
            backoff_s: AtomicU32::new(0),
            refused: AtomicU32::new(0),
            stale_reads: AtomicU32::new(0),
            death: Notify::new(),
        }
    }
}

impl Faults {
    /// Puts an order into force.
    pub fn apply(&self, order: &Order) {
        match order {
            Order::Die => self.death.notify_one(),
            Order::Pause => drop(self.paused.send_replace(true)),
            Order::Resume => drop(self.paused.send_replace(false)),
            Order::Delay { ms } => self.delay_ms.store(*ms, Ordering::SeqCst),
            Order::LoseReply { count } => self.lose_replies.store(*count, Ordering::SeqCst),
            Order::Down { down } => self.down.store(*down, Ordering::SeqCst),
            Order::BackOff { backoff_s } => self.backoff_s.store(*backoff_s, Ordering::SeqCst),
            Order::Stale { count } => self.stale_reads.store(*count, Ordering::SeqCst),
        }
    }

    /// Waits for as long as the stand-in is paused.
    pub async fn while_paused(&self) {
        let mut paused = self.paused.subscribe();
        // The sender lives in `self`, so that the wait can't fail.
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// How many requests were refused so.
    pub fn refused(&self) -> u32 {
        self.refused.load(Ordering::SeqCst)
    }

    /// Takes one of the stale reads that were ordered.
    pub fn take_stale_read(&self) -> bool {
        take(&self.stale_reads)
    }
}

fn take(counter: &AtomicU32) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

/// The middleware that shows the faults on every path but `/fault`.
pub struct Gate(pub Arc<Faults>);

#[async_trait]
impl Handler for Gate {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        if req.uri().path() == "/fault" {
            match req.parse_json::<Order>().await {
                Ok(order) => self.0.apply(&order),
                Err(_) => drop(res.status_code(StatusCode::BAD_REQUEST)),
            }
            ctrl.skip_rest();
            return;
        }
        let delay_ms = self.0.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.0.while_paused().await;
        if self.0.down.load(Ordering::SeqCst) {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            ctrl.skip_rest();
            return;
        }
        let backoff_s = self.0.backoff_s.load(Ordering::SeqCst);
        if backoff_s > 0 && req.uri().path() != "/load" {
            self.0.refused.fetch_add(1, Ordering::SeqCst);
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            res.headers_mut().insert("retry-after", backoff_s.into());
            ctrl.skip_rest();
            return;
        }
        let is_read = req.method() == salvo::http::Method::GET;
        let lose = !is_read && take(&self.0.lose_replies);
        ctrl.call_next(req, depot, res).await;
        self.0.while_paused().await;
        if lose {
            tokio::time::sleep(Duration::from_millis(LOST_REPLY_MS)).await;
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
        }
    }
}
