//! What the end of an engine's response means for a stream.

use super::answer_end::Framing;

/// What is known of a response that has ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    /// How it tells its end.
    pub framing: Framing,
    /// Whether the last event is whole.
    pub is_between_events: bool,
    /// Whether the engine sent any event.
    pub has_events: bool,
}

/// What to make of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The stream is complete.
    Complete,
    /// The engine, which is alive, has sent less than it should.
    Malformed,
    /// The engine broke off.
    BrokenOff,
    /// The stream is complete if the engine's process lives on; otherwise the engine broke off.
    CompleteIfLivesOn,
}

impl ResponseEnd {
    /// What the end means. One that only the channel marks proves nothing by itself.
    pub fn verdict(self) -> Verdict {
        let ResponseEnd { framing, is_between_events, has_events } = self;
        match framing {
            Framing::Stated if is_between_events => Verdict::Complete,
            Framing::Stated => Verdict::Malformed,
            Framing::Channel if is_between_events && has_events => Verdict::CompleteIfLivesOn,
            Framing::Channel => Verdict::BrokenOff,
        }
    }
}
