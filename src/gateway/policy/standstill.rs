//! Whether this process stood still: it was stopped, suspended with its machine, or not scheduled.
//!
//! A process looks at a clock that counts such a time. Between two looks that are far apart it has heard of
//! nothing, and what it knew before is as old as the pause.

/// How often a process looks.
pub const LOOK_INTERVAL_MS: u64 = 250;
/// The least time between two looks that counts: four looks missed, more than a busy machine delays a timer.
pub const MIN_STANDSTILL_MS: u64 = 1_000;

/// The looks of a process at its clock.
#[derive(Debug, Default, Clone, Copy)]
pub struct Standstills {
    last_look_ms: Option<u64>,
    last_end_ms: Option<u64>,
}

impl Standstills {
    /// Takes in a look. Returns for how long the process had stood still, if it had.
    pub fn look(&mut self, now_ms: u64) -> Option<u64> {
        let before_ms = self.last_look_ms.replace(now_ms)?;
        let pause_ms = now_ms.saturating_sub(before_ms);
        if pause_ms < MIN_STANDSTILL_MS {
            return None;
        }
        self.last_end_ms = Some(now_ms);
        Some(pause_ms)
    }

    /// Time since the process last went on after it had stood still.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_end_ms.map(|end_ms| now_ms.saturating_sub(end_ms))
    }
}
