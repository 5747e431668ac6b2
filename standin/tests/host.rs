//! Promise: a port that is given out can be listened on, whatever else the test process does.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use siskinrock_standin::host;

/// Threads that start processes meanwhile, as tests that run beside each other do.
const STARTERS: usize = 6;
/// Ports that are asked for.
const PORTS: usize = 4_000;

/// A process that is being started holds, until its program runs, whatever its parent had open in
/// that moment. A port that was being tried out then must not stay taken by it.
#[test]
fn a_port_is_free_while_processes_are_started() {
    let is_over = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut child = Command::new("true").spawn().expect("it starts");
                    child.wait().expect("it ends");
                }
            });
        }
        let taken: Vec<_> = (0..PORTS).filter_map(|_| taken_port()).collect();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert!(taken.is_empty(), "{} of {PORTS} ports were taken: {taken:?}", taken.len());
}

/// A port that was given out and can't be listened on.
fn taken_port() -> Option<u16> {
    let port = host::free_port();
    TcpListener::bind(("127.0.0.1", port)).err().map(|_| port)
}
