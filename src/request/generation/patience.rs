//! How long an attempt may be silent before it is suspected.

use crate::request::generation::{Live, Policy};

/// A silence is suspicious after this many usual gaps.
const SUSPICIOUS_GAPS: u64 = 6;
/// A hedge starts after one part in this many of the silence that is suspicious otherwise.
const HEDGE_PART: u64 = 2;
/// The weight of the newest gap in the average: one part in this many.
const GAP_SMOOTHING: u64 = 8;
/// What is known of the usual gap between tokens.
#[derive(Debug, Default)]
pub(super) struct Patience {
    usual_gap_ms: u64,
}

impl Patience {
    /// Takes in the gap between two tokens of one attempt.
    pub(super) fn hear_gap(&mut self, gap_ms: u64) {
        self.usual_gap_ms = smooth(self.usual_gap_ms, gap_ms);
    }

    /// The silence of `live` that is not suspicious yet.
    pub(super) fn limit_ms(&self, policy: &Policy, live: &Live, suspect_ourselves: bool) -> u64 {
        let limit_ms = match (live.has_token, live.is_resumed) {
            (true, _) => self.between_tokens_ms(policy),
            (false, true) => policy.resumed_token_ms,
            (false, false) => policy.first_token_ms,
        };
        if suspect_ourselves { limit_ms.max(policy.gap_ceiling_ms) } else { limit_ms }
    }

    fn between_tokens_ms(&self, policy: &Policy) -> u64 {
        let limit_ms = match self.usual_gap_ms {
            // Before the second token nothing is known of the engine's step.
            0 => policy.gap_ceiling_ms,
            usual_ms => usual_ms
                .saturating_mul(SUSPICIOUS_GAPS)
                .clamp(policy.gap_floor_ms, policy.gap_ceiling_ms),
        };
        // A hedge gives nothing up, so that it may start sooner.
        if policy.hedge { limit_ms / HEDGE_PART } else { limit_ms }
    }
}

fn smooth(usual_ms: u64, gap_ms: u64) -> u64 {
    if usual_ms == 0 {
        return gap_ms.max(1);
    }
    ((usual_ms * (GAP_SMOOTHING - 1) + gap_ms) / GAP_SMOOTHING).max(1)
}
