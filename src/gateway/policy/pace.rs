//! Pace of a run at an engine, apart from what slows it for a moment.
//!
//! While an engine reads a prompt, all its runs produce events several times more slowly, and an
//! instance does not know of every prompt that is read there. So the pace is taken in short
//! windows; those beside a known prompt don't count, and of the others the fast ones do.

/// Length of a window: many events of a run, and short against reading a prompt.
const WINDOW_MS: u64 = 200;
/// Number of windows from which a sample of the pace is taken.
const WINDOWS_PER_SAMPLE: usize = 8;
/// Minimum number of windows for a sample when the run ends.
const MIN_WINDOWS: usize = 2;
/// The windows' quantile that counts as the pace: prompts that are not known slow up to three
/// quarters of the windows without an effect on it.
const PACE_QUANTILE: f64 = 0.75;

/// Measures the pace of one run at one engine.
#[derive(Debug, Default)]
pub struct PaceMeter {
    /// When the present window began, with an event.
    window_started_ms: Option<u64>,
    events: u64,
    is_disturbed: bool,
    /// Whether events may have piled up that arrive faster than the engine makes them.
    is_catching_up: bool,
    /// Paces of complete windows, in events per second, as if the engine had no slowness.
    paces: Vec<f64>,
}

impl PaceMeter {
    /// Counts events that arrived together. `is_reading` tells whether the engine reads a prompt,
    /// as far as known, and `slowness` is its present slowness. Returns a sample of the pace in
    /// events per second whenever there are enough windows.
    pub fn note(
        &mut self,
        events: u64,
        is_reading: bool,
        slowness: f64,
        now_ms: u64,
    ) -> Option<f64> {
        self.is_disturbed |= is_reading;
        let Some(started_ms) = self.window_started_ms else {
            self.window_started_ms = Some(now_ms);
            return None;
        };
        self.events += events;
        let window_ms = now_ms.saturating_sub(started_ms);
        if window_ms < WINDOW_MS {
            return None;
        }
        if !self.is_disturbed {
            self.paces.push(self.events as f64 * 1_000.0 / window_ms as f64 * slowness);
        }
        self.window_started_ms = Some(now_ms);
        self.events = 0;
        self.is_disturbed = is_reading || std::mem::take(&mut self.is_catching_up);
        if self.paces.len() < WINDOWS_PER_SAMPLE {
            return None;
        }
        self.finish()
    }

    /// Leaves out the present window and the next one, because events are held up by something other
    /// than the engine, such as a slow caller.
    pub fn disturb(&mut self) {
        self.is_disturbed = true;
        self.is_catching_up = true;
    }

    /// Returns a sample of the pace from the windows since the last one, if they suffice.
    pub fn finish(&mut self) -> Option<f64> {
        let mut paces = std::mem::take(&mut self.paces);
        if paces.len() < MIN_WINDOWS {
            return None;
        }
        paces.sort_unstable_by(f64::total_cmp);
        let index = (paces.len() - 1) as f64 * PACE_QUANTILE;
        Some(paces[index.round() as usize])
    }
}
