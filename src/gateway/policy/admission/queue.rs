//! The waiting requests of one service at this instance.
//!
//! A request is *announced* once all instances are expected to know of it. Every instance gives the
//! free places to the announced requests in the same order, and presumes the others to do the same,
//! until their loads tell what they did: a change of the order meanwhile must not give a place to a
//! second request. A request that the others don't know of yet gets one of the places that are left,
//! or waits until it is announced. See
//! [docs/design/admission.md](../../../../docs/design/admission.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use super::order::{self, InService, WaitingRequest};
use super::refusal::Capacity;
use crate::decide::Random;

/// A request waits until it is announced only if that takes at most its objective divided by this.
/// Urgent ones with less time are few, and would lose more by the wait than by a place taken twice.
const MAX_ANNOUNCE_DIVISOR: u64 = 20;
/// Accepted fraction of the drawn places that another request draws at the same moment. Such an
/// engine holds one run more than its memory was counted for.
const ACCEPTED_COLLISIONS: f64 = 0.05;
/// For how many delays a request of another instance is presumed to have taken a place: its instance
/// learns of the place within one, and this one learns of the admission within another.
const PRESUMED_DELAYS: u64 = 3;

/// Upper bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Number of requests.
    pub requests: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

/// Names a waiting request of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What this instance knows of the other ones.
#[derive(Debug, Clone, Copy)]
pub struct Others<'a> {
    /// Their waiting requests.
    pub waiting: &'a [WaitingRequest],
    /// Tokens in service at all instances, this one included.
    pub in_service: &'a InService,
    /// Time after which they know of a request that waits here; 0 if there are none.
    pub delay_ms: u64,
    /// Number of requests that they admit on average within this time.
    pub unseen: f64,
    /// The least urgent class of which requests with a tight objective don't wait until they are
    /// announced; none if all wait.
    pub unannounced_class: Option<u8>,
}

/// A request that waits here.
#[derive(Debug)]
pub struct Entry<T> {
    /// What decides about its place.
    pub request: WaitingRequest,
    /// Size of its body.
    pub bytes: usize,
    /// What the queue keeps for its owner.
    pub item: T,
    /// When it was queued.
    queued_ms: u64,
}

/// A request that has got a place and has left the queue.
#[derive(Debug)]
pub struct Admitted<T, P> {
    /// Names the request.
    pub ticket: Ticket,
    /// The request.
    pub entry: Entry<T>,
    /// Its place.
    pub place: P,
}

/// A request that was queued.
#[derive(Debug)]
pub struct Queued<T> {
    /// Names the request.
    pub ticket: Ticket,
    /// Less urgent requests that had to leave the full queue, and are to be refused.
    pub evicted: Vec<Entry<T>>,
}

/// A request that wasn't queued, since the queue is full of more urgent ones.
#[derive(Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the admission queue is full")]
pub struct Rejected<T> {
    /// What the queue would have kept.
    #[error(not(source))]
    pub item: T,
}

/// Position of a waiting request, for operators and for refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// Names the request.
    pub ticket: Ticket,
    /// Its class.
    pub class: u8,
    /// Organisation of its caller.
    pub organisation: Option<Arc<str>>,
    /// How long it has waited since it arrived.
    pub waited_ms: u64,
    /// Number of waiting requests of all instances that go before it.
    pub rank: usize,
    /// Expected time until it gets a place.
    pub expected_wait_ms: u64,
}

/// The waiting requests of one service at this instance, with an item for each of them.
///
/// A place is whatever tells one engine from another; an engine with room for two requests is listed
/// twice.
#[derive(Debug)]
pub struct AdmissionQueue<T, P> {
    bounds: Bounds,
    bytes: usize,
    next_ticket: u64,
    entries: BTreeMap<Ticket, Entry<T>>,
    presumed: Vec<Presumed<P>>,
}

/// A request of another instance that has got a place in this one's view.
#[derive(Debug)]
struct Presumed<P> {
    /// Id of the request.
    id: u64,
    place: P,
    /// Until when its instance may not have told yet that it was admitted.
    until_ms: u64,
}

impl Others<'_> {
    /// Whether they know of a request that waits here, or it can't wait until they do.
    fn know<T>(&self, entry: &Entry<T>, now_ms: u64) -> bool {
        self.is_pressed(&entry.request) || entry.queued_ms + self.delay_ms <= now_ms
    }

    fn is_pressed(&self, request: &WaitingRequest) -> bool {
        let is_urgent = self.unannounced_class.is_some_and(|class| request.class <= class);
        let has_objective = request.objective_ms > 0;
        is_urgent && has_objective && self.delay_ms > request.objective_ms / MAX_ANNOUNCE_DIVISOR
    }
}

