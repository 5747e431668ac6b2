//! What a seed takes of the machine's memory.

use std::fs;

/// Memory in use by a process, 0 if it has ended.
pub fn resident_kb(pid: u32) -> u64 {
    field_kb(&format!("/proc/{pid}/status"), "VmRSS:")
}

/// The most memory that a process has used, 0 if it has ended.
pub fn peak_kb(pid: u32) -> u64 {
    field_kb(&format!("/proc/{pid}/status"), "VmHWM:")
}

/// The most that the gateways and the soak may use together: half of the machine's memory.
pub fn limit_kb() -> u64 {
    field_kb("/proc/meminfo", "MemTotal:") / 2
}

fn field_kb(path: &str, name: &str) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
}
