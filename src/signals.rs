//! The signals of a process: what it obeys, and those that must not end it.

use std::future::poll_fn;
use std::task::{Context, Poll};

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::{Error, Result};

/// Signals that mean nothing to a process and whose default action would end it. Real-time signals
/// belong to whoever sends them, and QUIT ends a process with a core on purpose.
const UNEXPECTED: [(&str, i32); 10] = [
    ("USR1", 10),
    ("USR2", 12),
    ("ALRM", 14),
    ("STKFLT", 16),
    ("XCPU", 24),
    ("XFSZ", XFSZ),
    ("VTALRM", 26),
    ("PROF", 27),
    ("IO", 29),
    ("PWR", 30),
];
/// The signal of a write beyond the limit on the size of a file.
const XFSZ: i32 = 25;

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// A planned stop.
    Stop,
    /// The settings are to be read again.
    Reload,
    /// Nothing that this process knows; the name of the signal.
    Unexpected(&'static str),
}

/// The signals of this process.
#[derive(Debug)]
pub struct Signals {
    signals: Vec<(Order, Signal)>,
    /// Signals that keep their default action, and why.
    pub unhandled: Vec<(&'static str, std::io::Error)>,
}

impl Signals {
    /// Takes them from now on; needs a runtime.
    ///
    /// # Errors
    ///
    /// If those to which it must react can't be received. The others are done without.
    pub fn new() -> Result<Signals> {
        let obeyed = [
            ("HUP", Order::Reload, SignalKind::hangup()),
            ("TERM", Order::Stop, SignalKind::terminate()),
            ("INT", Order::Stop, SignalKind::interrupt()),
        ];
        let mut signals = Vec::new();
        for (name, order, kind) in obeyed {
            let taken = signal(kind).map_err(|error| Error::from_signals(name, &error))?;
            signals.push((order, taken));
        }
        let mut unhandled = Vec::new();
        for (name, number) in UNEXPECTED {
            match signal(SignalKind::from_raw(number)) {
                Ok(taken) => signals.push((Order::Unexpected(name), taken)),
                Err(error) => unhandled.push((name, error)),
            }
        }
        Ok(Signals { signals, unhandled })
    }

    /// Waits for the next one that asks for a stop or for the settings to be read again; others are
    /// logged.
    pub async fn next(&mut self, log: &slog::Logger) -> Order {
        loop {
            match poll_fn(|context| self.poll(context)).await {
                // A file that is full is told by the count of lost records; a line for each would be
                // written to the same file.
                Order::Unexpected("XFSZ") => {}
                Order::Unexpected(name) => {
                    slog::warn!(log, "signal without a meaning; going on"; "signal" => name);
                }
                order => return order,
            }
        }
    }

    /// Waits for a stop to be ordered; others are logged.
    pub async fn stop(&mut self, log: &slog::Logger) {
        while self.next(log).await != Order::Stop {
            slog::info!(log, "the settings are being read; nothing more is done for the signal";
                "signal" => "HUP");
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Order> {
        for (order, signal) in &mut self.signals {
            if let Poll::Ready(Some(())) = signal.poll_recv(context) {
                return Poll::Ready(*order);
            }
        }
        Poll::Pending
    }
}
