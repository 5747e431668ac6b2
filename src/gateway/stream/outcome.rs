//! How an attempt at one engine ended.

use super::super::policy::outcomes;
use super::attempt::OpenResponse;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The response is complete, or the caller was sent an upstream's error.
    Done,
    /// The caller disconnected.
    CallerDisconnected,
    /// The request certainly did not run there.
    NotRun { why: NotRunReason },
    /// The run lost its engine, and resumes elsewhere if the route allows that.
    Lost { why: String, cause: LossCause },
    /// Another engine has taken over the run.
    Moved(Box<OpenResponse>),
    /// The deadline has passed.
    DeadlinePassed,
    /// The retry budget of all instances is exhausted.
    RetryBudgetExhausted,
}

/// How a run lost its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LossCause {
    /// The engine closed the connection before the end of the response, as an exiting process does.
    ConnectionClosed,
    /// The engine stopped responding.
    Silent,
    /// The engine is alive, but the run left it or its response is unusable.
    EngineAlive,
}

impl LossCause {
    /// Whether the engine itself is gone.
    pub(super) fn is_engine_gone(self) -> bool {
        self != LossCause::EngineAlive
    }

    /// What it says about the engine.
    pub(super) fn outcome(self) -> outcomes::Outcome {
        match self {
            LossCause::ConnectionClosed => outcomes::Outcome::Broken,
            LossCause::Silent | LossCause::EngineAlive => outcomes::Outcome::Unanswered,
        }
    }
}

/// Why a request certainly did not run at an engine.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub(super) enum NotRunReason {
    /// The request was not sent.
    #[display("{_0}")]
    NotSent(String),
    /// Another engine has the address, which says nothing about how full the service is.
    #[display("another engine has its address")]
    Replaced,
    /// The engine itself said so, with this status.
    #[display("status {_0}")]
    Status(u16),
}

/// The loss of a run's engine.
pub(super) fn lost_run(why: impl Into<String>, cause: LossCause) -> Outcome {
    Outcome::Lost { why: why.into(), cause }
}
