//! The clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the start; never 0, so that 0 can mean 'never'.
    pub fn now_ms(self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
