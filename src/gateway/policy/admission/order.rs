//! The order in which all waiting requests of a service are admitted, the same at every instance
//! that sees the same requests.
//!
//! Resumed runs go first, then one class after the other. Within a class, a request that is about
//! to miss its objective goes before those that have time, and one that has missed it goes after
//! them: its place would make another one late without helping it. Otherwise refused requests that
//! came back when told go before new ones, and then the organisation that uses the least goes
//! first. See [docs/design/admission.md](../../../../docs/design/admission.md).

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// All less urgent classes together get at least the tokens of a more urgent class and their own,
/// divided by this, while they have requests waiting. It keeps every class moving at a small cost to the urgent one.
pub const LEAST_SHARE_DIVISOR: u64 = 10;
/// A request is about to miss its objective when the time left, without the reading of its prompt,
/// is its objective divided by this.
const MARGIN_DIVISOR: u64 = 4;
/// Upper bound on that time: enough to learn of the next free place, and of one more if another
/// instance takes that one.
const MAX_MARGIN_MS: u64 = 1_000;
/// Objective by which a request without one is ordered. It never counts as late.
const DEFAULT_OBJECTIVE_MS: u64 = 10_000;

/// A request that waits for room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Id that is unique among all instances. Orders requests that are equal otherwise.
    pub id: u64,
    /// Class by which it is ordered: its route's priority, then its organisation's; 0 is the most urgent.
    pub class: u8,
    /// Organisation of its caller. Callers without one share as if they were one organisation.
    pub organisation: Option<Arc<str>>,
    /// When it arrived.
    pub since_ms: u64,
    /// Time from its arrival within which its first event is due; 0 if there is none.
    pub objective_ms: u64,
    /// Time that reading its prompt takes.
    pub read_ms: u64,
    /// Memory that it needs, in tokens.
    pub need_tokens: u64,
    /// Whether it was refused before and came back when told.
    pub returned: bool,
    /// Whether an engine may have run it before: its run was lost, perhaps in the middle of an answer. It is never refused by the queue.
    pub resumed: bool,
}

/// Tokens in service at all instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InService {
    by_class: BTreeMap<u8, u64>,
    by_organisation: BTreeMap<Arc<str>, u64>,
}

impl InService {
    /// Adds the tokens of a run, or of all runs of a class and organisation.
    pub fn add(&mut self, class: u8, organisation: Option<&Arc<str>>, tokens: u64) {
        let of_class = self.by_class.entry(class).or_default();
        *of_class = of_class.saturating_add(tokens);
        let name = organisation.map_or_else(|| Arc::from(NO_ORGANISATION), Arc::clone);
        let of_organisation = self.by_organisation.entry(name).or_default();
        *of_organisation = of_organisation.saturating_add(tokens);
    }

    /// Tokens of the runs of a class.
    pub fn class_tokens(&self, class: u8) -> u64 {
        self.by_class.get(&class).copied().unwrap_or_default()
    }

    /// Tokens of the runs of an organisation; `""` stands for callers without one.
    pub fn organisation_tokens(&self, organisation: &str) -> u64 {
        self.by_organisation.get(organisation).copied().unwrap_or_default()
    }
}

/// Key of the callers without an organisation.
const NO_ORGANISATION: &str = "";

/// Returns for each of this instance's requests how many of all waiting requests go before it.
pub fn ranks(
    own: &[WaitingRequest],
    others: &[WaitingRequest],
    in_service: &InService,
    now_ms: u64,
) -> Vec<usize> {
    let all: Vec<&WaitingRequest> = own.iter().chain(others).collect();
    let mut ranks = vec![0; own.len()];
    for (rank, index) in order(&all, in_service, now_ms).into_iter().enumerate() {
        if let Some(of_own) = ranks.get_mut(index) {
            *of_own = rank;
        }
    }
    ranks
}

/// Returns the indices of the requests in their order.
pub(super) fn order(
    requests: &[&WaitingRequest],
    in_service: &InService,
    now_ms: u64,
) -> Vec<usize> {
    let numbered = requests.iter().enumerate();
    let mut keys: Vec<Key> =
        numbered.map(|(index, request)| Key::new(request, index, now_ms)).collect();
    keys.sort_unstable();
    set_virtual_starts(&mut keys, requests, in_service);
    keys.sort_unstable();
    let resumed = keys.partition_point(|key| !key.is_beginning);
    let mut order: Vec<usize> = keys[..resumed].iter().map(|key| key.index).collect();
    order.extend(share_among_classes(&keys[resumed..], requests, in_service));
    order
}

