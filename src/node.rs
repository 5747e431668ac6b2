//! What the parts of a running instance share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::control;
use crate::control::blackboard::Snapshot;
use crate::control::control_loop;
use crate::control::health::Observation;
use crate::control::membership::{Member, Table};
use crate::error::Result;
use crate::peer::{self, Holders};
use crate::records::ledger_task::LedgerTask;
use crate::records::record::{Op, Owner, Reply, Request};
use crate::records::vote::{Verdict, Vote};
use crate::request::admission::Arrival;
use crate::request::admission_task::{AdmissionTask, Permit};
use crate::request::budget::RetryBudget;
use crate::request::callers::Callers;
use crate::request::engine::Engine;
use crate::request::registry::Registry;
use crate::settings::Settings;
use crate::store::Store;

/// How long a vote goes on while epochs differ.
const CATCH_UP_MS: u64 = 2_000;
/// The wait before a vote is tried in a newer epoch.
const CATCH_UP_STEP_MS: u64 = 20;

/// A running instance.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// Its log.
    pub log: slog::Logger,
    /// This start of it.
    pub me: Member,
    /// What the control thread last published.
    pub snapshot: ArcSwap<Snapshot>,
    /// The table in force, for those who wait for the next one.
    pub tables: watch::Sender<Arc<Table>>,
    /// The control thread.
    pub control: mpsc::UnboundedSender<control_loop::Message>,
    /// The records that this instance holds.
    pub ledger: LedgerTask,
    /// All holders of records, for claims and outcomes.
    pub holders: Arc<dyn Holders>,
    /// The same over connections of their own, for copies of tokens: these come in bursts and
    /// must not hold up a claim.
    pub copiers: Arc<dyn Holders>,
    /// The threads that generations run on, so that bursts of tokens don't hold up quick calls.
    pub streams: Handle,
    /// The model engines.
    pub engine: Arc<dyn Engine>,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// The admission queues.
    pub admission: AdmissionTask,
    /// The requests of this instance.
    pub registry: Registry,
    /// Calls to peers.
    pub peers: peer::Client,
    /// The bytes that the control thread sends, and that it gets from peers.
    pub control_traffic: Arc<peer::Traffic>,
    /// Calls to plain services, over connections that are kept for a moment only: one that the
    /// service closes while a call is on its way leaves the outcome unknown.
    pub calls: reqwest::Client,
    /// Repeats that may still be made.
    pub budget: Mutex<RetryBudget>,
    /// Connections of callers and peers, and what their bodies hold.
    pub callers: Arc<Callers>,
    /// Callers' requests whose answers are not complete.
    pub open: Arc<AtomicUsize>,
}

/// Counts a caller's request as open for as long as it lives.
pub struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Node {
    /// Counts one more open request; a planned stop waits for its end.
    pub fn open(&self) -> Open {
        self.open.fetch_add(1, Ordering::SeqCst);
        Open(Arc::clone(&self.open))
    }

    /// What the control thread last published.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// This instance as the owner of requests.
    pub fn owner(&self) -> Owner {
        Owner { id: Arc::clone(&self.me.id), addr: Arc::clone(&self.me.addr) }
    }

    /// Tells the control thread what traffic noticed.
    pub fn report_observation(&self, addr: &Arc<str>, observation: Observation) {
        let addr = Arc::clone(addr);
        self.tell(control::Event::Observed { addr, observation });
    }

    /// Gives the control thread an event.
    pub fn tell(&self, event: control::Event) {
        let _ = self.control.send(control_loop::Message::Event(event));
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// `queue_full` and `too_late`, with the time to come back; the request has not run.
    pub async fn enter(
        &self,
        service: &Arc<str>,
        organisation: &Arc<str>,
        deadline_ms: u64,
    ) -> Result<Permit> {
        let snapshot = self.snapshot();
        let known = snapshot.document.organisations.get(organisation);
        let arrival = Arrival {
            id: 0,
            service: Arc::clone(service),
            organisation: Arc::clone(organisation),
            weight: known.map_or(1, |known| known.weight),
            organisation_queue: known.map_or(1, |known| known.queue as usize),
            deadline_ms,
        };
        self.admission.enter(arrival).await
    }

    /// Puts one operation to the holders of its key, until a verdict stands or epochs agree.
    pub async fn vote(&self, op: &Op) -> Verdict {
        let give_up_ms = self.clock.now_ms() + CATCH_UP_MS;
        loop {
            let verdict = self.vote_once(op).await;
            let is_stale = matches!(verdict, Verdict::Stale { .. });
            // A claim must not carry votes of one epoch into another.
            if !is_stale || matches!(op, Op::Claim { .. }) || self.clock.now_ms() > give_up_ms {
                return verdict;
            }
            tokio::time::sleep(Duration::from_millis(CATCH_UP_STEP_MS)).await;
        }
    }

    async fn vote_once(&self, op: &Op) -> Verdict {
        let table = self.tables.borrow().clone();
        let holders = table.roster.holders(&op.identity().key);
        let mut vote = Vote::new(holders.len());
        let asked = holders.into_iter().map(|member| {
            let request = Request { epoch: table.epoch(), op: op.clone() };
            ask(Arc::clone(&self.holders), member.clone(), request)
        });
        let mut answers: FuturesUnordered<_> = asked.collect();
        let mut verdict = None;
        while let Some(answer) = answers.next().await {
            if let Some(Reply::Stale { .. }) = answer.reply {
                self.tell(control::Event::Differs(answer.member.clone()));
            }
            verdict = vote.take(&answer.member.id, answer.reply);
            if verdict.is_some() {
                break;
            }
        }
        if !answers.is_empty() {
            // The others are asked to the end, also when a majority has decided by then.
            tokio::spawn(async move { while answers.next().await.is_some() {} });
        }
        verdict.unwrap_or(Verdict::Unavailable)
    }
}

struct Answer {
    member: Member,
    reply: Option<Reply>,
}

async fn ask(holders: Arc<dyn Holders>, member: Member, request: Request) -> Answer {
    let reply = holders.ask(&member, request).await;
    Answer { member, reply }
}

/// Holders of which one is this instance itself.
pub struct AllHolders {
    /// This instance.
    pub me: Member,
    /// Its own records.
    pub ledger: LedgerTask,
    /// The others.
    pub remote: peer::RemoteHolders,
}

impl Holders for AllHolders {
    fn ask<'a>(&'a self, holder: &'a Member, request: Request) -> BoxFuture<'a, Option<Reply>> {
        if !holder.is_same(&self.me) {
            return self.remote.ask(holder, request);
        }
        Box::pin(async move { self.ledger.apply(vec![request]).await.pop() })
    }
}
