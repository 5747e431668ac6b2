//! Decides whether a silent run stays at its engine, from the state that the engine reports.
//!
//! That an engine is alive does not mean that it still has the run: the answer may have been lost
//! on the way, or the run may have ended without a message. The engine's state lists the runs that
//! it works on, how many tokens of each are in memory, and how many events each has produced. The
//! decision therefore does not depend on times measured on one engine: a slow engine that is still
//! reading the prompt keeps the run, and a fast one that has lost it does not.

use super::latency::Latencies;

/// Allowed pause between events on a route that declares none.
const DEFAULT_GAP_MS: u64 = 700;
/// Minimum of the timeouts between events: a message that is lost between domains and sent again at
/// once, or a process that is scheduled late, takes as long.
const MIN_GAP_TIMEOUT_MS: u64 = 50;
/// Objective for the first event on a route that declares none.
const DEFAULT_OBJECTIVE_MS: u64 = 4_500;

/// A first event is overdue after this multiple of the time that nearly all others took. An
/// engine's state does not tell whether a prompt that it holds is being read, so only other
/// requests give an estimate.
const OVERDUE_FACTOR: f64 = 2.0;
/// Upper bound on how often earlier attempts double the time until a first event is overdue.
const MAX_DOUBLINGS: u32 = 6;
/// Percentile of the first events that the estimate is based on.
const FIRST_EVENT_PERCENTILE: f64 = 0.95;

/// Time after which the first event of a prompt is overdue at the next engine, from the
/// microseconds per prompt token that other requests took. While too few are known, it is twice the
/// objective.
///
/// Each earlier attempt doubles the time, so that a service that is slow for everybody causes a few
/// repeats but no storm of them.
pub fn overdue_ms(
    us_per_token: &Latencies,
    prompt_tokens: u64,
    objective_ms: u64,
    attempts: u32,
) -> u64 {
    let objective_ms = if objective_ms == 0 { DEFAULT_OBJECTIVE_MS } else { objective_ms };
    let typical_ms = match us_per_token.quantile(FIRST_EVENT_PERCENTILE) {
        Some(us) if prompt_tokens > 0 => us.saturating_mul(prompt_tokens) / 1_000,
        _ => objective_ms,
    };
    let overdue_ms = (typical_ms as f64 * OVERDUE_FACTOR) as u64;
    overdue_ms.saturating_mul(1 << attempts.min(MAX_DOUBLINGS))
}

/// How long a stream may be silent before each reaction. The timeouts are fractions of what the
/// route declares, since the pause that callers allow does not depend on the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceTimeouts {
    /// Before the first event, until the engine's state is requested: a fifth of the objective, so
    /// that an answer that was lost at once can still come in time from elsewhere; but not before
    /// the engine's state can include the run.
    pub first_event_ms: u64,
    /// Between events, until the engine's state is requested: a fifth of the allowed pause. The
    /// request takes another fifth, and resuming elsewhere up to two.
    pub gap_ms: u64,
    /// The same while the engine is known to be reading prompts, when events arrive further apart,
    /// between two chunks of a prompt: two fifths.
    pub reading_gap_ms: u64,
    /// Until a run with a copy elsewhere is resumed there, although its engine is alive, reads no
    /// prompt and has the run: the rest of the allowed pause is enough to resume.
    pub stalled_ms: u64,
    /// The same while the engine is reading prompts: it makes progress, and events are late from
    /// all engines alike. This is the whole pause: with a shorter one, 120 runs were taken from
    /// engines that read half as fast as usual, and worth, the score in docs/POLICY.md, fell by a
    /// third.
    pub stalled_reading_ms: u64,
}

impl SilenceTimeouts {
    /// Timeouts for a route that declares these values; 0 stands for none.
    pub fn of(objective_ms: u64, gap_ms: u64) -> SilenceTimeouts {
        let or_default = |declared, default| if declared == 0 { default } else { declared };
        let objective_ms = or_default(objective_ms, DEFAULT_OBJECTIVE_MS);
        let gap_ms = or_default(gap_ms, DEFAULT_GAP_MS);
        SilenceTimeouts {
            first_event_ms: (objective_ms / 5).max(MAX_STATE_AGE_MS),
            gap_ms: (gap_ms / 5).max(MIN_GAP_TIMEOUT_MS),
            reading_gap_ms: (gap_ms * 2 / 5).max(MIN_GAP_TIMEOUT_MS),
            stalled_ms: gap_ms * 2 / 3,
            stalled_reading_ms: gap_ms,
        }
    }
}

