//! How much of an instance's memory and descriptors callers may take, all together.
//!
//! A limit on each caller bounds nothing while their number is not bounded. So the memory and the
//! descriptors of the machine are divided: each part has a use, and callers who want more than the
//! parts that are theirs yield to each other ([`super::yielding`]) or are refused. The parts and what
//! they are for stand in [docs/design/caller-limits.md](../../../docs/design/caller-limits.md).

use super::super::route::Limits;

/// Descriptors that are not for sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Memory of a connection beside its head: buffers, and the state of its request.
const CONNECTION_BYTES: usize = 16 << 10;
/// The most connections that ask one listener for addresses, readiness or metrics.
const MAX_QUESTIONS: usize = 64;
/// Of the requests' memory, what bodies of any length may take (see [`super::request_memory`]).
const LONG_BODIES_SHARE: (usize, usize) = (3, 4);

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

    /// The most connections of callers.
    pub fn connections(self, limits: &Limits) -> usize {
        // The buffer for a head may grow to twice its size.
        let each_bytes = CONNECTION_BYTES + 2 * limits.head_bytes;
        let by_memory = self.memory_bytes / 3 / each_bytes;
        self.channels().min(by_memory).max(1)
    }

    /// The most channels to upstreams: a request may need two.
    pub fn channels(self) -> usize {
        self.sockets() * 2 / 5
    }

    /// The most connections to each listener that answers questions.
    pub fn questions(self) -> usize {
        (self.sockets() / 32).clamp(1, MAX_QUESTIONS)
    }

    /// What the bodies of callers' requests may hold: enough for the longest one, if that leaves half
    /// of the memory.
    pub fn request_bytes(self, limits: &Limits) -> usize {
        let (numerator, denominator) = LONG_BODIES_SHARE;
        let for_longest = limits.body_bytes.saturating_mul(denominator).div_ceil(numerator);
        for_longest.clamp(self.memory_bytes / 4, self.memory_bytes / 2)
    }

    /// What long answers may hold until their callers have taken them.
    pub fn answer_bytes(self) -> usize {
        self.memory_bytes / 6
    }

    /// Whether the longest body that callers may send can be held.
    pub fn holds_longest_body(self, limits: &Limits) -> bool {
        let (numerator, denominator) = LONG_BODIES_SHARE;
        limits.body_bytes <= self.request_bytes(limits) / denominator * numerator
    }
}
