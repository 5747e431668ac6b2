//! Panics as records of the log.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::panic::PanicHookInfo;

use super::plain;

/// Where the text of a panic goes beside the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Beside {
    /// Standard error.
    StandardError,
    /// Nowhere: the log is written to standard error.
    Nowhere,
}

/// Writes a record for each panic of any task or thread from now on.
pub fn log_panics(log: slog::Logger, beside: Beside) {
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let thread = thread.name().unwrap_or("unnamed");
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let text = text_of(panic);
        let backtrace = Backtrace::capture();
        let backtrace =
            (backtrace.status() == BacktraceStatus::Captured).then(|| backtrace.to_string());
        slog::crit!(log, "panicked"; "text" => text, "thread" => thread, "place" => &place,
            "backtrace" => &backtrace);
        if beside == Beside::StandardError {
            let backtrace = backtrace.unwrap_or_default();
            plain::say(&format!("thread '{thread}' panicked at {place}:\n{text}\n{backtrace}"));
        }
    }));
}

fn text_of<'a>(panic: &'a PanicHookInfo<'_>) -> &'a str {
    panic.payload_as_str().unwrap_or("no text")
}
