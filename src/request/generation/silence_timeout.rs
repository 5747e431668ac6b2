//! The silence timeout of an attempt.

use crate::request::generation::{LiveAttempt, Policy};

/// The silence timeout, in mean gaps between tokens.
const TIMEOUT_GAPS: u64 = 6;
/// A hedge starts after the silence timeout divided by this.
const HEDGE_DIVISOR: u64 = 2;
/// The newest gap enters the moving average with a weight of 1 in this many.
const GAP_SMOOTHING: u64 = 8;

/// The moving average of the gap between tokens.
#[derive(Debug, Default)]
pub(super) struct SilenceTimeout {
    mean_gap_ms: u64,
}

impl SilenceTimeout {
    /// Records the gap between two tokens of one attempt.
    pub(super) fn record_gap(&mut self, gap_ms: u64) {
        self.mean_gap_ms = smooth(self.mean_gap_ms, gap_ms);
    }

    /// The silence timeout of `live`.
    pub(super) fn limit_ms(
        &self,
        policy: &Policy,
        live: &LiveAttempt,
        is_likely_local_fault: bool,
    ) -> u64 {
        let limit_ms = match (live.has_token, live.is_resumed) {
            (true, _) => self.between_tokens_ms(policy),
            (false, true) => policy.resumed_token_ms,
            (false, false) => policy.first_token_ms,
        };
        if is_likely_local_fault { limit_ms.max(policy.gap_ceiling_ms) } else { limit_ms }
    }

    fn between_tokens_ms(&self, policy: &Policy) -> u64 {
        let limit_ms = match self.mean_gap_ms {
            // Before the second token there is no measure of the engine's pace.
            0 => policy.gap_ceiling_ms,
            mean_ms => mean_ms
                .saturating_mul(TIMEOUT_GAPS)
                .clamp(policy.gap_floor_ms, policy.gap_ceiling_ms),
        };
        // A hedge keeps the first attempt running, so it may start sooner.
        if policy.hedge { limit_ms / HEDGE_DIVISOR } else { limit_ms }
    }
}

fn smooth(mean_ms: u64, gap_ms: u64) -> u64 {
    if mean_ms == 0 {
        return gap_ms.max(1);
    }
    ((mean_ms * (GAP_SMOOTHING - 1) + gap_ms) / GAP_SMOOTHING).max(1)
}
