//! Logs as JSON lines on standard error.

use std::sync::Mutex;

use slog::Drain;

/// A logger that writes records of `level` and more severe ones.
pub fn to_stderr(level: slog::Level) -> slog::Logger {
    let json = slog_json::Json::default(std::io::stderr());
    let drain = slog_async::Async::new(Mutex::new(json).fuse()).build().fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    slog::Logger::root(drain, slog::o!())
}

/// A logger that writes nothing.
pub fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
