//! What this process takes of its machine's memory, as the system counts it.

use std::fs;

/// The file in which the system tells it.
const STATUS: &str = "/proc/self/status";

/// The memory of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Footprint {
    /// What it takes now.
    pub resident_bytes: u64,
    /// The most that it has taken.
    pub peak_bytes: u64,
}

/// Reads what this process takes; `None` where the system doesn't tell it.
pub fn read() -> Option<Footprint> {
    let status = fs::read_to_string(STATUS).ok()?;
    let field = |name: &str| -> Option<u64> {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        let kb: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kb << 10)
    };
    Some(Footprint { resident_bytes: field("VmRSS:")?, peak_bytes: field("VmHWM:")? })
}
