//! How an instance's memory and descriptors are divided among callers, upstreams and the process itself.
//!
//! A limit on each caller bounds nothing while their number is not bounded. So the memory and the
//! descriptors of the machine are divided: each part has a use, and callers who want more than the
//! parts that are theirs yield to each other ([`super::yielding`]) or are refused. The parts and what
//! they are for stand in [docs/design/caller-limits.md](../../../docs/design/caller-limits.md).

use super::super::route::Limits;
use super::body_limit;

/// Descriptors that are not for sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Memory of a connection beside its head: buffers, and the state of its request.
const CONNECTION_BYTES: usize = 16 << 10;
/// Memory of a channel beside its read buffer: the start of an answer, and its state.
const CHANNEL_BYTES: usize = 16 << 10;
/// The size of a channel's read buffer. Answers' heads are shorter.
pub const CHANNEL_BUFFER_BYTES: usize = 16 << 10;
/// The parts of the memory that no caller or upstream can fill, as one of so many: what the process
/// itself needs, and what the allocator doesn't reuse at once.
const OWN_SHARE: usize = 6;
const SPARE_SHARE: usize = 12;
/// Of what the process itself needs, what a list that is being read may take: another one is in force
/// beside it.
const LIST_SHARE: usize = 2;
/// The part of the memory for answers, as one of so many.
const ANSWERS_SHARE: usize = 6;
/// The least part of the memory for connections and channels, as one of so many.
const LEAST_SOCKETS_SHARE: usize = 6;
/// The most connections that ask one listener for addresses, readiness or metrics.
const MAX_QUESTIONS: usize = 64;
/// Of the requests' memory, what bodies of any length may take (see [`super::request_memory`]).
const LONG_BODIES_SHARE: (usize, usize) = (3, 4);

/// How a machine's memory is divided; the sum of all parts is never more than the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// For the process itself: the configuration, the list of upstreams, what is known of peers.
    pub own_bytes: usize,
    /// For what the allocator doesn't reuse at once.
    pub spare_bytes: usize,
    /// For the bodies of callers' requests.
    pub request_bytes: usize,
    /// For answers, from their first byte until their callers have taken them.
    pub answer_bytes: usize,
    /// For the connections of callers, with the heads of their requests.
    pub connection_bytes: usize,
    /// For the channels to upstreams, with the heads of their answers.
    pub channel_bytes: usize,
}

impl Parts {
    /// The sum of all parts.
    pub fn sum_bytes(self) -> usize {
        let sockets_bytes = self.connection_bytes + self.channel_bytes;
        let held_bytes = self.request_bytes + self.answer_bytes;
        self.own_bytes + self.spare_bytes + held_bytes + sockets_bytes
    }
}

/// What the machine of an instance has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// The memory that the process may use.
    pub memory_bytes: usize,
    /// The descriptors that it may open.
    pub descriptors: usize,
}

impl Machine {
    fn sockets(self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS).max(self.descriptors / 2)
    }

    /// How the memory is divided.
    pub fn parts(self, limits: &Limits) -> Parts {
        let memory_bytes = self.memory_bytes;
        let own_bytes = memory_bytes / OWN_SHARE;
        let spare_bytes = memory_bytes / SPARE_SHARE;
        let answer_bytes = body_limit::part_bytes(memory_bytes / ANSWERS_SHARE);
        let least_sockets_bytes = memory_bytes / LEAST_SOCKETS_SHARE;
        let kept_bytes = own_bytes + spare_bytes + answer_bytes;
        let (numerator, denominator) = LONG_BODIES_SHARE;
        let for_longest = limits.body_bytes.saturating_mul(denominator).div_ceil(numerator);
        let most_bytes = memory_bytes.saturating_sub(kept_bytes + least_sockets_bytes);
        let request_bytes = for_longest.min(most_bytes).max(memory_bytes / 4);
        let sockets_bytes = memory_bytes.saturating_sub(kept_bytes + request_bytes);
        let connection_bytes = sockets_bytes / 2;
        let channel_bytes = sockets_bytes - connection_bytes;
        Parts {
            own_bytes,
            spare_bytes,
            request_bytes,
            answer_bytes,
            connection_bytes,
            channel_bytes,
        }
    }

    /// The most connections of callers.
    pub fn connections(self, limits: &Limits) -> usize {
        // The buffer for a head may grow to twice its size.
        let each_bytes = CONNECTION_BYTES + 2 * limits.head_bytes;
        let by_memory = self.parts(limits).connection_bytes / each_bytes;
        self.channel_descriptors().min(by_memory).max(1)
    }

    /// The most channels to upstreams.
    pub fn channels(self, limits: &Limits) -> usize {
        let each_bytes = CHANNEL_BYTES + 2 * CHANNEL_BUFFER_BYTES;
        let by_memory = self.parts(limits).channel_bytes / each_bytes;
        self.channel_descriptors().min(by_memory).max(1)
    }

    /// The descriptors for channels, and as many for connections: a request may need two channels.
    fn channel_descriptors(self) -> usize {
        self.sockets() * 2 / 5
    }

    /// The most connections to each listener that answers questions.
    pub fn questions(self) -> usize {
        (self.sockets() / 32).clamp(1, MAX_QUESTIONS)
    }

    /// What the bodies of callers' requests may hold: enough for the longest one, if that leaves the
    /// other parts theirs.
    pub fn request_bytes(self, limits: &Limits) -> usize {
        self.parts(limits).request_bytes
    }

    /// What a list of upstreams may hold while it is being read.
    pub fn list_bytes(self) -> usize {
        self.memory_bytes / OWN_SHARE / LIST_SHARE
    }

    /// What answers may hold until their callers have taken them.
    pub fn answer_bytes(self) -> usize {
        body_limit::part_bytes(self.memory_bytes / ANSWERS_SHARE)
    }

    /// Whether the longest body that callers may send can be held.
    pub fn holds_longest_body(self, limits: &Limits) -> bool {
        let (numerator, denominator) = LONG_BODIES_SHARE;
        limits.body_bytes <= self.request_bytes(limits) / denominator * numerator
    }
}
