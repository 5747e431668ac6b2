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

/// Records that may wait to be written; further ones are dropped and counted, since a request
/// must never wait for its log.
const WAITING_RECORDS: usize = 1_024;

/// A logger on standard output that never blocks: what doesn't fit is dropped, and how many
/// records were is written.
pub fn to_stdout(level: slog::Level) -> slog::Logger {
    let json = slog_json::Json::default(std::io::stdout());
    let drain = slog_async::Async::new(Mutex::new(json).fuse())
        .chan_size(WAITING_RECORDS)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    slog::Logger::root(drain, slog::o!())
}