/// Maximum age of an engine's state, which is collected a few times a second. A run that was sent,
/// or produced an event, less than this before the state was requested may be missing from it and
/// still exist.
pub const MAX_STATE_AGE_MS: u64 = 500;
/// Time in which a run that is worked on shows progress: several states, each with one more chunk
/// of its prompt or one more event.
const PROGRESS_TIMEOUT_MS: u64 = 1_500;

/// What an engine's state says of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// There is no state, or it has no list of runs.
    Untold,
    /// The run is not listed, but some requests have produced no event yet, and this may be one of
    /// them: a run is listed from its first event on.
    MayWait,
    /// The run is not listed, and all requests of the engine have produced events.
    Missing,
    /// The run is listed.
    Listed {
        /// Tokens that it has in memory.
        tokens: u64,
        /// Events that it has produced.
        events: u64,
    },
}

/// Whether an engine has preempted a run that produced its first event there `since_first_ms` ago:
/// the state lists all active runs but not this one, which waits behind other prompts to be read
/// again. If there is a copy elsewhere, resuming there at once keeps the allowed pause.
pub fn is_preempted(status: RunStatus, since_first_ms: u64) -> bool {
    since_first_ms >= MAX_STATE_AGE_MS && status == RunStatus::MayWait
}

/// What to do about a silent run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Wait, and request the state again later.
    Wait,
    /// Leave the engine.
    Leave(LeaveReason),
}

/// Why a silent run leaves its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum LeaveReason {
    /// The engine no longer has the run.
    #[display("the engine is alive but no longer has the run")]
    Gone,
    /// The run produces events that do not arrive.
    #[display("the run produces events but none arrive")]
    AnswerLost,
    /// The first event has taken much longer than nearly all others of the service, as recently
    /// measured by this instance.
    #[display("its first event is overdue")]
    Overdue,
    /// The run is listed but makes no progress.
    #[display("the run makes no progress")]
    Standing,
}

impl LeaveReason {
    /// Whether leaving gains something only if another engine has room: the run still waits for its turn
    /// at this one, and would lose it for a refusal.
    pub fn requires_room_elsewhere(self) -> bool {
        self == LeaveReason::Overdue
    }
}

/// What was observed of a run since it last sent something.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    since_ms: u64,
    overdue_ms: Option<u64>,
    observed: Option<Observation>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    tokens: u64,
    events: u64,
    at_ms: u64,
}

impl Silence {
    /// A run that has just sent something.
    pub fn new(now_ms: u64) -> Silence {
        Silence { since_ms: now_ms, overdue_ms: None, observed: None }
    }

    /// A run that was just sent, and whose first event is overdue after `overdue_ms`; never if
    /// there can be no further attempt.
    pub fn before_first_event(now_ms: u64, overdue_ms: Option<u64>) -> Silence {
        Silence { since_ms: now_ms, overdue_ms, observed: None }
    }

    /// Judges the run by the engine's state, which was requested at `asked_ms`.
    pub fn judge(&mut self, status: RunStatus, asked_ms: u64) -> Verdict {
        if asked_ms < self.since_ms + MAX_STATE_AGE_MS {
            return Verdict::Wait;
        }
        match status {
            RunStatus::Untold | RunStatus::MayWait => self.judge_unlisted(asked_ms),
            RunStatus::Missing => Verdict::Leave(LeaveReason::Gone),
            RunStatus::Listed { tokens, events } => self.judge_listed(tokens, events, asked_ms),
        }
    }

    fn judge_unlisted(&self, asked_ms: u64) -> Verdict {
        let is_over = |overdue_ms| asked_ms >= self.since_ms.saturating_add(overdue_ms);
        match self.overdue_ms {
            Some(overdue_ms) if is_over(overdue_ms) => Verdict::Leave(LeaveReason::Overdue),
            _ => Verdict::Wait,
        }
    }

    fn judge_listed(&mut self, tokens: u64, events: u64, asked_ms: u64) -> Verdict {
        let now = Observation { tokens, events, at_ms: asked_ms };
        let Some(before) = self.observed else {
            self.observed = Some(now);
            return Verdict::Wait;
        };
        if events > before.events {
            return Verdict::Leave(LeaveReason::AnswerLost);
        }
        if tokens != before.tokens {
            self.observed = Some(now);
            return Verdict::Wait;
        }
        let is_stalled = asked_ms >= before.at_ms + PROGRESS_TIMEOUT_MS;
        if is_stalled { Verdict::Leave(LeaveReason::Standing) } else { Verdict::Wait }
    }
}
