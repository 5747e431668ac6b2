//! Logs as JSON lines on standard output or standard error.
//!
//! Whoever logs never waits: a thread writes, a record that finds no room or whose write fails is dropped
//! and counted, and `log records lost` says how many as soon as the output takes lines again.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use slog::Drain;

mod bounded;
mod output;
mod panics;
mod plain;
mod queue;

pub use panics::{Beside, log_panics};
pub use plain::say;

/// How long the end of a process waits for its last records to be written.
const LAST_RECORDS_MS: u64 = 300;

/// A logger on standard error that writes records of `level` and more severe ones.
pub fn to_stderr(level: slog::Level) -> slog::Logger {
    logger(std::io::stderr, level)
}

/// A logger that writes nothing.
pub fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// A logger on standard output that writes records of `level` and more severe ones.
pub fn to_stdout(level: slog::Level) -> slog::Logger {
    logger(std::io::stdout, level)
}

fn logger<W: Write + 'static>(open: fn() -> W, level: slog::Level) -> slog::Logger {
    let drain = PerMessage::new(queue::Queue::start(open));
    slog::Logger::root(slog::LevelFilter::new(drain, level).fuse(), slog::o!())
}

/// Waits until what was logged is written, for a moment at most.
pub fn flush() {
    queue::flush(LAST_RECORDS_MS);
}

/// How many records were lost since the start of the process, for want of room or because a write failed.
pub fn lost() -> u64 {
    output::lost()
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