impl<T, P: Clone + PartialEq> AdmissionQueue<T, P> {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> AdmissionQueue<T, P> {
        let entries = BTreeMap::new();
        AdmissionQueue { bounds, bytes: 0, next_ticket: 0, entries, presumed: Vec::new() }
    }

    /// Queues a request whose body has a size. A full queue lets its least urgent requests go,
    /// unless that is the new one.
    pub fn push(
        &mut self,
        request: WaitingRequest,
        bytes: usize,
        item: T,
        in_service: &InService,
        now_ms: u64,
    ) -> Result<Queued<T>, Rejected<T>> {
        let Some(leaving) = self.leaving_for(&request, bytes, in_service, now_ms) else {
            return Err(Rejected { item });
        };
        let evicted = leaving.into_iter().filter_map(|ticket| self.remove(ticket)).collect();
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.bytes += bytes;
        self.entries.insert(ticket, Entry { request, bytes, item, queued_ms: now_ms });
        Ok(Queued { ticket, evicted })
    }

    /// Takes out a request whose caller has left or is refused.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.entries.remove(&ticket)?;
        self.bytes -= entry.bytes;
        Some(entry)
    }

    /// Takes out all requests.
    pub fn drain(&mut self) -> Vec<Entry<T>> {
        self.bytes = 0;
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// Takes out every request that gets one of the free places, most urgent first.
    ///
    /// The owner calls it when a request is queued, and at short intervals while requests wait
    /// here. What other instances take while nothing waits here isn't followed.
    pub fn admit(
        &mut self,
        places: &[P],
        others: &Others<'_>,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> Vec<Admitted<T, P>> {
        self.forget_presumed(others, now_ms);
        let mut free = self.without_presumed(places);
        if free.is_empty() {
            return Vec::new();
        }
        let taken = self.take_by_rank(&mut free, others, now_ms);
        let drawn = self.draw(&free, others, now_ms, random);
        let admitted = taken.into_iter().chain(drawn).filter_map(|(ticket, place)| {
            let entry = self.remove(ticket)?;
            Some(Admitted { ticket, entry, place })
        });
        admitted.collect()
    }

    /// Gives the free places to the announced requests, and returns those of this instance with
    /// their places. Leaves the other places in `free`.
    fn take_by_rank(
        &mut self,
        free: &mut Vec<P>,
        others: &Others<'_>,
        now_ms: u64,
    ) -> Vec<(Ticket, P)> {
        let own: Vec<Ticket> = self.tickets(|entry| others.know(entry, now_ms));
        let is_waiting = |id| !self.presumed.iter().any(|presumed| presumed.id == id);
        let waiting = others.waiting.iter().filter(|request| is_waiting(request.id));
        let requests: Vec<&WaitingRequest> =
            own.iter().map(|ticket| &self.entries[ticket].request).chain(waiting).collect();
        let order = order::order(&requests, others.in_service, now_ms);
        let until_ms = now_ms + PRESUMED_DELAYS * others.delay_ms;
        let mut taken = Vec::new();
        let mut presumed = Vec::new();
        for (index, place) in order.iter().zip(free.drain(..order.len().min(free.len()))) {
            match own.get(*index) {
                Some(ticket) => taken.push((*ticket, place)),
                None => presumed.push(Presumed { id: requests[*index].id, place, until_ms }),
            }
        }
        self.presumed.append(&mut presumed);
        taken
    }

    /// Draws places for requests that the other instances don't know of yet, if so many places are
    /// free that two instances rarely draw the same one.
    fn draw(
        &self,
        free: &[P],
        others: &Others<'_>,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> Vec<(Ticket, P)> {
        let mut tickets = self.tickets(|entry| !others.know(entry, now_ms));
        let unseen = others.unseen + tickets.len() as f64;
        let width = (unseen / ACCEPTED_COLLISIONS).ceil() as usize;
        if free.len() < width {
            return Vec::new();
        }
        let mut open = free[..width].to_vec();
        let place = |ticket| (ticket, open.swap_remove(random.below(open.len() as u64) as usize));
        tickets.drain(..).map(place).collect()
    }

    /// Forgets the places of requests that the other instances no longer announce, so that the
    /// loads tell what became of them, and of those that were not admitted after all.
    fn forget_presumed(&mut self, others: &Others<'_>, now_ms: u64) {
        let is_announced = |id| others.waiting.iter().any(|request| request.id == id);
        self.presumed.retain(|known| known.until_ms > now_ms && is_announced(known.id));
    }

    /// Returns the places without those that other requests are presumed to have taken.
    fn without_presumed(&self, places: &[P]) -> Vec<P> {
        let mut presumed: Vec<&P> = self.presumed.iter().map(|known| &known.place).collect();
        let is_free = |place: &&P| match presumed.iter().position(|known| known == place) {
            Some(index) => {
                presumed.swap_remove(index);
                false
            }
            None => true,
        };
        places.iter().filter(is_free).cloned().collect()
    }

    /// Returns the tickets of the requests that meet a condition.
    pub fn tickets(&self, which: impl Fn(&Entry<T>) -> bool) -> Vec<Ticket> {
        let chosen = self.entries.iter().filter(|(_, entry)| which(entry));
        chosen.map(|(ticket, _)| *ticket).collect()
    }

    /// Returns the waiting requests, to be announced to the other instances.
    pub fn entries(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.entries.values().map(|entry| &entry.request)
    }

    /// Returns the positions of all requests that wait here, most urgent first.
    pub fn positions(
        &self,
        others: &Others<'_>,
        capacity: &Capacity,
        now_ms: u64,
    ) -> Vec<Position> {
        let tickets: Vec<Ticket> = self.entries.keys().copied().collect();
        let position = |(rank, ticket): (usize, Ticket)| {
            let request = &self.entries[&ticket].request;
            Position {
                ticket,
                class: request.class,
                organisation: request.organisation.clone(),
                waited_ms: now_ms.saturating_sub(request.since_ms),
                rank,
                expected_wait_ms: capacity.expected_wait_ms(rank),
            }
        };
        self.ranked(&tickets, others, now_ms).into_iter().map(position).collect()
    }

    /// Returns the request of a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Entry<T>> {
        self.entries.get(&ticket)
    }

    /// Returns when the oldest request arrived.
    pub fn oldest_ms(&self) -> Option<u64> {
        self.entries().map(|request| request.since_ms).min()
    }

    /// Returns how many requests of each class wait.
    pub fn by_class(&self) -> BTreeMap<u8, usize> {
        counts(self.entries().map(|request| request.class))
    }

    /// Returns how many requests of each organisation wait.
    pub fn by_organisation(&self) -> BTreeMap<Option<Arc<str>>, usize> {
        counts(self.entries().map(|request| request.organisation.clone()))
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the bodies that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns some of the requests with their ranks among them and the others', by rank.
    fn ranked(&self, tickets: &[Ticket], others: &Others<'_>, now_ms: u64) -> Vec<(usize, Ticket)> {
        let own: Vec<WaitingRequest> =
            tickets.iter().map(|ticket| self.entries[ticket].request.clone()).collect();
        let ranks = order::ranks(&own, others.waiting, others.in_service, now_ms);
        let mut ranked: Vec<(usize, Ticket)> =
            ranks.into_iter().zip(tickets.iter().copied()).collect();
        ranked.sort_unstable();
        ranked
    }

    /// Returns the requests that have to leave for a new one, or `None` if it is less urgent.
    fn leaving_for(
        &self,
        request: &WaitingRequest,
        bytes: usize,
        in_service: &InService,
        now_ms: u64,
    ) -> Option<Vec<Ticket>> {
        let fits = |requests: usize, total_bytes: usize| {
            requests < self.bounds.requests && total_bytes + bytes <= self.bounds.bytes
        };
        if fits(self.entries.len(), self.bytes) {
            return Some(Vec::new());
        }
        let tickets: Vec<Ticket> = self.entries.keys().copied().collect();
        let alone = Others {
            waiting: std::slice::from_ref(request),
            in_service,
            delay_ms: 0,
            unseen: 0.0,
            unannounced_class: None,
        };
        let mut ranked = self.ranked(&tickets, &alone, now_ms);
        let mut leaving = Vec::new();
        let mut left_bytes = self.bytes;
        // A rank beyond the number of those that stay means that the new one goes before it.
        while let Some((rank, ticket)) = ranked.pop() {
            if rank <= ranked.len() {
                break;
            }
            left_bytes -= self.entries[&ticket].bytes;
            leaving.push(ticket);
            if fits(ranked.len(), left_bytes) {
                return Some(leaving);
            }
        }
        None
    }
}

fn counts<K: Ord>(keys: impl Iterator<Item = K>) -> BTreeMap<K, usize> {
    let mut counts = BTreeMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}