/// Position of a request in the order; compared field by field.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    /// False for a resumed run.
    is_beginning: bool,
    class: u8,
    timeliness: Timeliness,
    is_new: bool,
    /// Tokens that its organisation gets before it.
    virtual_start_tokens: u64,
    /// Latest time at which it may be sent to meet its objective.
    latest_start_ms: u64,
    id: u64,
    index: usize,
}

/// Whether a request can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// Only if it is sent soon.
    Pressing,
    InTime,
    Late,
}

impl Key {
    fn new(request: &WaitingRequest, index: usize, now_ms: u64) -> Key {
        Key {
            is_beginning: !request.resumed,
            class: request.class,
            timeliness: timeliness(request, now_ms),
            is_new: !request.returned,
            virtual_start_tokens: 0,
            latest_start_ms: latest_start_ms(request),
            id: request.id,
            index,
        }
    }
}

fn objective_ms(request: &WaitingRequest) -> u64 {
    match request.objective_ms {
        0 => DEFAULT_OBJECTIVE_MS,
        objective_ms => objective_ms,
    }
}

fn latest_start_ms(request: &WaitingRequest) -> u64 {
    request.since_ms.saturating_add(objective_ms(request)).saturating_sub(request.read_ms)
}

fn timeliness(request: &WaitingRequest, now_ms: u64) -> Timeliness {
    let latest_start_ms = latest_start_ms(request);
    let margin_ms = (objective_ms(request) / MARGIN_DIVISOR).min(MAX_MARGIN_MS);
    if now_ms > latest_start_ms && request.objective_ms > 0 {
        Timeliness::Late
    } else if now_ms + margin_ms > latest_start_ms {
        Timeliness::Pressing
    } else {
        Timeliness::InTime
    }
}

/// Sets for each request the tokens that its organisation gets before it: those in service and
/// those of its requests ahead in `keys`.
fn set_virtual_starts(keys: &mut [Key], requests: &[&WaitingRequest], in_service: &InService) {
    let mut next_start: BTreeMap<&str, u64> = BTreeMap::new();
    for key in keys {
        let request = requests[key.index];
        let organisation = request.organisation.as_deref().unwrap_or(NO_ORGANISATION);
        let start = next_start
            .entry(organisation)
            .or_insert_with(|| in_service.organisation_tokens(organisation));
        key.virtual_start_tokens = *start;
        *start = start.saturating_add(request.need_tokens.max(1));
    }
}

/// The waiting requests of a class, with the tokens that it has in service and in the order so far.
struct ClassQueue {
    tokens: u64,
    waiting: VecDeque<usize>,
}

/// Returns the indices of requests in the order of `keys`, but so that the less urgent classes get
/// their least share.
fn share_among_classes(
    keys: &[Key],
    requests: &[&WaitingRequest],
    in_service: &InService,
) -> Vec<usize> {
    let by_class = keys.chunk_by(|one, next| one.class == next.class);
    let mut classes: Vec<ClassQueue> = by_class
        .map(|keys| ClassQueue {
            tokens: in_service.class_tokens(keys[0].class),
            waiting: keys.iter().map(|key| key.index).collect(),
        })
        .collect();
    let mut order = Vec::with_capacity(keys.len());
    while let Some(chosen) = next_class(&classes) {
        let queue = &mut classes[chosen];
        let Some(index) = queue.waiting.pop_front() else { break };
        queue.tokens = queue.tokens.saturating_add(requests[index].need_tokens.max(1));
        if queue.waiting.is_empty() {
            classes.remove(chosen);
        }
        order.push(index);
    }
    order
}

/// Returns the most urgent class whose successors have their least share.
fn next_class(classes: &[ClassQueue]) -> Option<usize> {
    let tokens = classes.iter().map(|queue| queue.tokens);
    let mut less_urgent_tokens = tokens.fold(0, u64::saturating_add);
    for (index, queue) in classes.iter().enumerate() {
        let total_tokens = less_urgent_tokens;
        less_urgent_tokens = less_urgent_tokens.saturating_sub(queue.tokens);
        let is_last = index + 1 == classes.len();
        if is_last || less_urgent_tokens.saturating_mul(LEAST_SHARE_DIVISOR) >= total_tokens {
            return Some(index);
        }
    }
    None
}
