//! The clocks of a process.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// How long a sleep may outlast its end after the machine was suspended: timers don't count that time,
/// so a sleep looks at the clock so often.
const LOOK_MS: u64 = 500;

/// A clock that starts with the process, never goes back, and counts the time for which the machine is
/// suspended: to peers, callers and leases that time passes like any other.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source_ms: fn() -> u64,
    start_ms: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock::of(source(boot_if_readable_ms))
    }

    /// A clock over a source of milliseconds.
    pub fn of(source_ms: fn() -> u64) -> Clock {
        Clock { source_ms, start_ms: source_ms() }
    }

    /// Milliseconds since the start; never 0, so that 0 can mean 'never'.
    pub fn now_ms(self) -> u64 {
        (self.source_ms)().saturating_sub(self.start_ms) + 1
    }

    /// Sleeps until a time of this clock.
    pub async fn sleep_until(self, at_ms: u64) {
        loop {
            let left_ms = at_ms.saturating_sub(self.now_ms());
            if left_ms == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(left_ms.min(LOOK_MS))).await;
        }
    }
}

/// Milliseconds since the machine started, those included for which it was suspended.
fn boot_ms() -> u64 {
    boot_if_readable_ms().unwrap_or_else(steady_ms)
}

fn boot_if_readable_ms() -> Option<u64> {
    read_ms(ClockId::CLOCK_BOOTTIME)
}

/// The same without the time of a suspension.
fn steady_ms() -> u64 {
    /// What the clock counts from, where the system refuses its own.
    static START: OnceLock<Instant> = OnceLock::new();
    read_ms(ClockId::CLOCK_MONOTONIC)
        .unwrap_or_else(|| START.get_or_init(Instant::now).elapsed().as_millis() as u64)
}

fn read_ms(clock: ClockId) -> Option<u64> {
    clock_gettime(clock).ok().map(|now| Duration::from(now).as_millis() as u64)
}

/// The clock of this machine that is nearest to the boot clock; one that can't be read isn't tried again,
/// since two clocks in turn would leap.
pub fn source(boot_ms_if_readable: fn() -> Option<u64>) -> fn() -> u64 {
    if boot_ms_if_readable().is_some() { boot_ms } else { steady_ms }
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
