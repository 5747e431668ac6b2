//! Logs as JSON lines on standard error.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use slog::Drain;

/// A logger that writes records of `level` and more severe ones.
pub fn to_stderr(level: slog::Level) -> slog::Logger {
    let json = slog_json::Json::default(std::io::stderr());
    let drain = slog_async::Async::new(Mutex::new(json).fuse()).build().fuse();
    let drain = slog::LevelFilter::new(PerMessage::new(drain), level).fuse();
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
    let drain = slog::LevelFilter::new(PerMessage::new(drain), level).fuse();
    slog::Logger::root(drain, slog::o!())
}

/// Records of one message a second; an instance serves a few dozen requests a second, and a flood
/// of one kind must not hide the others.
const RECORDS_PER_SECOND: u64 = 200;

/// Records that were left out since the start of the process, whichever logger left them out.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// How many records were left out by the bound on each message.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Lets each message pass so often a second, and tells how many records of it were left out.
struct PerMessage<D> {
    inner: D,
    start: Instant,
    seen: Mutex<BTreeMap<String, Second>>,
}

#[derive(Default, Clone, Copy)]
struct Second {
    number: u64,
    passed: u64,
    left_out: u64,
}

impl<D> PerMessage<D> {
    fn new(inner: D) -> PerMessage<D> {
        PerMessage { inner, start: Instant::now(), seen: Mutex::default() }
    }

    /// Whether a record may pass, and how many before it were left out.
    fn admit(&self, message: String) -> Option<u64> {
        let number = self.start.elapsed().as_secs();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let second = seen.entry(message).or_default();
        if second.number != number {
            let left_out = second.left_out;
            *second = Second { number, passed: 1, left_out: 0 };
            return Some(left_out);
        }
        if second.passed >= RECORDS_PER_SECOND {
            second.left_out += 1;
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        second.passed += 1;
        Some(0)
    }
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for PerMessage<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let Some(left_out) = self.admit(record.msg().to_string()) else { return Ok(()) };
        if left_out > 0 {
            let message = record.msg().to_string();
            let pair = slog::o!("of" => message, "count" => left_out);
            let list = slog::OwnedKVList::from(pair);
            let note = slog::record_static!(slog::Level::Warning, "");
            let text = format_args!("records left out");
            self.inner.log(&slog::Record::new(&note, &text, slog::b!()), &list)?;
        }
        self.inner.log(record, values)
    }
}
