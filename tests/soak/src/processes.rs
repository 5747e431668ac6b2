//! The gateways as processes: none ends by itself, and none passes what its machine has.

use std::fs;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::Duration;

use siskinrock_fakes::process::Process;
use siskinrock_fakes::site::Limits;
use tokio::time::Instant;

use crate::memory;
use crate::world::World;

/// The pause between two looks at the processes.
const LOOK: Duration = Duration::from_secs(1);
/// A process with less memory is still being loaded.
const LOADED_KB: u64 = 512;
/// The last lines of a log that are told of an end, and the most of each.
const LAST_LINES: usize = 4;
const LINE_CHARS: usize = 300;

/// The most that one process took.
#[derive(Debug, Clone, Copy, Default)]
pub struct Most {
    /// Its memory.
    pub memory_kb: u64,
    /// Its open descriptors.
    pub descriptors: u64,
}

impl Most {
    /// Whether a process has begun to run: until then it has the descriptors of the soak.
    pub fn has_begun(self) -> bool {
        self.memory_kb >= LOADED_KB
    }

    /// The larger of both in each.
    pub fn or(self, other: Most) -> Most {
        Most {
            memory_kb: self.memory_kb.max(other.memory_kb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Looks at the processes until the faults and callers are over.
pub async fn watch(world: Arc<World>) {
    while !world.is_over() {
        look(&world);
        let since = Instant::now();
        tokio::time::sleep(LOOK).await;
        world.note_late(since.elapsed().saturating_sub(LOOK));
    }
    look(&world);
}

/// Notes each process that has ended by itself, and starts it again; and each that passes what its
/// machine has.
fn look(world: &World) {
    let machine = world.machine();
    for (index, gateway) in world.gateways().iter_mut().enumerate() {
        if note_end(world, gateway) {
            gateway.restart();
            world.note_start(gateway);
        }
        let Some(pid) = gateway.pid() else { continue };
        let used = Most { memory_kb: memory::peak_kb(pid), descriptors: open_descriptors(pid) };
        if !used.has_begun() {
            continue;
        }
        world.note_most(used);
        if let Some(over) = machine.and_then(|machine| over(used, machine)) {
            let rss_kb = memory::resident_kb(pid);
            world.note_broken(format!(
                "gateway {index} passed its machine: {over}, {rss_kb} kB now"
            ));
        }
    }
}

/// Notes the end of a process that nobody ordered; returns whether there was one.
fn note_end(world: &World, gateway: &mut Process) -> bool {
    let ended = (!world.is_stopping(usize::from(gateway.number))).then(|| gateway.take_end());
    let Some(status) = ended.flatten() else { return false };
    world.note_broken(say_end(gateway, "by itself", status));
    true
}

/// Kills a process; one that had ended by itself is noted.
pub fn kill(world: &World, gateway: &mut Process) {
    note_end(world, gateway);
    gateway.kill();
}

/// What a process took beyond its machine.
pub fn over(used: Most, machine: Limits) -> Option<String> {
    let Most { memory_kb, descriptors } = used;
    let limit_kb = machine.memory_mb << 10;
    let is_over = memory_kb > limit_kb || descriptors > machine.descriptors;
    is_over.then(|| {
        format!(
            "{memory_kb} of {limit_kb} kB, {descriptors} of {} descriptors",
            machine.descriptors
        )
    })
}

/// The end of a process with its status and its last lines.
pub fn say_end(gateway: &Process, how: &str, status: ExitStatus) -> String {
    let log = fs::read(&gateway.log).unwrap_or_default();
    let log = String::from_utf8_lossy(&log);
    let mut lines: Vec<String> = log
        .lines()
        .rev()
        .take(LAST_LINES)
        .map(|line| line.chars().take(LINE_CHARS).collect())
        .collect();
    lines.reverse();
    let number = gateway.number;
    format!(
        "gateway {number} ended {how} with {status}; its last lines:\n    {}",
        lines.join("\n    ")
    )
}

fn open_descriptors(pid: u32) -> u64 {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}
