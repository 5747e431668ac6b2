//! The time that a caller's request has, on a clock of whole milliseconds.

/// When the time of a request is over that was taken at `since_ms`. The clock was up to a millisecond
/// further than it said, so that a caller would see the end too early by that.
pub fn end_ms(since_ms: u64, timeout_ms: u64) -> u64 {
    since_ms.saturating_add(timeout_ms).saturating_add(1)
}

/// What is left for certain until that end, at least 1 ms: no upstream is given more time than there is.
pub fn left_ms(end_ms: u64, now_ms: u64) -> u64 {
    end_ms.saturating_sub(now_ms).saturating_sub(1).max(1)
}
