//! The output of a process: a pipe whose reader can stand still, leave and come back.

use std::ffi::CString;
use std::fs::File;
use std::io::{Read, Write};
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

/// The pause between two looks of the reader.
const LOOK: Duration = Duration::from_millis(20);
const PIECE_BYTES: usize = 64 << 10;

/// What the reader does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// It reads, and writes it to the log.
    Reads,
    /// It stands still: what it doesn't read fills the pipe.
    StandsStill,
    /// It has left: there is nobody to write to.
    HasLeft,
}

/// A named pipe with its reader, which ends with it.
pub struct Output {
    writer: File,
    reading: Arc<Mutex<Reading>>,
}

impl Output {
    /// Opens a pipe in a folder, and has it read into a log.
    pub fn start(pipe: PathBuf, log: &Path) -> Output {
        let name = CString::new(pipe.as_os_str().as_bytes()).expect("a path has no zero");
        // SAFETY: the name is a text that ends with a zero and outlives the call.
        assert_eq!(unsafe { libc::mkfifo(name.as_ptr(), 0o600) }, 0, "the folder can be written");
        let reading = Arc::new(Mutex::new(Reading::Reads));
        let first = reader(&pipe);
        let writer = File::options().write(true).open(&pipe).expect("there is a reader");
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the folder can be written");
        let shared = Arc::downgrade(&reading);
        thread::spawn(move || follow(&pipe, first, log, &shared));
        Output { writer, reading }
    }

    /// The end that a process writes to.
    pub fn writer(&self) -> Stdio {
        Stdio::from(self.writer.try_clone().expect("a descriptor is free"))
    }

    /// Has the reader do this from now on.
    pub fn set(&self, reading: Reading) {
        *self.reading.lock().expect("no holder panics") = reading;
    }
}

fn reader(pipe: &Path) -> File {
    let opened = File::options().read(true).custom_flags(libc::O_NONBLOCK).open(pipe);
    opened.expect("the pipe is there")
}

/// Reads while it is to.
fn follow(pipe: &Path, first: File, mut log: File, reading: &Weak<Mutex<Reading>>) {
    let mut buffer = vec![0; PIECE_BYTES];
    let mut open = Some(first);
    while let Some(reading) = reading.upgrade() {
        match *reading.lock().expect("no holder panics") {
            Reading::Reads => {
                let from = open.get_or_insert_with(|| reader(pipe));
                while let Ok(count @ 1..) = from.read(&mut buffer) {
                    let _ = log.write_all(&buffer[..count]);
                }
            }
            Reading::StandsStill => {}
            Reading::HasLeft => open = None,
        }
        drop(reading);
        thread::sleep(LOOK);
    }
}
