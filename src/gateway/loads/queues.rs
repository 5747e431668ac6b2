//! Waiting requests and tokens in service, as instances report them with their loads.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::policy::admission::order::{InService, WaitingRequest};

/// Maximum number of waiting requests of one service in a message.
const MAX_WAITING: usize = 200;

/// The admission queue of one service at one instance or in one failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceQueue {
    /// Name of the service.
    pub service: Arc<str>,
    /// Requests that wait for room.
    pub waiting: Vec<WaitingEntry>,
    /// Tokens of the runs in service.
    pub in_service: Vec<ServedTokens>,
}

/// A request that waits for room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingEntry {
    /// Unique id.
    pub id: u64,
    /// Class by which it is ordered: its route's priority, then its organisation's; 0 is the most urgent.
    pub class: u8,
    /// Organisation of its caller.
    pub organisation: Option<Arc<str>>,
    /// How long it has waited since it arrived.
    pub waited_ms: u64,
    /// Time within which its first event is due; 0 if there is none.
    pub objective_ms: u64,
    /// Time that reading its prompt takes.
    pub read_ms: u64,
    /// Memory that it needs.
    pub need_tokens: u64,
    /// Whether it was refused before and came back when told.
    pub returned: bool,
    /// Whether an engine may have run it before.
    pub resumed: bool,
}

/// Tokens of the runs of a class and organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedTokens {
    /// Class of the runs.
    pub class: u8,
    /// The organisation.
    pub organisation: Option<Arc<str>>,
    /// Memory that the runs will occupy when they end.
    pub tokens: u64,
}

/// What waits and runs at other instances, for one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OtherQueues {
    /// Their waiting requests.
    pub waiting: Vec<WaitingRequest>,
    /// Their tokens in service.
    pub in_service: InService,
}

impl WaitingEntry {
    /// The entry of a request at a time.
    pub fn new(request: &WaitingRequest, now_ms: u64) -> WaitingEntry {
        WaitingEntry {
            id: request.id,
            class: request.class,
            organisation: request.organisation.clone(),
            waited_ms: now_ms.saturating_sub(request.since_ms),
            objective_ms: request.objective_ms,
            read_ms: request.read_ms,
            need_tokens: request.need_tokens,
            returned: request.returned,
            resumed: request.resumed,
        }
    }

    /// The request, with its arrival on the clock of this instance.
    pub fn request(&self, received_ms: u64) -> WaitingRequest {
        WaitingRequest {
            id: self.id,
            class: self.class,
            organisation: self.organisation.clone(),
            since_ms: received_ms.saturating_sub(self.waited_ms),
            objective_ms: self.objective_ms,
            read_ms: self.read_ms,
            need_tokens: self.need_tokens,
            returned: self.returned,
            resumed: self.resumed,
        }
    }
}

/// Queues that one message brought.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedQueues {
    pub(super) queues: Vec<ServiceQueue>,
    pub(super) received_ms: u64,
}

/// Adds received queues to those of other instances.
pub(super) fn add(all: &mut BTreeMap<Arc<str>, OtherQueues>, received: &ReceivedQueues) {
    for queue in &received.queues {
        let known = all.entry(Arc::clone(&queue.service)).or_default();
        let requests = queue.waiting.iter().map(|entry| entry.request(received.received_ms));
        known.waiting.extend(requests);
        for ServedTokens { class, organisation, tokens } in &queue.in_service {
            known.in_service.add(*class, organisation.as_ref(), *tokens);
        }
    }
}

/// Merges the queues of the instances of a failure domain into one for each service.
pub(super) fn merge<'a>(
    received: impl Iterator<Item = &'a ReceivedQueues>,
    now_ms: u64,
) -> Vec<ServiceQueue> {
    let mut merged: BTreeMap<Arc<str>, ServiceQueue> = BTreeMap::new();
    for ReceivedQueues { queues, received_ms } in received {
        let later_ms = now_ms.saturating_sub(*received_ms);
        for queue in queues {
            let service = Arc::clone(&queue.service);
            let into = merged
                .entry(Arc::clone(&service))
                .or_insert_with(|| ServiceQueue { service, ..ServiceQueue::default() });
            into.waiting.extend(queue.waiting.iter().map(|entry| WaitingEntry {
                waited_ms: entry.waited_ms.saturating_add(later_ms),
                ..entry.clone()
            }));
            queue.in_service.iter().for_each(|served| add_served(&mut into.in_service, served));
        }
    }
    let bounded = |queue: ServiceQueue| ServiceQueue {
        waiting: most_urgent(queue.waiting, MAX_WAITING),
        ..queue
    };
    merged.into_values().map(bounded).collect()
}

/// The most urgent of waiting requests, so that a message keeps within its size.
pub fn most_urgent(mut waiting: Vec<WaitingEntry>, most: usize) -> Vec<WaitingEntry> {
    if waiting.len() > most {
        waiting.sort_by_key(|entry| (!entry.resumed, entry.class, Reverse(entry.waited_ms)));
        waiting.truncate(most);
    }
    waiting
}

/// Adds tokens to those of their class and organisation.
pub fn add_served(all: &mut Vec<ServedTokens>, served: &ServedTokens) {
    let is_same = |known: &&mut ServedTokens| {
        known.class == served.class && known.organisation == served.organisation
    };
    match all.iter_mut().find(is_same) {
        Some(known) => known.tokens = known.tokens.saturating_add(served.tokens),
        None => all.push(served.clone()),
    }
}
