//! Channels to other instances, which serve requests for this one while it is cut off from all
//! upstreams.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::super::channel::Fault;
use super::super::dialect::Marks;
use super::super::fleet::{SoftwareVersion, Upstream};
use super::super::job::Job;
use super::super::policy::answer_match::{AnswerMatch, Message};
use super::super::policy::relay::{self, Candidate};
use super::super::view::{Front, View};
use super::super::worker::{Lease, Worker};
use super::Traffic;

/// Maximum number of channels to one instance: several hundred requests a second fit through them.
const MAX_CHANNELS: u32 = 256;

/// The instances that requests were relayed to, with their channels, by the address at which they
/// accept callers.
#[derive(Debug, Default)]
pub(super) struct Peers(RefCell<BTreeMap<SocketAddr, Rc<Worker>>>);

impl Peers {
    fn get(&self, front: &Front, now_ms: u64) -> Rc<Worker> {
        let mut peers = self.0.borrow_mut();
        let peer = peers.entry(front.addr).or_insert_with(|| new_peer(front, now_ms));
        Rc::clone(peer)
    }

    fn is_avoided(&self, addr: SocketAddr, now_ms: u64) -> bool {
        self.0.borrow().get(&addr).is_some_and(|peer| peer.is_suspect(now_ms))
    }

    /// Closes idle channels, and drops instances that no longer accept requests.
    pub(super) fn sweep(&self, view: &View, now_ms: u64) {
        let is_known = |addr: &SocketAddr| view.relays.iter().any(|front| front.addr == *addr);
        self.0.borrow_mut().retain(|addr, _| is_known(addr));
        self.0.borrow().values().for_each(|peer| peer.sweep(now_ms));
    }
}

/// An instance as the target of requests.
fn new_peer(front: &Front, now_ms: u64) -> Rc<Worker> {
    let upstream = Upstream {
        id: Arc::from(format!("instance at {}", front.addr)),
        service: Arc::from("instances"),
        addr: front.addr,
        domain: Arc::clone(&front.domain),
        is_leaving: false,
        born_ms: None,
        listed_at: 0,
        stated_at: 0,
        is_spot: false,
        version: SoftwareVersion::Unversioned,
    };
    Worker::new(upstream, now_ms)
}

impl Traffic {
    /// Chooses an instance to serve a request, other than those that were tried.
    pub fn choose_peer(&self, tried: &[SocketAddr]) -> Option<Rc<Worker>> {
        let view = self.view();
        let now_ms = self.now_ms();
        let candidate = |front: &Front| Candidate {
            addr: front.addr,
            domain: Arc::clone(&front.domain),
            is_avoided: self.peers.is_avoided(front.addr, now_ms),
        };
        let candidates: Vec<Candidate> = view.relays.iter().map(candidate).collect();
        let random = &mut fastrand::Rng::new();
        let addr = relay::choose(&candidates, &self.settings.domain, tried, random)?;
        let front = view.relays.iter().find(|front| front.addr == addr)?;
        Some(self.peers.get(front, now_ms))
    }

    /// Leases a channel to another instance.
    ///
    /// # Errors
    ///
    /// Any fault but [`Fault::Broken`].
    pub async fn lease_to_peer(&self, peer: &Rc<Worker>) -> Result<Lease, Fault> {
        let leased = peer.lease(Message::Relayed, MAX_CHANNELS, self.now_ms()).await;
        if leased.is_err() {
            peer.broke(self.now_ms());
        }
        leased
    }

    /// Whether an answer of another instance belongs to a relayed request. Its own refusals name none.
    pub fn is_own_relayed_answer(&self, lease: &mut Lease, job: &Job, marks: &Marks) -> bool {
        let matched = lease.judge(job.demand.id.as_deref(), marks.id.as_deref());
        matched != AnswerMatch::Foreign
    }
}
