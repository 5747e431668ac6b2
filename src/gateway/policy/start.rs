//! What a start does about a fault of its surroundings: wait for it to pass, go on without, or end.

/// What a start needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The settings, or the configuration file.
    Settings,
    /// An address at which callers, peers or the platform look for the process.
    Address,
    /// The address of the metrics, which no request needs.
    Metrics,
}

/// What is wrong with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The file isn't there, can't be read, or isn't whole: it may be in the course of being written.
    NotWhole,
    /// A value that can never be right, however long one waits.
    Wrong,
    /// Another process has the address.
    Taken,
    /// The machine doesn't have the address yet.
    Absent,
    /// The machine is short of descriptors or memory.
    Short,
    /// The address is refused for a reason that doesn't pass by itself.
    Denied,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Try again after this time; the process isn't ready until then.
    Wait {
        /// The pause.
        pause_ms: u64,
    },
    /// Go on without it, and try again after this time.
    DoWithout {
        /// The pause.
        pause_ms: u64,
    },
    /// End, with the fault as the reason.
    End,
}

/// The time within which a machine of the platform must serve after its start.
pub const READY_WITHIN_MS: u64 = 10_000;
/// The pause between two tries of something that is needed: short beside the time in which an
/// instance becomes ready.
const PAUSE_MS: u64 = 50;
/// The pause between two tries of something that can be done without.
const SPARE_PAUSE_MS: u64 = 1_000;

/// How long a start waits for its addresses together. The process before, with the same settings, may hold them
/// until the end of its grace.
pub fn address_bound_ms(grace_ms: u64) -> u64 {
    grace_ms.max(READY_WITHIN_MS)
}

/// Decides what to do about a fault that has lasted for `waited_ms`, where `bound_ms` is the longest wait.
pub fn step(need: Need, fault: Fault, waited_ms: u64, bound_ms: u64) -> Step {
    if need == Need::Metrics {
        return Step::DoWithout { pause_ms: SPARE_PAUSE_MS };
    }
    match fault {
        Fault::Wrong | Fault::Denied => Step::End,
        Fault::NotWhole | Fault::Taken | Fault::Absent | Fault::Short => {
            let left_ms = bound_ms.saturating_sub(waited_ms);
            match left_ms {
                0 => Step::End,
                left_ms => Step::Wait { pause_ms: PAUSE_MS.min(left_ms) },
            }
        }
    }
}
