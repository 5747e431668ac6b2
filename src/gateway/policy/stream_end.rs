//! What the end of an engine's response means for a stream.

/// What is known of a response that has ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    /// Whether it has neither a length nor chunks, so that it ends with its channel.
    pub ends_with_channel: bool,
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
    /// It broke off if its process has exited.
    BrokenOffIfExited,
}

impl ResponseEnd {
    /// What the end means. One that only the channel marks proves nothing by itself.
    pub fn verdict(self) -> Verdict {
        match self {
            ResponseEnd { ends_with_channel: false, is_between_events: true, .. } => {
                Verdict::Complete
            }
            ResponseEnd { ends_with_channel: false, .. } => Verdict::Malformed,
            ResponseEnd { is_between_events: true, has_events: true, .. } => {
                Verdict::BrokenOffIfExited
            }
            _ => Verdict::BrokenOff,
        }
    }
}
