//! What the machine gives this process, where its settings don't say.

use nix::sys::resource::{Resource, getrlimit};

use crate::gateway::policy::caller_limits::Machine;

/// The memory of a small machine.
const USUAL_MEMORY_BYTES: usize = 256 << 20;
/// The descriptors that most systems let a process open.
const USUAL_DESCRIPTORS: usize = 1_024;

/// The most descriptors that are reckoned with.
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// The memory of a small machine, and as many descriptors as this process may open.
pub fn usual() -> Machine {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).ok();
    let descriptors =
        limit.map_or(USUAL_DESCRIPTORS, |(soft, _)| soft.min(MAX_DESCRIPTORS) as usize);
    Machine { memory_bytes: USUAL_MEMORY_BYTES, descriptors }
}
