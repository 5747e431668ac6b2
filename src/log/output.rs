//! Writes records as JSON lines to an output that may fail and come back.

use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use slog::{Drain, OwnedKVList, Record};
use slog_json::Json;

/// Records that were lost since the start of the process, for want of room or of an output.
static LOST: AtomicU64 = AtomicU64::new(0);

/// How many records were lost since the start of the process.
pub(super) fn lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Counts a lost record.
pub(super) fn count_lost() {
    LOST.fetch_add(1, Ordering::Relaxed);
}

/// The line that is being put together.
#[derive(Debug, Default, Clone)]
struct Line(Rc<RefCell<Vec<u8>>>);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A drain that never fails: a record that can't be written is dropped and counted, and the first
/// one that can be written again is preceded by the number of those lost.
pub(super) struct Output<W> {
    to: RefCell<W>,
    json: Json<Line>,
    line: Line,
    /// The lost records that the output has been told of.
    told: Cell<u64>,
    /// Whether the last write ended within a line.
    is_cut: Cell<bool>,
}

impl<W: Write> Output<W> {
    /// A drain to an output that doesn't buffer whole lines.
    pub(super) fn new(to: W) -> Output<W> {
        let line = Line::default();
        Output {
            to: RefCell::new(to),
            json: Json::default(line.clone()),
            line,
            told: Cell::new(0),
            is_cut: Cell::new(false),
        }
    }

    /// Writes what was put together as a line.
    fn write(&self) -> io::Result<()> {
        let mut line = std::mem::take(&mut *self.line.0.borrow_mut());
        if self.is_cut.get() {
            line.insert(0, b'\n');
        }
        let mut rest = &*line;
        while !rest.is_empty() {
            match self.to.borrow_mut().write(rest) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    rest = &rest[written..];
                    self.is_cut.set(!rest.is_empty());
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.to.borrow_mut().flush()
    }

    /// Says how many records were lost since the output last took such a line.
    fn tell_lost(&self) -> io::Result<()> {
        let lost = lost();
        let count = lost - self.told.get();
        if count == 0 {
            return Ok(());
        }
        let note = slog::record_static!(slog::Level::Warning, "");
        let text = format_args!("log records lost");
        self.json.log(
            &Record::new(&note, &text, slog::b!("count" => count, "since_start" => lost)),
            &OwnedKVList::from(slog::o!()),
        )?;
        self.write()?;
        self.told.set(lost);
        Ok(())
    }

    fn try_log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        self.line.0.borrow_mut().clear();
        self.tell_lost()?;
        self.json.log(record, values)?;
        self.write()
    }
}

impl<W: Write> Drain for Output<W> {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if self.try_log(record, values).is_err() {
            count_lost();
        }
        Ok(())
    }
}
