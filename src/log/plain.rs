//! Plain text on standard error, for whoever starts a process by hand or keeps no log of it.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

/// Texts that may wait to be written; further ones are dropped.
const WAITING_TEXTS: usize = 16;
/// How long whoever writes a text waits for it: a reader that stands still holds up nothing for longer.
const WRITE_TIMEOUT_MS: u64 = 300;

/// A text, and who waits for it to be written.
type Waiting = (String, SyncSender<()>);

static TEXTS: OnceLock<SyncSender<Waiting>> = OnceLock::new();

/// Writes a line, and goes on when it can't be written.
pub fn say(text: &str) {
    let (written, wait) = mpsc::sync_channel(1);
    let texts = TEXTS.get_or_init(start);
    if texts.try_send((format!("{text}\n"), written)).is_ok() {
        // A writer that failed or stands still is not waited for.
        let _ = wait.recv_timeout(Duration::from_millis(WRITE_TIMEOUT_MS));
    }
}

fn start() -> SyncSender<Waiting> {
    let (sender, texts) = mpsc::sync_channel(WAITING_TEXTS);
    let thread = thread::Builder::new().name("standard error".to_owned());
    // Without the thread the texts are dropped; the log has them too.
    let _ = thread.spawn(move || write(&texts));
    sender
}

fn write(texts: &Receiver<Waiting>) {
    while let Ok((text, written)) = texts.recv() {
        // A standard error that takes nothing concerns nobody who runs.
        let _ = std::io::stderr().write_all(text.as_bytes());
        let _ = written.send(());
    }
}
