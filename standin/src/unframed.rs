//! A plain service whose answers have no length and end with their channel.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The whole body of its answers.
pub const BODY: &str = r#"{"seat":"14C","booked":true}"#;
const LOAD: &str =
    r#"{"running":0,"waiting":0,"slots":8,"models":[],"leaving":false,"incarnation":1}"#;

/// What it does after a part of its first answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// It writes the rest and lives on.
    GoOn,
    /// Its process ends, so that its channel is closed and nothing listens any more.
    Crash,
}

/// How long the address may still be taken: a process that another thread of the test is starting holds
/// the listener before until its program runs.
const HELD: Duration = Duration::from_secs(10);

fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let since = Instant::now();
    loop {
        match TcpListener::bind(addr) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && since.elapsed() < HELD => {
                thread::sleep(Duration::from_millis(5));
            }
            bound => return bound,
        }
    }
}

/// Starts one; it ends by a crash, or with the process of the test.
///
/// # Panics
///
/// If the address can't be bound: a stand-in has no other way to tell its test.
pub fn start(addr: SocketAddr, then: Then) {
    let listener = bind(addr).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // One request a connection, so that a crash ends everything by leaving this loop.
            if answer(stream, then).is_ok_and(|crashed| crashed) {
                return;
            }
        }
    });
}

/// Answers one request; returns whether its process ends now.
fn answer(stream: TcpStream, then: Then) -> io::Result<bool> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let is_load = line.starts_with("GET /load ");
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        if line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    io::copy(&mut reader.take(length), &mut io::sink())?;
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n";
    if is_load {
        write!(writer, "{head}Content-Length: {}\r\n\r\n{LOAD}", LOAD.len())?;
        return Ok(false);
    }
    let (part, rest) = BODY.split_at(BODY.len() / 2);
    write!(writer, "{head}\r\n{part}")?;
    if then == Then::GoOn {
        writer.write_all(rest.as_bytes())?;
    }
    Ok(then == Then::Crash)
}
