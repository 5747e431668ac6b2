//! A thread that writes records, so that whoever logs never waits for an output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use slog::{BorrowedKV, Drain, OwnedKVList, Record, RecordStatic};
use slog_async::AsyncRecord;

use super::bounded::Bounded;
use super::output::{self, Output};

/// Records that may wait to be written; further ones are dropped and counted, since a request
/// must never wait for its log.
const WAITING_RECORDS: usize = 1_024;
/// How often a flush looks whether all records were written.
const FLUSH_STEP_MS: u64 = 2;

/// Records of all queues that wait to be written.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// Waits until all records were written, at most so long: an output whose reader stands still must not
/// keep a process from ending.
pub(super) fn flush(most_ms: u64) {
    let since = Instant::now();
    let most = Duration::from_millis(most_ms);
    while WAITING.load(Ordering::SeqCst) > 0 && since.elapsed() < most {
        thread::sleep(Duration::from_millis(FLUSH_STEP_MS));
    }
}

/// A drain that hands records to a thread, and drops and counts those for which there is no room.
pub(super) struct Queue(Mutex<SyncSender<AsyncRecord>>);

impl Queue {
    /// Starts the thread, which writes to what `open` gives. Without the thread every record is lost,
    /// and the process goes on.
    pub(super) fn start<W: Write + 'static>(open: fn() -> W) -> Queue {
        let (sender, records) = mpsc::sync_channel(WAITING_RECORDS);
        let thread = thread::Builder::new().name("log".to_owned());
        // The receiver is dropped with a thread that doesn't start: all records count as lost.
        let _ = thread.spawn(move || write(&records, &Output::new(open())));
        Queue(Mutex::new(sender))
    }
}

fn write<W: Write>(records: &Receiver<AsyncRecord>, output: &Output<W>) {
    while let Ok(record) = records.recv() {
        let Ok(()) = record.log_to(output);
        WAITING.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drain for Queue {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let kept = Bounded(record.kv());
        let same =
            RecordStatic { location: record.location(), tag: record.tag(), level: record.level() };
        let record =
            AsyncRecord::from(&Record::new(&same, record.msg(), BorrowedKV(&kept)), values);
        WAITING.fetch_add(1, Ordering::SeqCst);
        let sender = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if sender.try_send(record).is_err() {
            WAITING.fetch_sub(1, Ordering::SeqCst);
            output::count_lost();
        }
        Ok(())
    }
}
