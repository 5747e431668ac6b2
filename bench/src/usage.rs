//! Processor time and memory of a process, as the kernel accounts them.

/// What a process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time of all its threads, in seconds.
    pub cpu_s: f64,
    /// Resident memory now, in kilobytes.
    pub memory_kb: f64,
}

/// Reads the usage of a process that runs.
pub fn of(pid: u32) -> Usage {
    Usage { cpu_s: cpu_s(pid), memory_kb: memory_kb(pid) }
}

fn cpu_s(pid: u32) -> f64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    let spent_ns = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    };
    threads.flatten().filter_map(spent_ns).sum::<f64>() / 1e9
}

fn memory_kb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}
