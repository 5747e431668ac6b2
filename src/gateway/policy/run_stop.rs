//! When a run that leaves its engine may go on at another one.
//!
//! Most engines drop a run when its channel closes, but some work on. So the engine is told to stop
//! the run, and the run goes on once the engine's replies show that it has ended there. An engine that
//! neither answers that call nor tells its state is out of reach, and can't be waited for. See
//! [docs/design/run-stops.md](../../../docs/design/run-stops.md).

use super::silence::{MAX_STATE_AGE_MS, RunStatus};

/// The first pause before an engine is asked again while the run waits; doubled each time up to the
/// interval of a watch.
const MIN_RETRY_MS: u64 = 50;
/// How often an engine is asked about a run that it hasn't begun: one that begins after all is stopped
/// well before two engines have worked on it for 400 ms.
const WATCH_INTERVAL_MS: u64 = 200;

/// What came of a call that stops a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run has stopped; the engine keeps its memory.
    Stopped,
    /// The engine has no such run.
    NoSuchRun,
    /// Another call about the run is in progress.
    Busy,
    /// Another engine is at the address.
    Replaced,
    /// Nothing listens at the address.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// Nothing came back within the time.
    Silent,
    /// Another answer, or a broken connection.
    Other,
}

/// What is known of a run at the engine that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It has ended.
    Ended,
    /// The engine hasn't begun it, and may begin it later: it goes on elsewhere, and is watched here.
    NotBegun,
    /// The engine can't be reached: it goes on elsewhere, and is watched here.
    OutOfReach,
    /// The engine's state has to tell.
    AskState,
    /// It may still be worked on: the engine is asked again.
    AskAgain {
        /// After what time.
        after_ms: u64,
    },
}

impl Verdict {
    /// Whether the run may go on at another engine.
    pub fn may_go_on(self) -> bool {
        matches!(self, Verdict::Ended | Verdict::NotBegun | Verdict::OutOfReach)
    }
}

/// A run that has left an engine by closing its channel.
#[derive(Debug, Clone, Copy)]
pub struct RunStop {
    left_ms: u64,
    /// Whether it is known to run there, so that the engine lists it and finds it.
    has_begun: bool,
    /// Calls that weren't answered, any of which may have arrived.
    unanswered: u32,
    retry_ms: u64,
}

impl RunStop {
    /// A run that left at a time.
    pub fn new(left_ms: u64, has_begun: bool) -> RunStop {
        RunStop { left_ms, has_begun, unanswered: 0, retry_ms: MIN_RETRY_MS }
    }

    /// Judges the reply to a call that stops the run.
    pub fn judge_reply(&mut self, reply: StopReply) -> Verdict {
        match reply {
            StopReply::Stopped | StopReply::Replaced | StopReply::Refused => Verdict::Ended,
            StopReply::NoSuchRun if self.has_begun => Verdict::Ended,
            StopReply::NoSuchRun => Verdict::NotBegun,
            // The run stops before its memory is copied, for which the engine still needs time.
            StopReply::Busy if self.unanswered > 0 => Verdict::Ended,
            StopReply::Busy => self.ask_again(),
            StopReply::Unreachable => Verdict::OutOfReach,
            StopReply::Silent => {
                self.unanswered += 1;
                Verdict::AskState
            }
            StopReply::Other => Verdict::AskState,
        }
    }

    /// Whether the engine's state can show by now that a run which it hadn't begun is gone.
    pub fn must_ask_state(&self, verdict: Verdict, now_ms: u64) -> bool {
        verdict == Verdict::AskState || (verdict == Verdict::NotBegun && self.is_fresh(now_ms))
    }

    /// Whether a state that is requested at a time was collected after the run left.
    fn is_fresh(&self, asked_ms: u64) -> bool {
        asked_ms >= self.left_ms + MAX_STATE_AGE_MS
    }

    /// Judges the engine's state, which was requested at `asked_ms`; there is none if the engine doesn't
    /// answer that either.
    pub fn judge_state(&mut self, status: Option<RunStatus>, asked_ms: u64) -> Verdict {
        match status {
            None => Verdict::OutOfReach,
            Some(RunStatus::Missing) if self.is_fresh(asked_ms) => Verdict::Ended,
            Some(RunStatus::MayWait) if !self.has_begun => Verdict::NotBegun,
            Some(RunStatus::Listed { .. }) => {
                self.has_begun = true;
                self.ask_again()
            }
            Some(_) => self.ask_again(),
        }
    }

    fn ask_again(&mut self) -> Verdict {
        let after_ms = self.retry_ms;
        self.retry_ms = (after_ms * 2).min(WATCH_INTERVAL_MS);
        Verdict::AskAgain { after_ms }
    }

    /// When to ask an engine again about a run that went on elsewhere; `None` once it has ended here.
    pub fn next_watch_ms(verdict: Verdict) -> Option<u64> {
        match verdict {
            Verdict::Ended => None,
            Verdict::AskAgain { after_ms } => Some(after_ms),
            Verdict::NotBegun | Verdict::OutOfReach | Verdict::AskState => Some(WATCH_INTERVAL_MS),
        }
    }
}
